"""Attribution of statements: which run of an endpoint made a statement.

Decides whether a statement that is recorded for one run may have been made by the run that the list
names now. Inputs are both runs, until when lists named another run, when the statement came and
when its connection was opened, in seconds of a monotonic clock.

An endpoint that starts again under its id and address answers before the list names its new run,
and its statements are recorded for the run that the list still names. Two facts tell the runs
apart. A process that ends takes its connections with it, so a connection that was opened while the
run before was certainly up leads to that run. And a list that was read after a statement came shows
which run was up then, unless the entry of the new run was not written yet.
"""

import enum
from dataclasses import dataclass

from springbridge.routing.listed_entries import ENTRY_DELAY_S
from springbridge.routing.records import EndpointIncarnation

# When a connection was opened of which only this is known: before any list in use.
LONG_AGO_S = float("-inf")


class Attribution(enum.Enum):
    """Whether a statement that is recorded for another run was made by the listed run."""

    NO = "no"
    POSSIBLE = "possible"
    PROBABLE = "probable"


@dataclass(frozen=True, slots=True)
class Receipt:
    """When a statement came.

    Attributes:
      heard_s: When this instance got it.
      opened_s: When the connection was opened on which it came.
    """

    heard_s: float
    opened_s: float = LONG_AGO_S


def attribution(
    receipt: Receipt,
    recorded_for: EndpointIncarnation,
    shown_until_s: float | None,
    listed: EndpointIncarnation,
) -> Attribution:
    """Return whether a statement was made by the listed run.

    Args:
      receipt: When the statement came.
      recorded_for: The run that the list named then.
      shown_until_s: When a list that named another run than the listed one was last known to be
        current; None if none was.
      listed: The run that the list names now.
    """
    if _is_earlier(listed, recorded_for):
        # No run comes before an earlier one: the list is an older copy, and the later run is up.
        return Attribution.PROBABLE
    if shown_until_s is None:
        return Attribution.PROBABLE
    # The entry of a later run may be written and read up to ENTRY_DELAY_S after its start.
    if receipt.opened_s <= shown_until_s - ENTRY_DELAY_S:
        return Attribution.NO
    return Attribution.PROBABLE if receipt.heard_s > shown_until_s else Attribution.POSSIBLE


def _is_earlier(one: EndpointIncarnation, other: EndpointIncarnation) -> bool:
    """Return whether a run started before another one; False if a start time is unknown."""
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms < other.born_ms
