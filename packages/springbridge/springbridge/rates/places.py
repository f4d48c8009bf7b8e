"""Places at a brittle endpoint: how many requests may be sent to it, so that few are rejected.

A brittle endpoint states how many requests it can reject in a second; if it has to reject more, it
crashes. How many it has room for is not stated and changes. So the instance that grants its places
counts, for all instances, the rejections of the last second and the grants that may still be
rejected, and keeps their sum below what the endpoint can reject. That holds however suddenly the
room shrinks. A rejection also shows how many requests the endpoint has room for; beyond that number
one more is tried at a time.

Inputs: the stated number, the requests in progress by their leases, and how each ended; times in
seconds of the granter's monotonic clock.
"""

from collections import deque
from collections.abc import Callable, Set
from dataclasses import dataclass, field

from springbridge.rates.grants import Grant
from springbridge.routing.records import EndpointIncarnation

# Share of the rejections an endpoint can stand that are used. The rest, at least
# HANDOVER_REJECTIONS, is for a substitute of the granter, and for requests that are sent without a
# place by instances that do not know yet that the endpoint is brittle.
USED_SHARE = 0.9
# Share of the rejections that requests beyond the known room may cause: most of these are rejected.
TRIED_SHARE = 0.25
# Seconds over which an endpoint counts its rejections, and a little more for the way of a report.
WINDOW_S = 1.2
# Seconds after which a request that was not rejected has been accepted: rejections come at once,
# and a report of one takes some round trips.
CONFIRMED_AFTER_S = 0.06
# Shortest pause after a rejection before a request beyond the known room is sent, in seconds.
TRY_MORE_S = 0.2
# Share of the known room that is left after a rejection. The granter may count too few requests, as
# those that a substitute granted are not among them, so one rejection alone tells little.
LEFT_SHARE = 0.75
# Share of the requests that an endpoint accepted at once within ACCEPTED_S up to which further ones
# are sure to be accepted, unless its room shrinks by more than that at once.
SAFE_SHARE = 0.7
ACCEPTED_S = 2.0
# Seconds after which the place of a request is free though its end was not reported.
LEASE_EXPIRY_S = 20.0
# Seconds by which a request for a place may arrive after the report that it is not needed any more.
LATE_S = 1.0
# Seconds that a refused instance waits before it asks again.
WAIT_S = 0.02
# Rejections a second that a granter may cause while another one may still grant as well.
HANDOVER_REJECTIONS = 1


def allowed_rejections(stated: float, share: float, is_settled: bool) -> int:
    """Return how many rejections a second a granter may cause at an endpoint.

    Args:
      stated: Rejections a second that the endpoint can stand.
      share: Share of the possibly running instances that the granter reaches, 0 to 1.
      is_settled: Whether it has been the granter long enough that no other one grants any more.
    """
    if not is_settled:
        return HANDOVER_REJECTIONS if stated > HANDOVER_REJECTIONS else 0
    whole = max(1, min(int(stated * USED_SHARE), int(stated) - HANDOVER_REJECTIONS))
    # The smaller side of a partition of the fleet grants nothing if there is one to grant.
    return max(int(whole * share), int(share > 0.5))


@dataclass
class _Places:
    """The places of one endpoint.

    Attributes:
      leases: When the place of each request in progress was granted, by its lease.
      unconfirmed: Those of them that may still be rejected.
      ended: When the end of requests was reported that had no place: they may ask for it late.
      rejected_s: When requests were rejected, the oldest first.
      accepted: Most requests in progress that were all accepted, in the last ACCEPTED_S.
      accepted_s: When there were so many.
      room: Requests that the endpoint has room for, None before its first rejection.
    """

    leases: dict[str, float] = field(default_factory=dict)
    unconfirmed: dict[str, float] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    rejected_s: deque[float] = field(default_factory=deque)
    accepted: int = 0
    accepted_s: float = float("-inf")
    room: int | None = None


class PlaceGrants:
    """The places that this instance grants."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without places.

        Args:
          clock: Returns monotonic time in seconds.
        """
        self._clock = clock
        self._places: dict[EndpointIncarnation, _Places] = {}

    def request(self, incarnation: EndpointIncarnation, lease: str, allowed: int) -> Grant:
        """Grant a place to a request if it may be sent now.

        Args:
          lease: Id of the request's place, unique in the fleet.
          allowed: See allowed_rejections().
        """
        now_s = self._clock()
        places = self._places.setdefault(incarnation, _Places())
        _expire(places, now_s)
        if lease in places.ended:
            return Grant(False, WAIT_S)
        if len(places.leases) < SAFE_SHARE * places.accepted:
            places.leases[lease] = now_s
            return Grant(True)
        outstanding = len(places.unconfirmed) + len(places.rejected_s)
        if outstanding >= allowed:
            return Grant(False, WAIT_S)
        is_full = places.room is not None and len(places.leases) >= places.room
        if is_full and not _may_try_more(places, allowed, now_s):
            return Grant(False, WAIT_S)
        places.leases[lease] = places.unconfirmed[lease] = now_s
        return Grant(True)

    def end(self, incarnation: EndpointIncarnation, lease: str, rejected: bool) -> None:
        """Record the end of a request: its place is free."""
        places = self._places.get(incarnation)
        if places is None:
            return
        places.unconfirmed.pop(lease, None)
        if places.leases.pop(lease, None) is None:
            places.ended[lease] = self._clock()
        if rejected:
            places.rejected_s.append(self._clock())
            places.room = _room_after_rejection(places)
            places.accepted = min(places.accepted, len(places.leases))

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Drop the places of all endpoints but the given ones."""
        for incarnation in self._places.keys() - incarnations:
            del self._places[incarnation]


def _room_after_rejection(places: _Places) -> int:
    """Return the room that an endpoint has after it rejected a request."""
    in_progress = max(1, len(places.leases))
    if places.room is None:
        return in_progress
    return min(places.room, max(in_progress, int(places.room * LEFT_SHARE), 1))


def _may_try_more(places: _Places, allowed: int, now_s: float) -> bool:
    """Return whether a request beyond the known room may be sent: one at a time."""
    if places.unconfirmed:
        return False
    if not places.rejected_s:
        return True
    return now_s - places.rejected_s[-1] >= max(TRY_MORE_S, 1.0 / (allowed * TRIED_SHARE))


def _expire(places: _Places, now_s: float) -> None:
    """Drop what is too old, and learn from requests that were accepted."""
    while places.rejected_s and places.rejected_s[0] < now_s - WINDOW_S:
        places.rejected_s.popleft()
    for lease, since_s in list(places.unconfirmed.items()):
        if since_s < now_s - CONFIRMED_AFTER_S:
            del places.unconfirmed[lease]
    if not places.unconfirmed:
        _learn(places, now_s)
    for lease, since_s in list(places.leases.items()):
        if since_s < now_s - LEASE_EXPIRY_S:
            del places.leases[lease]
    while places.ended and (first := next(iter(places.ended.items())))[1] < now_s - LATE_S:
        del places.ended[first[0]]


def _learn(places: _Places, now_s: float) -> None:
    """Learn from requests in progress that have all been accepted: there is room for them."""
    count = len(places.leases)
    if count >= places.accepted or now_s - places.accepted_s > ACCEPTED_S:
        places.accepted, places.accepted_s = count, now_s
    if places.room is not None:
        places.room = max(places.room, count)
