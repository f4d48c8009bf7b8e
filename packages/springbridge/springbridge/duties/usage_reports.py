"""Ledger of usage reports: which time windows are reported to the platform, with which counts.

Fixes the counts of each window exactly once and keeps track of the reports still to be sent, from
the counts of the fleet, the true time and the decisions of earlier lease holders.

Two reports of one window with different counts are worse than none. Therefore the counts are stored
with the lease before they are sent, and every retry sends the same ones. A store that is restored
from an older copy loses the latest decisions. Other candidates are sent copies of the reports for
that case, but none of these may have survived: a holder that finds a restored store therefore skips
the windows that an earlier holder may have decided.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from springbridge.duties.usage import Counts, FleetUsage, window_at, window_end_s

# Seconds after the end of a window within which the counts of all instances arrive.
SETTLE_S = 2.5
# Seconds after the end of a window during which its report may still be sent.
SEND_WITHIN_S = 40.0
# Seconds by which the true time of an earlier holder may have been ahead of this holder's.
CLOCK_LEAD_S = 0.5


@dataclass(frozen=True, slots=True)
class Report:
    """The usage of a window, with its final counts.

    Attributes:
      window: Number of the window.
      counts: Requests by customer.
      sent: Whether the platform has acknowledged the report.
    """

    window: int
    counts: Counts
    sent: bool = False


class ReportLedger:
    """The reports of the latest decided windows, sent or not."""

    def __init__(self, window_s: float) -> None:
        """Create a ledger with no window decided.

        Args:
          window_s: Length of a window.
        """
        self._window_s = window_s
        self._next: int | None = None
        self._reports: dict[int, Report] = {}

    @property
    def next_window(self) -> int | None:
        """Return the first undecided window, None before there was any holder."""
        return self._next

    def reports(self) -> list[Report]:
        """Return the reports that are kept, in the order of their windows."""
        return [self._reports[window] for window in sorted(self._reports)]

    def adopt(self, reports: Iterable[Report], next_window: int | None) -> None:
        """Merge another holder's decisions.

        The counts already known for a window are kept; a report with the same counts may mark it as
        sent.
        """
        for report in reports:
            known = self._reports.setdefault(report.window, report)
            if report.sent and not known.sent and known.counts == report.counts:
                self._reports[report.window] = report
        starts = [start for start in (self._next, next_window) if start is not None]
        starts += [window + 1 for window in self._reports]
        self._next = max(starts, default=None)

    def begin(self, first_window: int) -> None:
        """Set the first window to decide if there was no holder before."""
        if self._next is None:
            self._next = first_window

    def skip_until(self, until_s: float) -> None:
        """Skip the windows that may have been decided before a moment of true time."""
        if self._next is not None:
            self._next = max(
                self._next, window_at(until_s + CLOCK_LEAD_S - SETTLE_S, self._window_s)
            )

    def skipped_without_report(self, window: int) -> list[int]:
        """Return the skipped windows, from a given one on, that have no report known here."""
        if self._next is None:
            return []
        kept = math.ceil(SEND_WITHIN_S / self._window_s)
        first = max(window, self._next - kept)
        return [each for each in range(first, self._next) if each not in self._reports]

    def decide(self, usage: FleetUsage, true_s: float) -> list[Report]:
        """Decide the windows that are settled and not too late, and return their reports."""
        if self._next is None:
            return []
        # The first undecided window may come from another holder's row, far in the past.
        self._next = max(self._next, window_at(true_s - SEND_WITHIN_S, self._window_s) - 1)
        decided = []
        while self._is_settled(self._next, true_s):
            if not self._is_too_late(self._next, true_s):
                report = Report(self._next, usage.totals(self._next))
                self._reports[self._next] = report
                decided.append(report)
            self._next += 1
        return decided

    def unsent(self, true_s: float) -> list[Report]:
        """Return the reports still to be sent, in the order of their windows."""
        return [
            report
            for report in self.reports()
            if not report.sent and not self._is_too_late(report.window, true_s)
        ]

    def mark_sent(self, window: int) -> None:
        """Mark a report as acknowledged by the platform; ignored if it was dropped meanwhile."""
        if window in self._reports:
            self._reports[window] = replace(self._reports[window], sent=True)

    def drop_too_late(self, true_s: float) -> list[Report]:
        """Drop the reports that are too late to be sent; return those that were never sent."""
        old = [window for window in self._reports if self._is_too_late(window, true_s)]
        dropped = [self._reports.pop(window) for window in old]
        return [report for report in dropped if not report.sent]

    def _is_settled(self, window: int, true_s: float) -> bool:
        return true_s >= window_end_s(window, self._window_s) + SETTLE_S

    def _is_too_late(self, window: int, true_s: float) -> bool:
        return true_s > window_end_s(window, self._window_s) + SEND_WITHIN_S
