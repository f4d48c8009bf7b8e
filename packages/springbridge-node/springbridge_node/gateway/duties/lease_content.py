"""What the holder of the duties keeps with the lease, so that its successors can go on.

The totals of windows that are not decided serve a fleet whose nodes were all lost; the reports say
what was decided and must never be decided anew.
"""

from dataclasses import dataclass, field

import orjson
from springbridge.duties.usage import Counts
from springbridge.duties.usage_reports import Report

from springbridge_node.gateway.duties.duty_rows import read_counts
from springbridge_node.gateway.peers.row_fields import number, whole

# Bytes of the totals that are kept; a row of the store holds little more. What is beyond is lost if
# all nodes are lost at once.
MOST_TOTALS_BYTES = 24 << 10
# Era of a content that nobody kept.
NO_ERA = -1


@dataclass(frozen=True, slots=True)
class LeaseContent:
    """The holder's state.

    Attributes:
      kept_s: True time at which it was kept.
      wall_ahead_s: True time less the store's steady clock; None before it was known.
      next_window: First window that is not decided; None before the first.
      reports: Reports that were decided lately.
      totals: Counts of windows that are not decided.
      era: Era of the store in which it was kept. A row that only names a new holder has the content
        of the holder before.
    """

    kept_s: float = 0.0
    wall_ahead_s: float | None = None
    next_window: int | None = None
    reports: tuple[Report, ...] = ()
    totals: dict[int, Counts] = field(default_factory=dict)
    era: int = NO_ERA


def to_bytes(content: LeaseContent) -> bytes:
    """Return the content of the row."""
    totals = {str(window): counts for window, counts in content.totals.items()}
    if len(orjson.dumps(totals)) > MOST_TOTALS_BYTES:
        totals = {}
    return orjson.dumps(
        {
            "kept_s": content.kept_s,
            "wall_ahead_s": content.wall_ahead_s,
            "next_window": content.next_window,
            "reports": [[each.window, each.counts, each.sent] for each in content.reports],
            "totals": totals,
            "era": content.era,
        }
    )


def from_bytes(raw: bytes, row_era: int) -> LeaseContent:
    """Return the content of a row.

    Args:
      row_era: Era in which the row was written, for the content of earlier builds, which name none.

    Raises:
      ValueError, TypeError, KeyError: The row is of another writer.
    """
    found = orjson.loads(raw)
    ahead_s, next_window = found["wall_ahead_s"], found["next_window"]
    return LeaseContent(
        kept_s=number(found["kept_s"]),
        wall_ahead_s=None if ahead_s is None else number(ahead_s),
        next_window=None if next_window is None else whole(next_window),
        reports=tuple(
            Report(whole(window), read_counts(counts), sent is True)
            for window, counts, sent in found["reports"]
        ),
        totals={int(window): read_counts(counts) for window, counts in found["totals"].items()},
        era=whole(found.get("era", row_era)),
    )
