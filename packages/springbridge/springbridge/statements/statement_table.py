"""Table of the statements made by each incarnation of an endpoint.

Statements are kept longer than the endpoint's entry on the list: an entry may expire and come back,
also from an older copy of the store, and the endpoint's statements still hold.
"""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field

from springbridge.routing.records import EndpointIncarnation
from springbridge.statements import rests
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
      peers_rest_until_s: When the latest rest ends that peers have reported.
      behind_until_s: Until when this instance ranks it behind the others because of that.
      known_s: When it was last known to be listed or to have requests.
    """

    leaving: Leaving = field(default_factory=Leaving)
    rest: Rest | None = None
    peers_rest_until_s: float = 0.0
    behind_until_s: float = 0.0
    known_s: float = 0.0

    def wants_nothing(self, now_s: float) -> bool:
        """Return whether it has asked this instance not to send requests now."""
        return self.leaving.is_certain or (self.rest is not None and now_s < self.rest.until_s)


class StatementTable:
    """The statements of endpoints known to this instance."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty table; the clock returns monotonic seconds."""
        self._clock = clock
        self._said: dict[EndpointIncarnation, EndpointStatements] = {}

    def of(self, incarnation: EndpointIncarnation) -> EndpointStatements:
        """Return the statements of an incarnation, a new record if there is none.

        Later responses change the record in place.
        """
        found = self._said.get(incarnation)
        if found is None:
            found = self._said[incarnation] = EndpointStatements(known_s=self._clock())
        return found

    def find(self, incarnation: EndpointIncarnation) -> EndpointStatements | None:
        """Return the statements of an incarnation, None if it is not known."""
        return self._said.get(incarnation)

    def keep_under(self, incarnation: EndpointIncarnation, said: EndpointStatements) -> None:
        """Store an endpoint's statements under its incarnation once its start time is known."""
        self._said[incarnation] = said

    def leaving(self) -> Iterator[EndpointIncarnation]:
        """Return the incarnations that stated to this instance that they are leaving."""
        return (each for each, said in self._said.items() if said.leaving.is_certain)

    def resting(self) -> Iterator[tuple[EndpointIncarnation, Rest]]:
        """Return the incarnations whose rest has not ended, with their rests."""
        now_s = self._clock()
        for incarnation, said in self._said.items():
            if said.rest is not None and now_s < said.rest.until_s:
                yield incarnation, said.rest

    def heard_leaving(self, incarnation: EndpointIncarnation) -> bool:
        """Record an endpoint's statement that it is leaving; return whether that is new."""
        leaving = self.of(incarnation).leaving
        if leaving.is_certain:
            return False
        # The list may still have had the previous run when the first statement came, which was then
        # recorded for that run. The time as a last resort must not start again.
        leaving.heard_s = min(self._leaving_times(incarnation.endpoint_id), default=self._clock())
        return True

    def _leaving_times(self, endpoint_id: str) -> Iterator[float]:
        """Return when each run of an endpoint first stated that it is leaving."""
        for incarnation, said in self._said.items():
            if incarnation.endpoint_id == endpoint_id and said.leaving.heard_s is not None:
                yield said.leaving.heard_s

    def told_leaving(self, incarnation: EndpointIncarnation) -> bool:
        """Record a peer's report that an endpoint is leaving; return whether that is new."""
        leaving = self.of(incarnation).leaving
        if leaving.is_known:
            return False
        leaving.told_s = self._clock()
        return True

    def asked_rest(self, incarnation: EndpointIncarnation, rest_s: float) -> Rest:
        """Record that an endpoint asks for a rest; return the resulting rest."""
        said = self.of(incarnation)
        said.rest = rests.rest_until(said.rest, rest_s, self._clock())
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
                del self._said[incarnation]
