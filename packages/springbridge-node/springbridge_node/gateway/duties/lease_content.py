"""The state that the holder of the duties stores with the lease for later holders.

The totals of undecided windows are needed if all nodes of the fleet were lost. The reports record
what was decided and must never be decided again.
"""

from dataclasses import dataclass, field

import orjson
from springbridge.duties.usage import Counts
from springbridge.duties.usage_reports import Report

from springbridge_node.gateway.duties.duty_rows import read_counts
from springbridge_node.gateway.peers.row_fields import number, whole

# Most bytes of totals that are stored; a row of the store holds little more. Larger totals are left
# out, and are lost if all nodes are lost at once.
MAX_TOTALS_BYTES = 24 << 10
# Era of an empty content that was never stored.
NO_ERA = -1


@dataclass(frozen=True, slots=True)
class LeaseContent:
    """The holder's state.

    Attributes:
      kept_s: True time at which it was stored.
      wall_ahead_s: True time minus the store's steady clock; None while unknown.
      next_window: First undecided window; None before the first decision.
      reports: Recently decided reports.
      totals: Counts of undecided windows.
      era: Era of the store in which it was stored. A row that only names a new holder still has the
        content of the previous holder.
      stored_next: First window that was undecided in the holder's last acknowledged write, None if
        no write of its is known to be acknowledged. Reports from this window on were decided with
        the write of this content, and nobody may ever have learnt that it took effect.
    """

    kept_s: float = 0.0
    wall_ahead_s: float | None = None
    next_window: int | None = None
    reports: tuple[Report, ...] = ()
    totals: dict[int, Counts] = field(default_factory=dict)
    era: int = NO_ERA
    stored_next: int | None = None

    def stored_reports(self) -> tuple[Report, ...]:
        """Return the reports that an earlier, acknowledged write has stored as well."""
        return tuple(
            each
            for each in self.reports
            if each.sent or (self.stored_next is not None and each.window < self.stored_next)
        )


def to_bytes(content: LeaseContent) -> bytes:
    """Encode a content for the row; totals above MAX_TOTALS_BYTES are left out."""
    totals = {str(window): counts for window, counts in content.totals.items()}
    if len(orjson.dumps(totals)) > MAX_TOTALS_BYTES:
        totals = {}
    return orjson.dumps(
        {
            "kept_s": content.kept_s,
            "wall_ahead_s": content.wall_ahead_s,
            "next_window": content.next_window,
            "reports": [[each.window, each.counts, each.sent] for each in content.reports],
            "totals": totals,
            "era": content.era,
            "stored_next": content.stored_next,
        }
    )


def from_bytes(raw: bytes, row_era: int) -> LeaseContent:
    """Decode the content of a row.

    Args:
      row_era: Era in which the row was written; used for content of earlier builds, which has no
        era and no stored_next.

    Raises:
      ValueError, TypeError, KeyError: The content has another format.
    """
    found = orjson.loads(raw)
    ahead_s, next_window = found["wall_ahead_s"], found["next_window"]
    stored_next = found.get("stored_next")
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
        stored_next=None if stored_next is None else whole(stored_next),
    )
