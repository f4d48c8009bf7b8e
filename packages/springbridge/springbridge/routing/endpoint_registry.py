"""What this node believes of each endpoint: listed, loaded, failing, and which prompts it holds.

The platform's list says which endpoints exist; this node's own traffic says how they do. An
endpoint that leaves the list gets no new request. The one exception: when the list was unreadable
for a while, entries may have expired without their endpoints having gone, so that the endpoints of
a service that lost most of them over the outage stay usable for a short grace.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Set

import xxhash

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import EndpointEntry, EndpointSnapshot

FAILURES_TO_EJECT = 3
EJECT_S = 1.0
LONGEST_EJECT_S = 4.0
MOST_DOUBLINGS = 4
# Entries that lapsed over an outage are back within about two seconds if their endpoints live.
LAPSE_GRACE_S = 1.9
DRAIN_MARGIN_S = 0.1
FINGERPRINT_SHIFT = 32
OUTAGE_S = 1.0


class EndpointRegistry:
    """All endpoints that this node may use."""

    def __init__(self, clock: Callable[[], float], drain_s: float = float("inf")) -> None:
        """Start without endpoints.

        Args:
          drain_s: How long an endpoint that is known to have left may still get requests.
        """
        self._clock = clock
        self._lapse_grace_s = max(0.0, min(LAPSE_GRACE_S, drain_s - DRAIN_MARGIN_S))
        self._states: dict[str, EndpointState] = {}
        self._revision = -1
        self._read_s: float | None = None
        self._fingerprint = 0

    @property
    def fingerprint(self) -> int:
        """Return a hash of the list in use, alike at all nodes that have the same; 0 before one."""
        return self._fingerprint

    def confirm(self, age_s: float) -> None:
        """Note that the list in use was still the newest so long ago."""
        if self._read_s is not None:
            self._read_s = max(self._read_s, self._clock() - age_s)

    @property
    def revision(self) -> int:
        """Return the revision of the list in use, -1 before the first."""
        return self._revision

    def age_s(self) -> float:
        """Return how old the list in use is, in seconds; infinite before the first."""
        return float("inf") if self._read_s is None else self._clock() - self._read_s

    def install(self, snapshot: EndpointSnapshot, capacities: dict[str, int], age_s: float) -> bool:
        """Take in a list unless a newer one is in use.

        Args:
          capacities: Tokens that an endpoint of a service can keep.
          age_s: How long ago the list was read.

        Returns:
          Whether an endpoint came, went, or changed.
        """
        if snapshot.revision < self._revision:
            return False
        after_outage = self.age_s() > OUTAGE_S + age_s
        self._revision = snapshot.revision
        self._fingerprint = _fingerprint(snapshot)
        self._read_s = self._clock() - age_s
        listed = {entry.endpoint_id: entry for entry in snapshot.entries}
        changed = self._update(listed, capacities)
        return self._drop_unlisted(listed, after_outage) or changed

    def _update(self, listed: dict[str, EndpointEntry], capacities: dict[str, int]) -> bool:
        """Take in the listed endpoints and return whether one is new or changed."""
        changed = False
        for endpoint_id, entry in listed.items():
            state = self._states.get(endpoint_id)
            if state is None:
                state = self._states[endpoint_id] = EndpointState(entry)
                changed = True
            elif state.entry != entry:
                state.entry = entry
                changed = True
            state.usable_until_s = float("inf")
            state.cache.capacity = capacities.get(entry.service, 0)
        return changed

    def _drop_unlisted(self, listed: dict[str, EndpointEntry], after_outage: bool) -> bool:
        """Stop using endpoints that are no longer listed and return whether there were any."""
        now_s = self._clock()
        changed = False
        lapsed = self._lapsed_services(listed) if after_outage else set()
        for endpoint_id in [name for name in self._states if name not in listed]:
            state = self._states[endpoint_id]
            if state.usable_until_s == float("inf"):
                lapse = state.entry.service in lapsed and not state.entry.draining
                state.usable_until_s = now_s + (self._lapse_grace_s if lapse else 0.0)
                changed = True
            if state.usable_until_s <= now_s and not state.in_flight:
                del self._states[endpoint_id]
        return changed

    def _lapsed_services(self, listed: dict[str, EndpointEntry]) -> set[str]:
        """Return the services that lost more than half of their endpoints at once.

        A single endpoint that is no longer listed has left; many at once have expired together.
        """
        before: Counter[str] = Counter()
        missing: Counter[str] = Counter()
        for endpoint_id, state in self._states.items():
            if state.usable_until_s == float("inf") and not state.entry.draining:
                before[state.entry.service] += 1
                missing[state.entry.service] += endpoint_id not in listed
        return {name for name in before if missing[name] * 2 > before[name]}

    def find(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint by its id."""
        return self._states.get(endpoint_id)

    def entries(self) -> tuple[EndpointEntry, ...]:
        """Return the endpoints that are listed now."""
        return tuple(
            state.entry for state in self._states.values() if state.usable_until_s == float("inf")
        )

    def known_ids(self) -> set[str]:
        """Return the ids of all endpoints that are still in use."""
        return set(self._states)

    def candidates(self, service: str, tried: Iterable[str]) -> list[EndpointState]:
        """Return the endpoints of a service that may get a request, those at rest only if no other.

        Args:
          tried: Ids of endpoints that have had this request.
        """
        now_s = self._clock()
        usable = [
            state
            for state in self._states.values()
            if state.entry.service == service
            and state.is_usable(now_s)
            and state.entry.endpoint_id not in tried
        ]
        return [state for state in usable if not state.is_ejected(now_s)] or usable

    def avoided(self, service: str) -> list[str]:
        """Return the listed endpoints of a service that this instance keeps from using for now."""
        now_s = self._clock()
        return [
            state.entry.endpoint_id
            for state in self._states.values()
            if state.entry.service == service
            and not state.entry.draining
            and (state.is_ejected(now_s) or not state.is_usable(now_s))
        ]

    def take_notice(self, notice: LoadNotice) -> None:
        """Take in what this node or a peer did with a request at an endpoint."""
        state = self._states.get(notice.endpoint_id)
        if state is None:
            return
        if notice.phase is LoadPhase.STARTED:
            state.started(notice, self._clock())
        elif notice.phase is LoadPhase.READ:
            state.read(notice.attempt_id, self._clock())
        elif notice.phase is LoadPhase.ENDED:
            state.ended(notice.attempt_id)
        elif notice.phase is LoadPhase.UNREACHED:
            self.unreachable(state)
        else:
            self.misnamed(state)

    def expire_loads(self) -> None:
        """Drop loads whose end was never heard of."""
        for state in self._states.values():
            state.expire_loads(self._clock())

    def keep_loads_of(self, incarnations: Set[str]) -> None:
        """Drop the loads of nodes that are not heard of."""
        for state in self._states.values():
            state.keep_loads_of(incarnations)

    def succeeded(self, state: EndpointState) -> None:
        """Note that an endpoint answered as it should."""
        state.failures = 0

    def failed(self, state: EndpointState) -> bool:
        """Note that an endpoint failed a request; after some in a row it rests.

        Returns:
          Whether it rests now.
        """
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT:
            return False
        doublings = min(state.failures - FAILURES_TO_EJECT, MOST_DOUBLINGS)
        state.ejected_until_s = self._clock() + min(LONGEST_EJECT_S, EJECT_S * 2**doublings)
        return True

    def unreachable(self, state: EndpointState) -> None:
        """Note that no connection to an endpoint came up."""
        state.reachable = False

    def reached(self, state: EndpointState) -> None:
        """Note that a connection to an endpoint came up."""
        state.reachable = True

    def unreachable_endpoints(self) -> list[EndpointState]:
        """Return the listed endpoints to which no connection came up, for somebody to try again."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if not state.reachable and state.usable_until_s > now_s
        ]

    def misnamed(self, state: EndpointState) -> None:
        """Note that another endpoint has the address: this one has ended."""
        state.usable_until_s = self._clock()


def _fingerprint(snapshot: EndpointSnapshot) -> int:
    """Return a hash of a list's content, whatever its revision and order."""
    rows = sorted(
        f"{entry.endpoint_id} {entry.service} {entry.address} {entry.draining}"
        for entry in snapshot.entries
    )
    return xxhash.xxh3_64_intdigest("\n".join(rows).encode()) >> FINGERPRINT_SHIFT
