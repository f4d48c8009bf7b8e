"""Usage counters: how many requests of each customer endpoints began, by window of true time.

Each instance counts its own requests and broadcasts the counts. As these only grow, a receiver
keeps the largest, so lost and repeated messages do no harm.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Seconds after the end of a window for which an instance keeps its counts. A window is reported
# within that time, or its counts could not be sent to any holder.
KEPT_S = 30.0

Counts = dict[str, int]


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Requests of one window by customer."""

    window: int
    counts: Counts


@dataclass(frozen=True, slots=True)
class ReportedUsage:
    """The requests that one run of an instance reports for one window.

    Attributes:
      incarnation: Identifies the run.
      started_s: When the run started, in true time.
      window: Number of the window.
      counts: Requests by customer.
    """

    incarnation: str
    started_s: float
    window: int
    counts: Counts


def window_at(true_s: float, window_s: float) -> int:
    """Return the number of the window that contains a moment of true time."""
    return math.floor(true_s / window_s)


def window_end_s(window: int, window_s: float) -> float:
    """Return the true time at which a window ends."""
    return (window + 1) * window_s


def larger_counts(one: Mapping[str, int], other: Mapping[str, int]) -> Counts:
    """Return the larger of two counts for each customer."""
    return {name: max(one.get(name, 0), other.get(name, 0)) for name in {**one, **other}}


class OwnUsage:
    """Counts of the requests that this instance sent and endpoints began."""

    def __init__(self, window_s: float) -> None:
        """Start without counts."""
        self.window_s = window_s
        self._windows: dict[int, Counts] = {}

    def began(self, customer: str, true_s: float) -> None:
        """Count a request of a customer that an endpoint began at a moment of true time."""
        counts = self._windows.setdefault(window_at(true_s, self.window_s), {})
        counts[customer] = counts.get(customer, 0) + 1

    def windows(self) -> list[WindowCounts]:
        """Return the windows that have counts."""
        return [WindowCounts(window, counts) for window, counts in self._windows.items()]

    def forget(self, true_s: float) -> None:
        """Drop windows that ended more than KEPT_S ago."""
        first = window_at(true_s - KEPT_S, self.window_s)
        self._windows = {
            window: counts for window, counts in self._windows.items() if window >= first
        }


class FleetUsage:
    """Counts of the requests that endpoints began for all instances, from their reports.

    A lease holder stores the totals with its lease, in case all instances are lost. These include
    the counts of all runs that had started by then; the counts of later runs are added to them.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self._reports: dict[int, dict[str, ReportedUsage]] = defaultdict(dict)
        self._stored: dict[int, Counts] = {}
        self._stored_s = -math.inf

    def merge(self, report: ReportedUsage) -> None:
        """Merge a report; the larger count wins for each customer."""
        runs = self._reports[report.window]
        before = runs.get(report.incarnation)
        counts = larger_counts(before.counts, report.counts) if before else report.counts
        runs[report.incarnation] = ReportedUsage(
            report.incarnation, report.started_s, report.window, dict(counts)
        )

    def restore(self, totals: Mapping[int, Counts], stored_s: float) -> None:
        """Load the totals that an earlier lease holder stored.

        Args:
          totals: Requests by window and customer.
          stored_s: When they were stored, in true time.
        """
        self._stored = {window: dict(counts) for window, counts in totals.items()}
        self._stored_s = stored_s

    def totals(self, window: int) -> Counts:
        """Return the requests of a window by customer."""
        runs = self._reports.get(window, {}).values()
        earlier = _sum(run.counts for run in runs if run.started_s <= self._stored_s)
        later = _sum(run.counts for run in runs if run.started_s > self._stored_s)
        return _sum([larger_counts(self._stored.get(window, {}), earlier), later])

    def windows(self) -> list[int]:
        """Return the numbers of the windows that have counts, in ascending order."""
        return sorted({*self._reports, *self._stored})

    def forget(self, before: int) -> None:
        """Drop the windows before a given one."""
        for window in [window for window in self._reports if window < before]:
            del self._reports[window]
        for window in [window for window in self._stored if window < before]:
            del self._stored[window]


def _sum(parts: Iterable[Counts]) -> Counts:
    """Return the sum of counts by customer."""
    total: Counts = defaultdict(int)
    for counts in parts:
        for customer, count in counts.items():
            total[customer] += count
    return dict(total)
