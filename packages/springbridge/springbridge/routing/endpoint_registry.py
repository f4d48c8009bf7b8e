"""Registry of the endpoints that this instance knows, with the endpoint list in use.

Owns the state of each endpoint. The platform's list says which endpoints exist; the instance's own
requests and its peers' load notices supply their load and health. Which endpoints may get a request
is decided in eligibility.py, and for how long a failing one is ejected in ejection.py.

Needs a monotonic clock in seconds. Nothing here blocks or does I/O.
"""

from collections import Counter
from collections.abc import Callable, Collection, Set

from springbridge.routing import eligibility
from springbridge.routing.ejection import ejection_s
from springbridge.routing.eligibility import ExclusionReason
from springbridge.routing.endpoint_state import LISTED, EndpointState, leaving_by_service
from springbridge.routing.listed_entries import (
    ENTRY_DELAY_S,
    fingerprint_of,
    has_restarted,
    with_known_facts,
)
from springbridge.routing.load_notices import LoadNotice, LoadPhase, is_about
from springbridge.routing.older_lists import StoreRollbackCorrector
from springbridge.routing.reading_speed import USUAL_TOKENS_PER_S
from springbridge.routing.records import EndpointEntry, EndpointIncarnation, EndpointSnapshot
from springbridge.routing.seen_versions import SeenVersions
from springbridge.statements import rests
from springbridge.statements.attribution import LONG_AGO_S
from springbridge.statements.leaving import is_likely, wants_nothing
from springbridge.statements.rests import Rest
from springbridge.statements.statement_table import StatementTable
from springbridge.store_stamp import era_of

# Seconds for which a peer's report that an endpoint is unreachable holds. The prober verifies it
# meanwhile.
REPORT_S = 2.0
# Seconds since this instance's own contact with an endpoint within which such a report is ignored.
CONTACT_S = 0.5


class EndpointRegistry:
    """All endpoints that this instance may use, by id.

    Attributes:
      statements: What the endpoints have stated about themselves in answers.
      seen: The versions that the endpoints of each service have had.
    """

    def __init__(self, clock: Callable[[], float], drain_s: float = float("inf")) -> None:
        """Create an empty registry.

        Args:
          clock: Monotonic clock in seconds.
          drain_s: Seconds for which an endpoint that has left may still get requests.
        """
        self._clock = clock
        self._drain_s = drain_s
        self.statements = StatementTable(clock)
        self.seen = SeenVersions(clock)
        self._lapse_grace_s = eligibility.lapse_grace_s(drain_s)
        self._states: dict[str, EndpointState] = {}
        self._revision = -1
        self._read_s: float | None = None
        self._current_s: float | None = None
        self._fingerprint = 0
        self._rollback_corrector = StoreRollbackCorrector(clock)
        self._evacuated: frozenset[str] = frozenset()
        # Cached with each list: searching all states costs as much as a search for candidates.
        self._leaving: dict[str, list[EndpointState]] = {}

    @property
    def fingerprint(self) -> int:
        """Return a hash of the list in use, equal on all instances with that list; 0 if none."""
        return self._fingerprint

    @property
    def revision(self) -> int:
        """Return the revision of the list in use, -1 before the first."""
        return self._revision

    def now_s(self) -> float:
        """Return the current time in seconds of the clock that all states use."""
        return self._clock()

    def age_s(self) -> float:
        """Return the age of the list in use in seconds, infinite before the first."""
        return float("inf") if self._read_s is None else self._clock() - self._read_s

    def is_as_new_as(self, moment_s: float) -> bool:
        """Return whether the list in use was the newest at some moment, on the registry's clock."""
        return self._read_s is not None and self._read_s >= moment_s

    def confirm(self, age_s: float) -> None:
        """Record that the list in use was confirmed as the newest age_s seconds ago."""
        if self._read_s is not None:
            self._read_s = max(self._read_s, self._clock() - age_s)
            self._record_current(age_s)

    def _record_current(self, age_s: float) -> None:
        """Record that the list in use named the runs of all endpoints as they were age_s ago.

        After the store was restored from an older copy a list may name runs that have ended.
        """
        if self._rollback_corrector.is_settled():
            at_s = self._clock() - age_s
            self._current_s = at_s if self._current_s is None else max(self._current_s, at_s)

    def install(
        self,
        snapshot: EndpointSnapshot,
        capacities: dict[str, int],
        age_s: float,
        took_s: float = 0.0,
    ) -> bool:
        """Install an endpoint list unless a newer one is in use.

        Args:
          capacities: Prompt cache capacity in tokens of an endpoint, by service.
          age_s: Seconds since the list was read.
          took_s: Seconds that the call took which read it; it may be as old as the call's begin.

        Returns:
          Whether an endpoint was added, removed or changed.
        """
        if snapshot.revision < self._revision:
            return False
        went_back = era_of(snapshot.revision) > era_of(max(0, self._revision))
        if went_back:
            self._rollback_corrector.record_rollback()
        gap_s = self.age_s() - age_s
        after_outage = went_back or gap_s > eligibility.OUTAGE_LIST_AGE_S
        self._revision = snapshot.revision
        self._fingerprint = fingerprint_of(snapshot)
        self._read_s = self._clock() - age_s
        listed = self._rollback_corrector.corrected(snapshot.entries, self._known)
        changed = self._update(listed, capacities)
        if self._rollback_corrector.is_settled() and age_s <= eligibility.OUTAGE_LIST_AGE_S:
            self._record_departures(listed)
        changed = self._drop_unlisted(listed, after_outage) or changed
        self.seen.note(self.entries(), gap_s, went_back)
        self._record_current(age_s + took_s)
        self._leaving = leaving_by_service(self._states.values())
        return changed

    def _known(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the current entry of an endpoint, None if it is unknown."""
        state = self._states.get(endpoint_id)
        return state.entry if state else None

    def _update(self, listed: dict[str, EndpointEntry], capacities: dict[str, int]) -> bool:
        """Add or update the listed endpoints; return whether any is new or changed."""
        changed = False
        for endpoint_id, entry in listed.items():
            state = self._states.get(endpoint_id)
            if state is None or has_restarted(state.entry, entry):
                if state is not None and state.statements.named_until_s is None:
                    state.statements.named_until_s = self._current_s
                said = self.statements.of(entry.incarnation)
                state = self._states[endpoint_id] = EndpointState(entry, statements=said)
                said.address, said.named_until_s = entry.address, None
                self.statements.carry_over(entry.incarnation)
                changed = True
            elif state.entry != with_known_facts(entry, state.entry):
                state.entry = with_known_facts(entry, state.entry)
                self.statements.keep_under(state.entry.incarnation, state.statements)
                changed = True
            state.statements.address = state.entry.address
            state.statements.named_until_s = None
            state.usable_until_s, state.has_departed = LISTED, False
            state.evacuated = state.entry.failure_domain in self._evacuated
            state.cache.capacity = capacities.get(entry.service, 0)
        return changed

    def _drop_unlisted(self, listed: dict[str, EndpointEntry], after_outage: bool) -> bool:
        """Stop using endpoints that are no longer listed; return whether there were any.

        The state of an endpoint with running requests is kept until they have ended.
        """
        now_s = self._clock()
        changed = False
        staying = [state.entry for state in self.staying()] if after_outage else []
        lapsed = eligibility.lapsed_services(staying, listed)
        for endpoint_id in [name for name in self._states if name not in listed]:
            state = self._states[endpoint_id]
            if state.statements.named_until_s is None:
                state.statements.named_until_s = self._current_s
            if state.is_listed:
                may_live = state.entry.service in lapsed and not state.is_leaving
                state.usable_until_s = now_s + (self._lapse_grace_s if may_live else 0.0)
                if not after_outage:
                    self._rollback_corrector.record_departure(endpoint_id)
                changed = True
            if state.usable_until_s <= now_s and not state.in_flight:
                del self._states[endpoint_id]
        return changed

    def _record_departures(self, listed: dict[str, EndpointEntry]) -> None:
        """Record that the endpoints which are not listed have left, by a list that shows so."""
        for endpoint_id, state in self._states.items():
            if endpoint_id not in listed:
                state.has_departed = True

    def set_evacuated_domains(self, failure_domains: frozenset[str]) -> None:
        """Exclude the endpoints of the evacuated failure domains, and include all others again."""
        self._evacuated = failure_domains
        perhaps_cold_until_s = self._clock() + ENTRY_DELAY_S
        for state in self._states.values():
            is_evacuated = state.entry.failure_domain in failure_domains
            if state.evacuated and not is_evacuated:
                state.perhaps_cold_until_s = perhaps_cold_until_s
            state.evacuated = is_evacuated

    def find(self, endpoint_id: str) -> EndpointState | None:
        """Return the state of an endpoint by its id, None if it is unknown."""
        return self._states.get(endpoint_id)

    def version_of(self, endpoint_id: str) -> str | None:
        """Return the version of a listed endpoint, None if it is not listed or has no known one."""
        state = self._states.get(endpoint_id)
        return state.entry.version if state is not None and state.is_listed else None

    def lacks_versions(self) -> bool:
        """Return whether the version of a listed endpoint is unknown, as older builds pass none."""
        return any(
            state.entry.version is None for state in self._states.values() if state.is_listed
        )

    def serves_version(self, service: str, version: str) -> bool:
        """Return whether the list has an endpoint of a service that has a version and stays."""
        return any(
            state.entry.service == service and state.entry.version == version
            for state in self.staying()
        )

    def entries(self) -> tuple[EndpointEntry, ...]:
        """Return the entries of the endpoints that are listed now."""
        return tuple(state.entry for state in self._states.values() if state.is_listed)

    def staying(self) -> list[EndpointState]:
        """Return the endpoints that are listed and not known to be leaving."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if state.is_listed
            and not state.is_leaving
            and not wants_nothing(state.statements.leaving, now_s)
            and not is_likely(state.statements.leaving, now_s)
        ]

    def known_incarnations(self) -> set[EndpointIncarnation]:
        """Return the incarnations of all endpoints that are listed or have running requests."""
        return {state.entry.incarnation for state in self._states.values()}

    def mean_reading_speed(self, service: str) -> float:
        """Return the mean speed at which endpoints of a service read prompts, in tokens/s."""
        speeds = [
            state.speed.tokens_per_s
            for state in self._states.values()
            if state.entry.service == service and state.is_listed
        ]
        return sum(speeds) / len(speeds) if speeds else USUAL_TOKENS_PER_S

    def candidates(
        self, service: str, tried: Collection[str], version: str | None = None
    ) -> list[EndpointState]:
        """Return the endpoints of a service that may get a request.

        Args:
          tried: Ids of the endpoints that were already tried for this request.
          version: Version at which a stream has to go on; None for a request that any may serve.
        """
        return eligibility.candidates(
            self._states.values(), service, tried, self._clock(), self._drain_s, version
        )

    def may_get_request(self, state: EndpointState, last_resort: bool = False) -> bool:
        """Return whether an endpoint that was chosen earlier may still get a request.

        Args:
          last_resort: Whether it was chosen although it is leaving, as there was no other endpoint.
        """
        if self._states.get(state.entry.endpoint_id) is not state:
            # The endpoint has been removed or replaced by another incarnation since then.
            return False
        return eligibility.may_get_request(state, self._clock(), self._drain_s, last_resort)

    def leaving(self, service: str) -> list[EndpointState]:
        """Return the leaving endpoints of a service that still serve cached prompt parts."""
        return [state for state in self._leaving.get(service, ()) if state.reachable]

    def avoided(self, service: str) -> list[str]:
        """Return the ids of a service's endpoints that this instance currently excludes."""
        return eligibility.avoided(self._states.values(), service, self._clock())

    def cold(self) -> list[EndpointState]:
        """Return the listed endpoints that are cold or may be cold."""
        now_s = self._clock()
        return [
            state for state in self._states.values() if state.is_listed and state.is_cold(now_s)
        ]

    def resting(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that are excluded only because they rest."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if state.entry.service == service
            and eligibility.exclusion_reason(state, now_s) is ExclusionReason.RESTING
        ]

    def exclusion_counts(self, service: str) -> dict[str, int]:
        """Return how many endpoints of a service are excluded, by the value of the reason."""
        now_s = self._clock()
        states = [each for each in self._states.values() if each.entry.service == service]
        found = Counter(eligibility.exclusion_reason(state, now_s) for state in states)
        return {each.value: found[each] for each in ExclusionReason if found[each]}

    def record_send(self, state: EndpointState) -> None:
        """Record that a request is sent to an endpoint now, which updates its rest, if any."""
        if state.statements.rest is not None:
            state.statements.rest = rests.after_send(state.statements.rest, self._clock())

    def mark_leaving(self, incarnation: EndpointIncarnation, opened_s: float = LONG_AGO_S) -> bool:
        """Record an endpoint's statement that it is leaving; return whether that is new.

        Args:
          incarnation: The run that the list named when the request was sent.
          opened_s: When the connection was opened on which the statement came.
        """
        is_new = self.statements.heard_leaving(incarnation, opened_s)
        self._carry_over_if_replaced(incarnation)
        if is_new:
            self._leaving = leaving_by_service(self._states.values())
        return is_new

    def mark_resting(
        self, incarnation: EndpointIncarnation, rest_s: float, opened_s: float = LONG_AGO_S
    ) -> Rest:
        """Record that an endpoint asks for a rest; return the resulting rest.

        Args:
          incarnation: The run that the list named when the request was sent.
          rest_s: Seconds for which it wants no requests.
          opened_s: When the connection was opened on which it asked.
        """
        rest = self.statements.asked_rest(incarnation, rest_s, opened_s)
        self._carry_over_if_replaced(incarnation)
        return rest

    def _carry_over_if_replaced(self, incarnation: EndpointIncarnation) -> None:
        """Carry statements over if the list has named another run since the request was sent."""
        state = self._states.get(incarnation.endpoint_id)
        if state is not None and state.entry.incarnation != incarnation:
            self.statements.carry_over(state.entry.incarnation)

    def unreachable_endpoints(self) -> list[EndpointState]:
        """Return the endpoints that the prober has to retry because a connection failed."""
        return self._to_probe(lambda state: not state.reachable)

    def reported_unreachable(self) -> list[EndpointState]:
        """Return the reachable endpoints that peers report as unreachable, which are verified."""
        now_s = self._clock()
        return self._to_probe(
            lambda state: state.reachable and state.reported_unreachable_until_s > now_s
        )

    def _to_probe(self, is_meant: Callable[[EndpointState], bool]) -> list[EndpointState]:
        """Return the meant ones of the endpoints that may get a connection at all."""
        now_s = self._clock()
        return [
            state
            for state in self._states.values()
            if is_meant(state)
            and not state.evacuated
            and state.usable_until_s > now_s
            and not state.statements.wants_nothing(now_s)
        ]

    def apply_notice(self, notice: LoadNotice, reported_by: str = "") -> None:
        """Apply a load notice; ignored for unknown endpoints.

        Args:
          reported_by: Address of the peer that sent it, "" for this instance.
        """
        state = self._states.get(notice.endpoint_id)
        if state is None:
            return
        match notice.phase:
            case LoadPhase.STARTED:
                state.record_start(notice, self._clock())
            case LoadPhase.READ:
                state.record_prompt_read(notice.attempt_id, self._clock())
            case LoadPhase.ENDED:
                state.record_end(notice.attempt_id)
            case LoadPhase.UNREACHED if is_about(notice, state.entry):
                self._apply_unreached(state, reported_by)
            case LoadPhase.GONE if is_about(notice, state.entry):
                self.mark_gone(state)

    def expire_loads(self) -> None:
        """Drop loads that are too old, as the notice of their end was probably lost."""
        for state in self._states.values():
            state.expire_loads(self._clock())

    def drop_loads_except(self, incarnations: Set[str]) -> None:
        """Drop the loads of all instances except the given incarnations, which are alive."""
        for state in self._states.values():
            state.drop_loads_except(incarnations)

    def record_success(self, state: EndpointState) -> None:
        """Record that an endpoint answered correctly, which resets its count of failures."""
        state.failures = 0
        state.reported_unreachable_until_s = 0.0
        state.contact_s = self._clock()

    def record_failure(self, state: EndpointState) -> bool:
        """Record that an endpoint failed a request; return whether it is ejected for that."""
        state.failures += 1
        seconds = ejection_s(state.failures)
        if not seconds:
            return False
        state.ejected_until_s = self._clock() + seconds
        return True

    def _apply_unreached(self, state: EndpointState, reported_by: str) -> None:
        """Apply a notice that no connection to an endpoint came up.

        What a peer finds is no more than a report here: it may have lost its own path.
        """
        if not reported_by:
            self.mark_unreachable(state)
        elif self._clock() - state.contact_s > CONTACT_S:
            state.reported_unreachable_until_s = self._clock() + REPORT_S

    def mark_unreachable(self, state: EndpointState) -> None:
        """Record that connecting to an endpoint failed."""
        state.reachable = False
        state.reported_unreachable_until_s = 0.0

    def mark_reachable(self, state: EndpointState) -> None:
        """Record that connecting to an endpoint succeeded."""
        if not state.reachable:
            state.perhaps_cold_until_s = self._clock() + ENTRY_DELAY_S
        state.reachable = True
        state.reported_unreachable_until_s = 0.0
        state.contact_s = self._clock()

    def mark_gone(self, state: EndpointState) -> None:
        """Record that an endpoint has ended, as another one now answers at its address.

        It gets no request until a list is installed that still contains it.
        """
        state.usable_until_s, state.has_departed = self._clock(), True
