"""Encodes and decodes the datagrams about duties.

A usage datagram has the counts of one window of one node and the total work that the node has sent
to endpoints. A datagram of the lease holder has the true time and the reports that it has decided.
Older builds drop both kinds.
"""

from dataclasses import dataclass

from springbridge.duties.usage import Counts, ReportedUsage, WindowCounts
from springbridge.duties.usage_reports import Report

from springbridge_node.gateway.peers.row_fields import number, text, whole

# Placeholder for a window in a datagram that only reports work.
NO_COUNTS = WindowCounts(-1, {})


@dataclass(frozen=True, slots=True)
class ReceivedWork:
    """The total work that a run of an instance has sent, in prompt tokens by service."""

    incarnation: str
    tokens: dict[str, int]


@dataclass(frozen=True, slots=True)
class HolderUpdate:
    """A datagram of the lease holder: the true time, and the reports that it has decided."""

    true_s: float
    reports: tuple[Report, ...]


def usage_rows(
    incarnation: str, started_s: float, counted: WindowCounts, work: dict[str, int]
) -> list:
    """Encode a node's counts in one window, and its total work by service."""
    return [incarnation, started_s, counted.window, counted.counts, work]


def read_usage(rows: list) -> tuple[ReportedUsage | None, ReceivedWork]:
    """Decode the counts of a node, None if there are none, and its work."""
    incarnation, started_s, window, counts, work = rows
    told_work = ReceivedWork(text(incarnation), read_counts(work))
    if whole(window) == NO_COUNTS.window:
        return None, told_work
    told = ReportedUsage(told_work.incarnation, number(started_s), window, read_counts(counts))
    return told, told_work


def holder_rows(true_s: float, reports: list[Report]) -> list:
    """Encode the true time and the decided reports."""
    return [true_s, [[report.window, report.counts] for report in reports]]


def read_holder_update(rows: list) -> HolderUpdate:
    """Decode a datagram of the lease holder."""
    true_s, reports = rows
    return HolderUpdate(
        number(true_s),
        tuple(Report(whole(window), read_counts(counts)) for window, counts in reports),
    )


def read_counts(raw: object) -> Counts:
    """Return the counts by name.

    Raises:
      ValueError: The value is not a map of names to whole numbers.
    """
    if not isinstance(raw, dict):
        raise ValueError("no counts")
    return {text(name): whole(count) for name, count in raw.items()}
