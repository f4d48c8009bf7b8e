"""Ending versions: keeps new requests from endpoints whose version is being replaced.

A stream can go on only at the version that began it. One that begins at the last endpoints of a
version has nowhere to go on, and it takes room from those that have.
Inputs: the endpoints that may get a request, and those of their service that are leaving.
Result: the endpoints that a new request chooses from.
A version is ending while an endpoint of it is leaving and fewer of it stay than of another version.
Its endpoints still get new requests if no other has room for them.
"""

from collections import Counter
from collections.abc import Sequence

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.overload import overload
from springbridge.routing.records import Demand


def without_ending_versions(
    states: Sequence[EndpointState],
    leaving: Sequence[EndpointState],
    demand: Demand,
    now_s: float,
) -> Sequence[EndpointState]:
    """Return the endpoints of versions that stay if one of them has room, else all.

    Args:
      states: The endpoints that may get the request.
      leaving: The endpoints of their service that are leaving.
      now_s: The current time in seconds of the clock that the states use.
    """
    ending = _ending_versions(states, leaving)
    if not ending:
        return states
    others = [
        state for state in states if state.entry.version not in ending and not state.is_cold(now_s)
    ]
    return states if not others or overload(others, demand) else others


def _ending_versions(
    states: Sequence[EndpointState], leaving: Sequence[EndpointState]
) -> frozenset[str | None]:
    """Return the versions that are being replaced by another one."""
    counts = Counter(state.entry.version for state in states)
    most = max(counts.values(), default=0)
    versions_leaving = {state.entry.version for state in leaving}
    return frozenset(version for version in versions_leaving if counts[version] < most)
