"""Which windows of usage are reported, and with which counts.

Decided: for each window once, its counts; and what is still to be sent.
Inputs: the counts of the fleet, the true time, and what earlier holders decided.
Outcome: Report records, in the order of their windows.
Why: two reports of one window with other counts are worse than none. A window is decided once: its
counts are written down with the lease before they are sent, and whoever sends them again sends the
same ones. A store that comes back from an older copy forgets what was written down last. Other
candidates are told of reports for that case, but nobody may be left who was: a holder that finds
such a store passes over the windows that an earlier one may have decided.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from springbridge.duties.usage import Counts, FleetUsage, window_at, window_end_s

# Seconds after the end of a window in which the counts of all instances arrive.
SETTLE_S = 2.5
# Seconds after the end of a window for which its report is still sent.
LATEST_S = 40.0
# Seconds by which the true time of an earlier holder may have been ahead of this one's.
AHEAD_S = 0.5


@dataclass(frozen=True, slots=True)
class Report:
    """The usage of a window as it was decided.

    Attributes:
      sent: Whether the platform has taken it.
    """

    window: int
    counts: Counts
    sent: bool = False


class ReportLedger:
    """The reports of the last windows, decided or sent."""

    def __init__(self, window_s: float) -> None:
        """Start with nothing decided."""
        self._window_s = window_s
        self._next: int | None = None
        self._reports: dict[int, Report] = {}

    @property
    def next_window(self) -> int | None:
        """Return the first window that is not decided, None before any holder was there."""
        return self._next

    def reports(self) -> list[Report]:
        """Return the reports that are kept, in order."""
        return [self._reports[window] for window in sorted(self._reports)]

    def adopt(self, reports: Iterable[Report], next_window: int | None) -> None:
        """Take in what another holder decided; what is known of a window stays as it is."""
        for report in reports:
            known = self._reports.setdefault(report.window, report)
            if report.sent and not known.sent and known.counts == report.counts:
                self._reports[report.window] = report
        starts = [start for start in (self._next, next_window) if start is not None]
        starts += [window + 1 for window in self._reports]
        self._next = max(starts, default=None)

    def begin(self, first_window: int) -> None:
        """Start with a window if no holder was there before."""
        if self._next is None:
            self._next = first_window

    def pass_over(self, until_s: float) -> None:
        """Leave out the windows that may have been decided by a moment of true time."""
        if self._next is not None:
            self._next = max(self._next, window_at(until_s + AHEAD_S - SETTLE_S, self._window_s))

    def unknown_from(self, window: int) -> list[int]:
        """Return the windows from one on that stay undecided and have no report known here."""
        if self._next is None:
            return []
        kept = math.ceil(LATEST_S / self._window_s)
        first = max(window, self._next - kept)
        return [each for each in range(first, self._next) if each not in self._reports]

    def decide(self, usage: FleetUsage, true_s: float) -> list[Report]:
        """Decide the windows that are over and not too late, and return their reports."""
        if self._next is None:
            return []
        # The number may be of another writer, far back.
        self._next = max(self._next, window_at(true_s - LATEST_S, self._window_s) - 1)
        decided = []
        while self._is_settled(self._next, true_s):
            if not self._is_too_late(self._next, true_s):
                report = Report(self._next, usage.totals(self._next))
                self._reports[self._next] = report
                decided.append(report)
            self._next += 1
        return decided

    def unsent(self, true_s: float) -> list[Report]:
        """Return the reports that are still to be sent, in order."""
        return [
            report
            for report in self.reports()
            if not report.sent and not self._is_too_late(report.window, true_s)
        ]

    def was_sent(self, window: int) -> None:
        """Note that the platform has taken a report; one that was dropped meanwhile stays so."""
        if window in self._reports:
            self._reports[window] = replace(self._reports[window], sent=True)

    def forget(self, true_s: float) -> list[Report]:
        """Drop the reports that are too late for anything; return those that were never sent."""
        old = [window for window in self._reports if self._is_too_late(window, true_s)]
        dropped = [self._reports.pop(window) for window in old]
        return [report for report in dropped if not report.sent]

    def _is_settled(self, window: int, true_s: float) -> bool:
        return true_s >= window_end_s(window, self._window_s) + SETTLE_S

    def _is_too_late(self, window: int, true_s: float) -> bool:
        return true_s > window_end_s(window, self._window_s) + LATEST_S
