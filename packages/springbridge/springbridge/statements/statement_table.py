"""Table of the statements made by each incarnation of an endpoint.

Statements are kept longer than the endpoint's entry on the list: an entry may expire and come back,
also from an older copy of the store, and the endpoint's statements still hold.
"""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field

from springbridge.routing.records import EndpointIncarnation
from springbridge.statements import leaving, rests
from springbridge.statements.attribution import LONG_AGO_S, Attribution, Receipt, attribution
from springbridge.statements.leaving import Leaving
from springbridge.statements.rests import Rest

# Seconds for which statements are kept of an endpoint that is neither listed nor has requests.
# Longer than an outage of the store after which its entry may come back.
KEEP_GONE_S = 600.0


@dataclass(slots=True)
class EndpointStatements:
    """The statements of one incarnation of an endpoint.

    Attributes:
      rest: The rest that it asked this instance for, None without one.
      rest_receipt: When it last asked for one.
      peers_rest_until_s: When the latest rest ends that peers have reported.
      behind_until_s: Until when this instance ranks it behind the others because of that.
      known_s: When it was last known to be listed or to have requests.
      address: Its address on the list that named it last.
      named_until_s: When that list was last known to be current; None while it is in use.
    """

    leaving: Leaving = field(default_factory=Leaving)
    rest: Rest | None = None
    rest_receipt: Receipt | None = None
    peers_rest_until_s: float = 0.0
    behind_until_s: float = 0.0
    known_s: float = 0.0
    address: str = ""
    named_until_s: float | None = None

    def wants_nothing(self, now_s: float) -> bool:
        """Return whether it has asked this instance not to send requests now."""
        if leaving.wants_nothing(self.leaving, now_s):
            return True
        return self.rest is not None and now_s < self.rest.until_s


class StatementTable:
    """The statements of endpoints known to this instance."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty table; the clock returns monotonic seconds."""
        self._clock = clock
        self._said: dict[EndpointIncarnation, EndpointStatements] = {}
        self._runs: dict[str, set[EndpointIncarnation]] = {}

    def of(self, incarnation: EndpointIncarnation) -> EndpointStatements:
        """Return the statements of an incarnation, a new record if there is none.

        Later responses change the record in place.
        """
        found = self._said.get(incarnation)
        if found is None:
            found = EndpointStatements(known_s=self._clock())
            self.keep_under(incarnation, found)
        return found

    def find(self, incarnation: EndpointIncarnation) -> EndpointStatements | None:
        """Return the statements of an incarnation, None if it is not known."""
        return self._said.get(incarnation)

    def keep_under(self, incarnation: EndpointIncarnation, said: EndpointStatements) -> None:
        """Store an endpoint's statements under its incarnation once its start time is known."""
        self._said[incarnation] = said
        self._runs.setdefault(incarnation.endpoint_id, set()).add(incarnation)

    def _others(
        self, incarnation: EndpointIncarnation
    ) -> Iterator[tuple[EndpointIncarnation, EndpointStatements]]:
        """Return the other runs of an endpoint at the same address, with their statements."""
        address = self.of(incarnation).address
        for run in self._runs.get(incarnation.endpoint_id, ()):
            its = self._said[run]
            if run != incarnation and its.address == address:
                yield run, its

    def _shown_until_s(self, incarnation: EndpointIncarnation) -> float | None:
        """Return until when lists named another run of an endpoint, None if none did."""
        runs = self._runs.get(incarnation.endpoint_id, set()) - {incarnation}
        named = (self._said[run].named_until_s for run in runs)
        return max((each for each in named if each is not None), default=None)

    def carry_over(self, incarnation: EndpointIncarnation) -> None:
        """Apply to the run that the list names now what may be its own statements.

        They are recorded for other runs, which the list named when they came. What is probably its
        own holds, but leaving only for a while, since it is final and another run may have stated
        it. What is possibly its own counts as a peer's report does.
        """
        own, now_s = self.of(incarnation), self._clock()
        for run, its in self._others(incarnation):
            self._carry_rest(incarnation, run, its)
        recent = [
            (found, heard_s)
            for found, heard_s in self._perhaps_heard(incarnation)
            if now_s < heard_s + leaving.CARRIED_S
        ]
        probable = [heard_s for found, heard_s in recent if found is Attribution.PROBABLE]
        own.leaving.probable_s = min(probable, default=own.leaving.probable_s)
        possible = [heard_s for found, heard_s in recent if found is Attribution.POSSIBLE]
        own.leaving.possible_s = min(possible, default=own.leaving.possible_s)

    def _carry_rest(
        self, incarnation: EndpointIncarnation, run: EndpointIncarnation, its: EndpointStatements
    ) -> None:
        """Apply to the listed run a rest that is recorded for another one and may be its own."""
        own, now_s = self.of(incarnation), self._clock()
        if its.rest is None or its.rest_receipt is None or now_s >= its.rest.until_s:
            return
        shown_until_s = self._shown_until_s(incarnation)
        match attribution(its.rest_receipt, run, shown_until_s, incarnation):
            case Attribution.PROBABLE:
                own.rest = rests.rest_until(own.rest, its.rest.until_s - now_s, now_s)
                own.rest_receipt = its.rest_receipt
            case Attribution.POSSIBLE:
                until_s = min(its.rest.until_s, its.rest_receipt.heard_s + rests.MAX_PEER_REST_S)
                own.behind_until_s = max(own.behind_until_s, until_s)

    def _perhaps_heard(
        self, incarnation: EndpointIncarnation
    ) -> Iterator[tuple[Attribution, float]]:
        """Return when statements came that are recorded for other runs and may be of this one."""
        shown_until_s = self._shown_until_s(incarnation)
        for run, its in self._others(incarnation):
            for receipt in its.leaving.receipts():
                found = attribution(receipt, run, shown_until_s, incarnation)
                if found is not Attribution.NO:
                    yield found, receipt.heard_s

    def leaving(self) -> Iterator[EndpointIncarnation]:
        """Return the incarnations that stated to this instance that they are leaving."""
        return (each for each, said in self._said.items() if said.leaving.is_certain)

    def resting(self) -> Iterator[tuple[EndpointIncarnation, Rest]]:
        """Return the incarnations whose rest has not ended, with their rests."""
        now_s = self._clock()
        for incarnation, said in self._said.items():
            if said.rest is not None and now_s < said.rest.until_s:
                yield incarnation, said.rest

    def heard_leaving(self, incarnation: EndpointIncarnation, opened_s: float = LONG_AGO_S) -> bool:
        """Record an endpoint's statement that it is leaving; return whether that is new.

        Args:
          incarnation: The run that the list named when the request was sent.
          opened_s: When the connection was opened on which the statement came.
        """
        known = self.of(incarnation).leaving
        known.latest = Receipt(self._clock(), opened_s)
        if known.is_certain:
            return False
        # The list may still have had the previous run when the first statement came, which was then
        # recorded for that run. The time as a last resort must not start again, unless the earlier
        # statement has ceased to count: the run was used since, and another one probably made it.
        now_s = known.latest.heard_s
        earlier = [heard_s for _, heard_s in self._perhaps_heard(incarnation)]
        if known.probable_s is not None:
            earlier.append(known.probable_s)
        recent = [heard_s for heard_s in earlier if now_s < heard_s + leaving.CARRIED_S]
        known.first = known.latest
        known.heard_s = min([now_s, *recent])
        return True

    def told_leaving(self, incarnation: EndpointIncarnation) -> bool:
        """Record a peer's report that an endpoint is leaving; return whether that is new."""
        known = self.of(incarnation).leaving
        if known.is_known:
            return False
        known.told_s = self._clock()
        return True

    def asked_rest(
        self, incarnation: EndpointIncarnation, rest_s: float, opened_s: float = LONG_AGO_S
    ) -> Rest:
        """Record that an endpoint asks for a rest; return the resulting rest.

        Args:
          incarnation: The run that the list named when the request was sent.
          rest_s: Seconds for which it wants no requests.
          opened_s: When the connection was opened on which it asked.
        """
        said = self.of(incarnation)
        said.rest = rests.rest_until(said.rest, rest_s, self._clock())
        said.rest_receipt = Receipt(self._clock(), opened_s)
        return said.rest

    def told_rest(self, incarnation: EndpointIncarnation, rest_s: float, spread_s: float) -> bool:
        """Record a peer's report of a rest; return whether no such rest was known.

        Args:
          incarnation: The endpoint.
          rest_s: Remaining seconds of that rest.
          spread_s: Seconds by which this instance resumes later than that.
        """
        said = self.of(incarnation)
        now_s = self._clock()
        was_told = said.peers_rest_until_s > now_s
        until_s = now_s + min(rest_s, rests.MAX_PEER_REST_S)
        said.peers_rest_until_s = max(said.peers_rest_until_s, until_s)
        said.behind_until_s = max(said.behind_until_s, until_s + spread_s)
        return not was_told

    def asked_no_rest(self, incarnation: EndpointIncarnation, sent_s: float) -> None:
        """Record a response that does not ask for a rest; it may end the current one.

        Args:
          incarnation: The endpoint.
          sent_s: When the request was sent.
        """
        said = self._said.get(incarnation)
        if said is not None and said.rest is not None and rests.is_over(said.rest, sent_s):
            said.rest = None

    def forget_gone(self, known: Set[EndpointIncarnation]) -> None:
        """Drop the statements of endpoints that have been gone for KEEP_GONE_S.

        Args:
          known: The endpoints that are listed or still have requests.
        """
        now_s = self._clock()
        for incarnation, said in list(self._said.items()):
            if incarnation in known:
                said.known_s = now_s
            elif said.known_s < now_s - KEEP_GONE_S:
                self._forget(incarnation)

    def _forget(self, incarnation: EndpointIncarnation) -> None:
        """Drop the statements of an incarnation."""
        del self._said[incarnation]
        runs = self._runs[incarnation.endpoint_id]
        runs.discard(incarnation)
        if not runs:
            del self._runs[incarnation.endpoint_id]
