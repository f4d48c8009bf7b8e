"""Rows of the datagrams about duties.

A datagram of usage holds one window of one node and the work that the node has sent so far; one of
news the true time and the reports that the holder has decided. Older builds drop both kinds.
"""

from dataclasses import dataclass

from springbridge.duties.usage import Counts, ReportedUsage, WindowCounts
from springbridge.duties.usage_reports import Report

from springbridge_node.gateway.peers.row_fields import number, text, whole

# In place of a window where a node has only work to tell.
NO_COUNTS = WindowCounts(-1, {})


@dataclass(frozen=True, slots=True)
class ToldWork:
    """The work that a run of an instance has sent so far, in prompt tokens by service."""

    incarnation: str
    tokens: dict[str, int]


@dataclass(frozen=True, slots=True)
class HolderNews:
    """What the holder tells: the true time, and reports that it has decided."""

    true_s: float
    reports: tuple[Report, ...]


def usage_rows(
    incarnation: str, started_s: float, counted: WindowCounts, work: dict[str, int]
) -> list:
    """Return the rows of a node's counts in one window and of its work."""
    return [incarnation, started_s, counted.window, counted.counts, work]


def read_usage(rows: list) -> tuple[ReportedUsage | None, ToldWork]:
    """Return the counts, None if there are none, and the work of a node."""
    incarnation, started_s, window, counts, work = rows
    told_work = ToldWork(text(incarnation), read_counts(work))
    if whole(window) == NO_COUNTS.window:
        return None, told_work
    told = ReportedUsage(told_work.incarnation, number(started_s), window, read_counts(counts))
    return told, told_work


def news_rows(true_s: float, reports: list[Report]) -> list:
    """Return the rows of the holder's news."""
    return [true_s, [[report.window, report.counts] for report in reports]]


def read_news(rows: list) -> HolderNews:
    """Return the holder's news of its rows."""
    true_s, reports = rows
    return HolderNews(
        number(true_s),
        tuple(Report(whole(window), read_counts(counts)) for window, counts in reports),
    )


def read_counts(raw: object) -> Counts:
    """Return numbers by name.

    Raises:
      ValueError: It is something else.
    """
    if not isinstance(raw, dict):
        raise ValueError("no counts")
    return {text(name): whole(count) for name, count in raw.items()}
