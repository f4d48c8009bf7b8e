"""Leaving endpoints: when to stop sending requests to an endpoint that says it is leaving.

Decides whether an endpoint gets no more requests, whether it gets one only if its service has no
other endpoint, and until when the endpoints of a service may still be used if all of them are
leaving. Inputs are when this instance first got the endpoint's own statement that it is leaving,
and when a peer first reported one, in seconds of a monotonic clock.

An endpoint leaves once, so its own statement is final for its incarnation, whatever a list, a later
response or a peer says. A peer's report may be wrong, so it only ranks the endpoint behind the
others, for a time that repeated reports do not extend; a later request to the endpoint finds out.

A list may be late to name an endpoint that has started again under its id and at its address. A
statement that comes meanwhile is recorded for the run that the list names, though it may be the
next run's (attribution.py). It then counts for that one as well, for a while, as it may be wrong.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from springbridge.statements.attribution import Receipt

# Seconds before the operators' drain bound at which the last request to a leaving or gone endpoint
# may be sent, so that it is sent before the bound and not at it.
DRAIN_MARGIN_S = 0.1
# Longest time in seconds for which an endpoint may be used as the last resort after its statement.
MAX_LAST_RESORT_S = 1.9
# Seconds for which a peer's report ranks an endpoint behind the others. The list, which is read
# every half second, shows the same long before that unless the store is unavailable.
PEER_REPORT_S = 10.0
# Seconds for which a statement counts that is recorded for another run of the endpoint. As long as
# a peer's report, which may be wrong too.
CARRIED_S = PEER_REPORT_S


@dataclass(slots=True)
class Leaving:
    """When an endpoint was first known to be leaving.

    Attributes:
      heard_s: When this instance first got the endpoint's own statement; None if it did not.
      first: The first such statement that was recorded for this run.
      latest: The latest one.
      told_s: When a peer first reported one; None if none did.
      probable_s: When a statement came that is recorded for another run of the endpoint but
        probably this one's own; None if none did.
      possible_s: The same of a statement that is possibly this run's own.
    """

    heard_s: float | None = None
    first: Receipt | None = None
    latest: Receipt | None = None
    told_s: float | None = None
    probable_s: float | None = None
    possible_s: float | None = None

    @property
    def is_certain(self) -> bool:
        """Return whether this instance got the endpoint's own statement."""
        return self.heard_s is not None

    def receipts(self) -> Iterator[Receipt]:
        """Return when the first and the latest statement came that are recorded for this run."""
        return (each for each in (self.first, self.latest) if each is not None)

    @property
    def first_heard_s(self) -> float | None:
        """Return when the endpoint's own statement came, also if it may be of another run."""
        return self.probable_s if self.heard_s is None else self.heard_s

    @property
    def is_known(self) -> bool:
        """Return whether the endpoint stated or a peer reported that it is leaving."""
        return self.is_certain or self.told_s is not None


def wants_nothing(leaving: Leaving, now_s: float) -> bool:
    """Return whether an endpoint's own statement keeps requests away from it now."""
    if leaving.is_certain:
        return True
    return leaving.probable_s is not None and now_s < leaving.probable_s + CARRIED_S


def is_likely(leaving: Leaving, now_s: float) -> bool:
    """Return whether a statement that may be wrong makes an endpoint the choice after all others.

    That is a peer's report, or a statement that is possibly another run's.
    """
    reports = ((leaving.told_s, PEER_REPORT_S), (leaving.possible_s, CARRIED_S))
    return any(at_s is not None and now_s < at_s + counts_s for at_s, counts_s in reports)


def within_bound_s(wanted_s: float, drain_s: float) -> float:
    """Return for how many seconds a leaving or gone endpoint may still be used.

    Args:
      wanted_s: Seconds for which it would be used without the bound.
      drain_s: The operators' bound: seconds after which it must not get any more requests.
    """
    return max(0.0, min(wanted_s, drain_s - DRAIN_MARGIN_S))


def is_last_resort(leaving: Leaving, drain_s: float, now_s: float) -> bool:
    """Return whether a leaving endpoint may still be used if its whole service is leaving."""
    heard_s = leaving.first_heard_s
    if heard_s is None:
        return False
    return now_s < heard_s + within_bound_s(MAX_LAST_RESORT_S, drain_s)
