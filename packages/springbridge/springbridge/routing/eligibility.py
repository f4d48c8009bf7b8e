"""Which endpoints may get a request.

Decided: the endpoints of a service to which a request may be sent now.
Inputs: each endpoint's state as this instance sees it, the endpoints that had the request, and the
moment in seconds of the instance's monotonic clock.
Outcome: the endpoints that are listed, not draining and reachable, without those that had the
request. Ejected endpoints are left out unless no other is left.
Why: an endpoint that is no longer listed has left and must get nothing. The exception is an outage
of the platform's store: entries of live endpoints can lapse over it, so that a service which lost
more than half of its endpoints at once keeps them for a short grace.
"""

from collections import Counter
from collections.abc import Collection, Iterable

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointEntry

# Seconds for which endpoints stay usable after a mass lapse. The platform says that live endpoints
# are back on the list within about two seconds, and no endpoint may get a request 2 s after it left
# (the default of drain_s).
LAPSE_GRACE_S = 1.9
# Seconds by which the grace ends before drain_s is over. The last request is sent before that
# moment and not at it.
DRAIN_MARGIN_S = 0.1
# Age of the list in seconds above which a gap counts as an outage of the store. It is twice the
# half second at which the list is read.
OUTAGE_S = 1.0


def candidates(
    states: Iterable[EndpointState], service: str, tried: Collection[str], now_s: float
) -> list[EndpointState]:
    """Return the endpoints of a service that may get a request, in the order of the states.

    Args:
      tried: Ids of the endpoints that had this request.
      now_s: The moment, in seconds of the monotonic clock.
    """
    usable = [
        state
        for state in states
        if state.entry.service == service
        and is_usable(state, now_s)
        and state.entry.endpoint_id not in tried
    ]
    return [state for state in usable if not is_ejected(state, now_s)] or usable


def avoided(states: Iterable[EndpointState], service: str, now_s: float) -> list[str]:
    """Return the ids of endpoints that this instance does not use although they do not drain.

    A coordinator that chooses for this instance may not know that they are ejected or unreachable.
    """
    return [
        state.entry.endpoint_id
        for state in states
        if state.entry.service == service
        and not state.entry.draining
        and (is_ejected(state, now_s) or not is_usable(state, now_s))
    ]


def is_usable(state: EndpointState, now_s: float) -> bool:
    """Return whether an endpoint may get a request, ejected or not."""
    return not state.entry.draining and state.reachable and state.usable_until_s > now_s


def is_ejected(state: EndpointState, now_s: float) -> bool:
    """Return whether an endpoint gets a request only if there is no other."""
    return state.ejected_until_s > now_s


def lapse_grace_s(drain_s: float) -> float:
    """Return for how many seconds endpoints stay usable after a mass lapse.

    Args:
      drain_s: Seconds after which an endpoint that has left must get no more requests.
    """
    return max(0.0, min(LAPSE_GRACE_S, drain_s - DRAIN_MARGIN_S))


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
