"""Keeps what each incarnation of an endpoint has said of itself.

It is kept beyond the endpoint's entry on the list: an entry may lapse and come back, or come back
from an older copy of the store, and the word of its endpoint still holds.
"""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field

from springbridge.routing.records import EndpointIncarnation
from springbridge.statements import rests
from springbridge.statements.leaving import Leaving
from springbridge.statements.rests import Rest

# Seconds for which the word of an endpoint is kept that is neither listed nor has requests. Longer
# than an outage of the store after which its entry may come back.
KEEP_GONE_S = 600.0


@dataclass(slots=True)
class EndpointStatements:
    """What one incarnation has said.

    Attributes:
      rest: The rest that it asked for, None without one.
      peers_rest_until_s: When the latest rest ends that it asked a peer for, as far as is told.
      behind_until_s: Until when that puts it behind the others for this instance.
      known_s: When it was last known to be listed or to have requests.
    """

    leaving: Leaving = field(default_factory=Leaving)
    rest: Rest | None = None
    peers_rest_until_s: float = 0.0
    behind_until_s: float = 0.0
    known_s: float = 0.0

    def wants_nothing(self, now_s: float) -> bool:
        """Return whether it has told this instance to send it nothing for now."""
        return self.leaving.is_certain or (self.rest is not None and now_s < self.rest.until_s)


class StatementTable:
    """What this instance knows of the statements of endpoints."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any."""
        self._clock = clock
        self._said: dict[EndpointIncarnation, EndpointStatements] = {}

    def of(self, incarnation: EndpointIncarnation) -> EndpointStatements:
        """Return the statements of an incarnation; what they hold changes with later answers."""
        found = self._said.get(incarnation)
        if found is None:
            found = self._said[incarnation] = EndpointStatements(known_s=self._clock())
        return found

    def find(self, incarnation: EndpointIncarnation) -> EndpointStatements | None:
        """Return the statements of an incarnation, None if it is not known."""
        return self._said.get(incarnation)

    def keep_under(self, incarnation: EndpointIncarnation, said: EndpointStatements) -> None:
        """Keep what an endpoint said under its incarnation, once its start is known."""
        self._said[incarnation] = said

    def leaving(self) -> Iterator[EndpointIncarnation]:
        """Return the incarnations that said to this instance that they leave."""
        return (each for each, said in self._said.items() if said.leaving.is_certain)

    def resting(self) -> Iterator[tuple[EndpointIncarnation, Rest]]:
        """Return the incarnations whose rest has not ended, with their rests."""
        now_s = self._clock()
        for incarnation, said in self._said.items():
            if said.rest is not None and now_s < said.rest.until_s:
                yield incarnation, said.rest

    def heard_leaving(self, incarnation: EndpointIncarnation) -> bool:
        """Note that an endpoint says that it leaves, and return whether that is new."""
        leaving = self.of(incarnation).leaving
        if leaving.is_certain:
            return False
        # The list may have named the run before when the first word came, and it was kept for that
        # one. The time as a last resort does not begin anew.
        leaving.heard_s = min(self._words_of(incarnation.endpoint_id), default=self._clock())
        return True

    def _words_of(self, endpoint_id: str) -> Iterator[float]:
        """Return when each run of an endpoint said that it leaves."""
        for incarnation, said in self._said.items():
            if incarnation.endpoint_id == endpoint_id and said.leaving.heard_s is not None:
                yield said.leaving.heard_s

    def told_leaving(self, incarnation: EndpointIncarnation) -> bool:
        """Note that a peer heard it say so, and return whether that is new."""
        leaving = self.of(incarnation).leaving
        if leaving.is_known:
            return False
        leaving.told_s = self._clock()
        return True

    def asked_rest(self, incarnation: EndpointIncarnation, rest_s: float) -> Rest:
        """Note that an endpoint asks for rest, and return its rest as it is now."""
        said = self.of(incarnation)
        said.rest = rests.rest_until(said.rest, rest_s, self._clock())
        return said.rest

    def told_rest(self, incarnation: EndpointIncarnation, rest_s: float, spread_s: float) -> bool:
        """Note that an endpoint asked a peer for rest, and return whether that is new.

        Args:
          rest_s: What is left of that rest, in seconds.
          spread_s: Seconds by which this instance comes back later than that.
        """
        said = self.of(incarnation)
        now_s = self._clock()
        was_told = said.peers_rest_until_s > now_s
        until_s = now_s + min(rest_s, rests.LONGEST_PEERS_REST_S)
        said.peers_rest_until_s = max(said.peers_rest_until_s, until_s)
        said.behind_until_s = max(said.behind_until_s, until_s + spread_s)
        return not was_told

    def asked_no_rest(self, incarnation: EndpointIncarnation, sent_s: float) -> None:
        """Note an answer without a wish for rest.

        Args:
          sent_s: When its request was sent.
        """
        said = self._said.get(incarnation)
        if said is not None and said.rest is not None and rests.is_over(said.rest, sent_s):
            said.rest = None

    def forget_gone(self, known: Set[EndpointIncarnation]) -> None:
        """Drop what belongs to endpoints that have been gone for long.

        Args:
          known: The endpoints that are listed or still have requests.
        """
        now_s = self._clock()
        for incarnation, said in list(self._said.items()):
            if incarnation in known:
                said.known_s = now_s
            elif said.known_s < now_s - KEEP_GONE_S:
                del self._said[incarnation]
