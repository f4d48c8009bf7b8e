"""Eligibility: which endpoints of a service may get a request now.

Inputs: each endpoint's state as seen by this instance, the endpoints that were already tried, and
the current time in seconds of the instance's monotonic clock.
Result: the endpoints that nothing excludes. If there are none, the endpoints that are only
deprioritized (`DEPRIORITIZING_REASONS`); if there are none of these either, those that have
announced only recently that they are leaving.
An endpoint that is no longer listed has left and must get no request. The exception is an outage
of the platform's store: entries of live endpoints can lapse during it, so a service that lost more
than half of its endpoints at once keeps them for a short grace period.

All reasons to exclude an endpoint are checked here, in the order of `ExclusionReason`. Exclusions
that concern a single request (endpoints already tried, without a permit, or with enough trials) are
passed in as endpoint ids.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from enum import Enum

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointEntry
from springbridge.statements import leaving, rests

# Seconds for which endpoints stay usable after a mass lapse. According to the platform, live
# endpoints are listed again within about two seconds, and no endpoint may get a request 2 s after
# it left (the default of drain_s).
MASS_LAPSE_GRACE_S = 1.9
# Age of the list in seconds above which the store counts as having been down: twice the interval
# of half a second at which the list is read.
OUTAGE_LIST_AGE_S = 1.0


class ExclusionReason(Enum):
    """Why an endpoint gets no request, in the order of the checks; the values are logged."""

    NOT_LISTED = "not listed"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    UNREACHABLE = "unreachable"
    RESTING = "resting"
    LEAVING = "leaving"
    EJECTED = "ejected"
    REPORTED_UNREACHABLE = "said to be unreachable by a peer"
    REPORTED_LEAVING = "said to leave by a peer"
    REPORTED_RESTING = "rests from a peer"


# Reasons for which an endpoint is used only if the service has no endpoint without any reason.
DEPRIORITIZING_REASONS = frozenset(
    {
        ExclusionReason.EJECTED,
        ExclusionReason.REPORTED_UNREACHABLE,
        ExclusionReason.REPORTED_LEAVING,
        ExclusionReason.REPORTED_RESTING,
    }
)


def candidates(
    states: Iterable[EndpointState],
    service: str,
    tried: Collection[str],
    now_s: float,
    drain_s: float = 0.0,
    version: str | None = None,
) -> list[EndpointState]:
    """Return the endpoints of a service that may get a request, in the order of the states.

    Args:
      tried: Ids of the endpoints that were already tried for this request.
      now_s: The current time in seconds of the monotonic clock.
      drain_s: Seconds for which an endpoint may get requests after announcing that it leaves.
      version: Version at which a stream has to go on; None for a request that any may serve.
    """
    eligible, deprioritized, last_resort = [], [], []
    for state in states:
        if state.entry.service != service or state.entry.endpoint_id in tried:
            continue
        if not is_of_version(state.entry, version):
            continue
        reason = exclusion_reason(state, now_s)
        if reason is None:
            eligible.append(state)
        elif reason in DEPRIORITIZING_REASONS:
            deprioritized.append(state)
        elif reason is ExclusionReason.LEAVING and _is_last_resort(state, drain_s, now_s):
            last_resort.append(state)
    return eligible or deprioritized or last_resort


def is_of_version(entry: EndpointEntry, version: str | None) -> bool:
    """Return whether an endpoint has the version that is needed; None if any will do.

    Versions have no order, and an endpoint of an unknown version is not of any.
    """
    return version is None or entry.version == version


def may_get_request(
    state: EndpointState, now_s: float, drain_s: float, last_resort: bool = False
) -> bool:
    """Return whether an endpoint that was chosen earlier may still get a request.

    Args:
      last_resort: Whether it was chosen although it is leaving, as there was no other endpoint.
    """
    reason = exclusion_reason(state, now_s)
    if reason is ExclusionReason.LEAVING:
        return last_resort and _is_last_resort(state, drain_s, now_s)
    return reason is None or reason in DEPRIORITIZING_REASONS


def exclusion_reason(state: EndpointState, now_s: float) -> ExclusionReason | None:
    """Return the first reason to exclude an endpoint, None if there is none."""
    if state.usable_until_s <= now_s:
        return ExclusionReason.NOT_LISTED
    if state.entry.draining:
        return ExclusionReason.DRAINING
    if state.evacuated:
        return ExclusionReason.EVACUATED
    if not state.reachable:
        return ExclusionReason.UNREACHABLE
    said = state.statements
    if said.rest is not None and not rests.may_send(said.rest, now_s):
        return ExclusionReason.RESTING
    if leaving.wants_nothing(said.leaving, now_s):
        return ExclusionReason.LEAVING
    if state.ejected_until_s > now_s:
        return ExclusionReason.EJECTED
    if state.reported_unreachable_until_s > now_s:
        return ExclusionReason.REPORTED_UNREACHABLE
    if leaving.is_likely(said.leaving, now_s):
        return ExclusionReason.REPORTED_LEAVING
    if said.behind_until_s > now_s:
        return ExclusionReason.REPORTED_RESTING
    return None


def _is_last_resort(state: EndpointState, drain_s: float, now_s: float) -> bool:
    """Return whether a leaving endpoint may still be used if its service has no other."""
    return leaving.is_last_resort(state.statements.leaving, drain_s, now_s)


def avoided(states: Iterable[EndpointState], service: str, now_s: float) -> list[str]:
    """Return the ids of endpoints excluded by this instance, except draining or evacuated ones.

    A coordinator that chooses for this instance may not know of these exclusions. It does know
    which endpoints drain or are evacuated.
    """
    return [
        state.entry.endpoint_id
        for state in states
        if state.entry.service == service
        and not state.entry.draining
        and not state.evacuated
        and exclusion_reason(state, now_s) is not None
    ]


def lapse_grace_s(drain_s: float) -> float:
    """Return the grace period after a mass lapse in seconds, limited by the drain time.

    Args:
      drain_s: Seconds after which an endpoint that has left must get no more requests.
    """
    return leaving.within_bound_s(MASS_LAPSE_GRACE_S, drain_s)


def lapsed_services(known: Iterable[EndpointEntry], listed: Collection[str]) -> set[str]:
    """Return the services of which more than half of the endpoints disappeared at once.

    A single endpoint of several that is missing has left; if most are missing, their entries have
    lapsed. The only endpoint of a service is more than half of it, so it counts as lapsed too.

    Args:
      known: Entries known before the new list; draining endpoints do not count.
      listed: Ids of the endpoints on the new list.
    """
    staying = [entry for entry in known if not entry.draining]
    total = Counter(entry.service for entry in staying)
    missing = Counter(entry.service for entry in staying if entry.endpoint_id not in listed)
    return {service for service in total if missing[service] * 2 > total[service]}
