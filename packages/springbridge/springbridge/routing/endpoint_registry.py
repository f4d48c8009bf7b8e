"""The endpoints that this instance knows, and the endpoint list in use.

Owns the state of each endpoint. The platform's list says which endpoints exist; the instance's own
requests and the notices of its peers say how each of them does. Which endpoints may get a request
is decided in eligibility.py, and for how long a failing one is ejected in ejection.py.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""

from collections import Counter
from collections.abc import Callable, Collection, Set

from springbridge.routing import eligibility
from springbridge.routing.ejection import ejection_s
from springbridge.routing.eligibility import Obstacle
from springbridge.routing.endpoint_state import LISTED, EndpointState, leaving_by_service
from springbridge.routing.listed_entries import (
    fingerprint_of,
    has_started_again,
    with_known_start,
)
from springbridge.routing.load_notices import LoadNotice, LoadPhase, is_about
from springbridge.routing.older_lists import OlderLists
from springbridge.routing.reading_speed import USUAL_TOKENS_PER_S
from springbridge.routing.records import EndpointEntry, EndpointIncarnation, EndpointSnapshot
from springbridge.statements import rests
from springbridge.statements.leaving import is_likely
from springbridge.statements.statement_table import StatementTable
from springbridge.store_stamp import era_of

# Seconds after which the list says whether an endpoint is cold that has just come back: endpoints
# write their entries each second, and readers take half a second.
COLD_NEWS_S = 2.0


class EndpointRegistry:
    """All endpoints that this instance may use.

    Attributes:
      statements: What the endpoints have said of themselves.
    """

    def __init__(self, clock: Callable[[], float], drain_s: float = float("inf")) -> None:
        """Start without endpoints.

        Args:
          drain_s: Seconds within which an endpoint that has left may still get requests.
        """
        self._clock = clock
        self._drain_s = drain_s
        self.statements = StatementTable(clock)
        self._lapse_grace_s = eligibility.lapse_grace_s(drain_s)
        self._states: dict[str, EndpointState] = {}
        self._revision = -1
        self._read_s: float | None = None
        self._fingerprint = 0
        self._older_lists = OlderLists(clock)
        self._evacuated: frozenset[str] = frozenset()
        # Kept with the list: to look for them takes as long as to look for candidates.
        self._leaving: dict[str, list[EndpointState]] = {}

    @property
    def fingerprint(self) -> int:
        """Return a hash of the list in use, the same on all instances with that list; 0 before."""
        return self._fingerprint

    @property
    def revision(self) -> int:
        """Return the revision of the list in use, -1 before the first."""
        return self._revision

    def now_s(self) -> float:
        """Return the moment on the clock that all states are kept by, in seconds."""
        return self._clock()

    def age_s(self) -> float:
        """Return how old the list in use is, in seconds; infinite before the first."""
        return float("inf") if self._read_s is None else self._clock() - self._read_s

    def confirm(self, age_s: float) -> None:
        """Note that the list in use was the newest so many seconds ago."""
        if self._read_s is not None:
            self._read_s = max(self._read_s, self._clock() - age_s)

    def install(self, snapshot: EndpointSnapshot, capacities: dict[str, int], age_s: float) -> bool:
        """Use a list unless a newer one is in use.

        Args:
          capacities: Tokens that an endpoint of each service can keep.
          age_s: How long ago the list was read, in seconds.

        Returns:
          Whether an endpoint came, went, or changed.
        """
        if snapshot.revision < self._revision:
            return False
        went_back = era_of(snapshot.revision) > era_of(max(0, self._revision))
        if went_back:
            self._older_lists.went_back()
        after_outage = went_back or self.age_s() > eligibility.OUTAGE_S + age_s
        self._revision = snapshot.revision
        self._fingerprint = fingerprint_of(snapshot)
        self._read_s = self._clock() - age_s
        listed = self._older_lists.corrected(snapshot.entries, self._known)
        changed = self._update(listed, capacities)
        changed = self._drop_unlisted(listed, after_outage) or changed
        self._leaving = leaving_by_service(self._states.values())
        return changed

    def _known(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the entry in use of an endpoint, None if there is none."""
        state = self._states.get(endpoint_id)
        return state.entry if state else None

    def _update(self, listed: dict[str, EndpointEntry], capacities: dict[str, int]) -> bool:
        """Add or update the listed endpoints and return whether one is new or changed."""
        changed = False
        for endpoint_id, entry in listed.items():
            state = self._states.get(endpoint_id)
            if state is None or has_started_again(state.entry, entry):
                said = self.statements.of(entry.incarnation)
                state = self._states[endpoint_id] = EndpointState(entry, said=said)
                changed = True
            elif state.entry != with_known_start(entry, state.entry):
                state.entry = with_known_start(entry, state.entry)
                self.statements.keep_under(state.entry.incarnation, state.said)
                changed = True
            state.usable_until_s = LISTED
            state.evacuated = state.entry.failure_domain in self._evacuated
            state.cache.capacity = capacities.get(entry.service, 0)
        return changed

    def _drop_unlisted(self, listed: dict[str, EndpointEntry], after_outage: bool) -> bool:
        """Stop using endpoints that are no longer listed and return whether there were any.

        An endpoint that still has requests is kept until they have ended.
        """
        now_s = self._clock()
        changed = False
        staying = [state.entry for state in self.staying()] if after_outage else []
        lapsed = eligibility.lapsed_services(staying, listed)
        for endpoint_id in [name for name in self._states if name not in listed]:
            state = self._states[endpoint_id]
            if state.is_listed:
                may_live = state.entry.service in lapsed and not state.is_leaving
                state.usable_until_s = now_s + (self._lapse_grace_s if may_live else 0.0)
                if not after_outage:
                    self._older_lists.left(endpoint_id)
                changed = True
            if state.usable_until_s <= now_s and not state.in_flight:
                del self._states[endpoint_id]
        return changed

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Send nothing to the endpoints of some failure domains, and again to those of others."""
        self._evacuated = failure_domains
        perhaps_cold_until_s = self._clock() + COLD_NEWS_S
        for state in self._states.values():
            is_evacuated = state.entry.failure_domain in failure_domains
            if state.evacuated and not is_evacuated:
                state.perhaps_cold_until_s = perhaps_cold_until_s
            state.evacuated = is_evacuated

    def find(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint by its id."""
        return self._states.get(endpoint_id)

    def entries(self) -> tuple[EndpointEntry, ...]:
        """Return the endpoints that are listed now."""
        return tuple(state.entry for state in self._states.values() if state.is_listed)

    def staying(self) -> list[EndpointState]:
        """Return the endpoints that are listed and, as far as is known, do not leave."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if state.is_listed and not state.is_leaving and not is_likely(state.said.leaving, now_s)
        ]

    def known_incarnations(self) -> set[EndpointIncarnation]:
        """Return the incarnations of all endpoints that are listed or still have requests."""
        return {state.entry.incarnation for state in self._states.values()}

    def usual_speed(self, service: str) -> float:
        """Return how fast an endpoint of a service reads prompts on the average, in tokens/s."""
        speeds = [
            state.speed.tokens_per_s
            for state in self._states.values()
            if state.entry.service == service and state.is_listed
        ]
        return sum(speeds) / len(speeds) if speeds else USUAL_TOKENS_PER_S

    def candidates(self, service: str, tried: Collection[str]) -> list[EndpointState]:
        """Return the endpoints of a service that may get a request.

        Args:
          tried: Ids of the endpoints that had this request.
        """
        return eligibility.candidates(
            self._states.values(), service, tried, self._clock(), self._drain_s
        )

    def may_get_request(self, state: EndpointState, last_resort: bool = False) -> bool:
        """Return whether an endpoint that was chosen a while ago may still get a request.

        Args:
          last_resort: Whether it was chosen though it leaves, for want of another.
        """
        if self._states.get(state.entry.endpoint_id) is not state:
            # Another run of the endpoint is listed since then.
            return False
        return eligibility.may_get_request(state, self._clock(), self._drain_s, last_resort)

    def leaving(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that take no requests but still give what they keep."""
        return [state for state in self._leaving.get(service, ()) if state.reachable]

    def avoided(self, service: str) -> list[str]:
        """Return the ids of a service's endpoints that this instance does not use for now."""
        return eligibility.avoided(self._states.values(), service, self._clock())

    def cold(self) -> list[EndpointState]:
        """Return the endpoints that are listed and are cold, or may be."""
        now_s = self._clock()
        return [
            state for state in self._states.values() if state.is_listed and state.is_cold(now_s)
        ]

    def resting(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that would get requests if they did not rest."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if state.entry.service == service
            and eligibility.obstacle(state, now_s) is Obstacle.RESTING
        ]

    def obstacles(self, service: str) -> dict[str, int]:
        """Return how many endpoints of a service each obstacle stands against, by its name."""
        now_s = self._clock()
        states = [each for each in self._states.values() if each.entry.service == service]
        found = Counter(eligibility.obstacle(state, now_s) for state in states)
        return {each.value: found[each] for each in Obstacle if found[each]}

    def sends(self, state: EndpointState) -> None:
        """Note that a request is sent to an endpoint now."""
        if state.said.rest is not None:
            state.said.rest = rests.after_send(state.said.rest, self._clock())

    def heard_leaving(self, incarnation: EndpointIncarnation) -> bool:
        """Note that an endpoint says in an answer that it leaves; return whether that is new."""
        if not self.statements.heard_leaving(incarnation):
            return False
        self._leaving = leaving_by_service(self._states.values())
        return True

    def unreachable_endpoints(self) -> list[EndpointState]:
        """Return the endpoints that a prober has to try again: no connection came up."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if not state.reachable
            and not state.evacuated
            and state.usable_until_s > now_s
            and not state.said.wants_nothing(now_s)
        ]

    def take_notice(self, notice: LoadNotice) -> None:
        """Apply what this instance or a peer did with a request at an endpoint."""
        state = self._states.get(notice.endpoint_id)
        if state is None:
            return
        match notice.phase:
            case LoadPhase.STARTED:
                state.started(notice, self._clock())
            case LoadPhase.READ:
                state.read(notice.attempt_id, self._clock())
            case LoadPhase.ENDED:
                state.ended(notice.attempt_id)
            case LoadPhase.UNREACHED if is_about(notice, state.entry):
                self.unreachable(state)
            case LoadPhase.GONE if is_about(notice, state.entry):
                self.gone(state)

    def expire_loads(self) -> None:
        """Drop loads that are too old: the notice of their end was probably lost."""
        for state in self._states.values():
            state.expire_loads(self._clock())

    def keep_loads_of(self, incarnations: Set[str]) -> None:
        """Drop the loads of all instances but those that are alive."""
        for state in self._states.values():
            state.keep_loads_of(incarnations)

    def succeeded(self, state: EndpointState) -> None:
        """Note that an endpoint answered as it should."""
        state.failures = 0

    def failed(self, state: EndpointState) -> bool:
        """Note that an endpoint failed a request, and return whether it is ejected for that."""
        state.failures += 1
        seconds = ejection_s(state.failures)
        if not seconds:
            return False
        state.ejected_until_s = self._clock() + seconds
        return True

    def unreachable(self, state: EndpointState) -> None:
        """Note that no connection to an endpoint came up."""
        state.reachable = False

    def reached(self, state: EndpointState) -> None:
        """Note that a connection to an endpoint came up."""
        if not state.reachable:
            state.perhaps_cold_until_s = self._clock() + COLD_NEWS_S
        state.reachable = True

    def gone(self, state: EndpointState) -> None:
        """Note that another endpoint has the address, so that this one has ended.

        It gets no request until a list is installed that still has it.
        """
        state.usable_until_s = self._clock()
