"""Which endpoints may get a request.

Decided: the endpoints of a service to which a request may be sent now.
Inputs: each endpoint's state as this instance sees it, the endpoints that had the request, and the
moment in seconds of the instance's monotonic clock.
Outcome: the endpoints to which there is no obstacle. Where there are none, those that are only
behind the others; where there are none of these either, those that have just said that they leave.
Why: an endpoint that is no longer listed has left and must get nothing. The exception is an outage
of the platform's store: entries of live endpoints can lapse over it, so that a service which lost
more than half of its endpoints at once keeps them for a short grace.

All that may stand against an endpoint is asked here, in the order of `Obstacle`. What concerns one
request alone (endpoints that had it, that it got no permit for, or that have enough trials) is
left out by its id.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from enum import Enum

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointEntry
from springbridge.statements import leaving, rests

# Seconds for which endpoints stay usable after a mass lapse. The platform says that live endpoints
# are back on the list within about two seconds, and no endpoint may get a request 2 s after it left
# (the default of drain_s).
LAPSE_GRACE_S = 1.9
# Age of the list in seconds above which a gap counts as an outage of the store. It is twice the
# half second at which the list is read.
OUTAGE_S = 1.0


class Obstacle(Enum):
    """What stands against an endpoint, in the order in which it is asked; the values are logged."""

    NOT_LISTED = "not listed"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    UNREACHABLE = "unreachable"
    RESTING = "resting"
    LEAVING = "leaving"
    EJECTED = "ejected"
    SAID_TO_LEAVE = "said to leave by a peer"
    RESTS_FROM_PEER = "rests from a peer"


# Obstacles that only put an endpoint behind those without one.
BEHIND = frozenset({Obstacle.EJECTED, Obstacle.SAID_TO_LEAVE, Obstacle.RESTS_FROM_PEER})


def candidates(
    states: Iterable[EndpointState],
    service: str,
    tried: Collection[str],
    now_s: float,
    drain_s: float = 0.0,
) -> list[EndpointState]:
    """Return the endpoints of a service that may get a request, in the order of the states.

    Args:
      tried: Ids of the endpoints that had this request.
      now_s: The moment, in seconds of the monotonic clock.
      drain_s: Seconds after an endpoint's word that it leaves within which it may get requests.
    """
    free, behind, last = [], [], []
    for state in states:
        if state.entry.service != service or state.entry.endpoint_id in tried:
            continue
        found = obstacle(state, now_s)
        if found is None:
            free.append(state)
        elif found in BEHIND:
            behind.append(state)
        elif found is Obstacle.LEAVING and _is_last_resort(state, drain_s, now_s):
            last.append(state)
    return free or behind or last


def may_get_request(
    state: EndpointState, now_s: float, drain_s: float, last_resort: bool = False
) -> bool:
    """Return whether an endpoint that was chosen may still get a request.

    Args:
      last_resort: Whether it was chosen though it leaves, for want of another.
    """
    found = obstacle(state, now_s)
    if found is Obstacle.LEAVING:
        return last_resort and _is_last_resort(state, drain_s, now_s)
    return found is None or found in BEHIND


def obstacle(state: EndpointState, now_s: float) -> Obstacle | None:
    """Return the first thing that stands against an endpoint, None if nothing does."""
    if state.usable_until_s <= now_s:
        return Obstacle.NOT_LISTED
    if state.entry.draining:
        return Obstacle.DRAINING
    if state.evacuated:
        return Obstacle.EVACUATED
    if not state.reachable:
        return Obstacle.UNREACHABLE
    said = state.said
    if said.rest is not None and not rests.may_send(said.rest, now_s):
        return Obstacle.RESTING
    if said.leaving.is_certain:
        return Obstacle.LEAVING
    if state.ejected_until_s > now_s:
        return Obstacle.EJECTED
    if leaving.is_likely(said.leaving, now_s):
        return Obstacle.SAID_TO_LEAVE
    if said.behind_until_s > now_s:
        return Obstacle.RESTS_FROM_PEER
    return None


def _is_last_resort(state: EndpointState, drain_s: float, now_s: float) -> bool:
    """Return whether an endpoint that leaves is used if its service has no other."""
    return leaving.is_last_resort(state.said.leaving, drain_s, now_s)


def avoided(states: Iterable[EndpointState], service: str, now_s: float) -> list[str]:
    """Return the ids of endpoints that this instance does not use although they do not drain.

    A coordinator that chooses for this instance may not know what stands against them here. That
    endpoints drain or are evacuated it knows.
    """
    return [
        state.entry.endpoint_id
        for state in states
        if state.entry.service == service
        and not state.entry.draining
        and not state.evacuated
        and obstacle(state, now_s) is not None
    ]


def lapse_grace_s(drain_s: float) -> float:
    """Return for how many seconds endpoints stay usable after a mass lapse.

    Args:
      drain_s: Seconds after which an endpoint that has left must get no more requests.
    """
    return leaving.within_bound_s(LAPSE_GRACE_S, drain_s)


def lapsed_services(known: Iterable[EndpointEntry], listed: Collection[str]) -> set[str]:
    """Return the services of which more than half of the endpoints are missing at once.

    One of several that is missing has left; most of them missing together have lapsed. The only
    endpoint of a service counts as most, so it lapses too.

    Args:
      known: Entries of the list before and of the new one; draining endpoints do not count.
      listed: Ids of the endpoints on the new list.
    """
    staying = [entry for entry in known if not entry.draining]
    total = Counter(entry.service for entry in staying)
    missing = Counter(entry.service for entry in staying if entry.endpoint_id not in listed)
    return {service for service in total if missing[service] * 2 > total[service]}
