"""The rates that are in force, by endpoint, as one instance knows them.

A rate that an endpoint names holds until an answer says otherwise, however long the endpoint is
asked nothing: the next request that is allowed finds out. What ended is kept for a while, so that
older answers and older news do not bring it back.

The operators may name a rate for endpoints that are cold. It is not news that instances tell each
other: each sees on the list who is cold. Of two rates of an endpoint the lower one is in force.
"""

from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass

from springbridge.rates.statements import Statement, joined, replaces
from springbridge.routing.records import EndpointIncarnation

# Seconds for which the end of a rate is kept. Longer than an answer or news of it is under way.
KEEP_ENDED_S = 30.0


@dataclass(frozen=True, slots=True)
class RateChange:
    """A rate that came, changed or ended; None stands for no limit."""

    incarnation: EndpointIncarnation
    before: float | None
    after: float | None


class RateTable:
    """What this instance knows of the rates of endpoints."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without a rate."""
        self._clock = clock
        self._statements: dict[EndpointIncarnation, Statement] = {}
        self._limited: set[EndpointIncarnation] = set()
        self._cold: dict[EndpointIncarnation, float] = {}

    def __len__(self) -> int:
        """Return how many rates there are."""
        return len(self._limited) + len(self._cold)

    def limited(self) -> Set[EndpointIncarnation]:
        """Return the endpoints that have a rate."""
        return self._limited | self._cold.keys()

    def named(self) -> Set[EndpointIncarnation]:
        """Return the endpoints that name a rate themselves."""
        return self._limited

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether an endpoint of this id has a rate."""
        return any(each.endpoint_id == endpoint_id for each in self.limited())

    def per_s(self, incarnation: EndpointIncarnation) -> float | None:
        """Return an endpoint's rate, None if it has none."""
        known = self._statements.get(incarnation)
        rates = [known.per_s if known else None, self._cold.get(incarnation)]
        return min((rate for rate in rates if rate is not None), default=None)

    def cold(self) -> Set[EndpointIncarnation]:
        """Return the endpoints that have a rate because they are cold."""
        return self._cold.keys()

    def set_cold(self, rates: Mapping[EndpointIncarnation, float]) -> None:
        """Set which endpoints are cold, and the rate of each in requests a second."""
        self._cold = dict(rates)

    def statement(self, incarnation: EndpointIncarnation) -> Statement | None:
        """Return the newest statement about an endpoint that had a rate, None if it never had."""
        return self._statements.get(incarnation)

    def take(self, incarnation: EndpointIncarnation, told: Statement) -> RateChange | None:
        """Take in a statement, and return what it changed, None for nothing."""
        known = self._statements.get(incarnation)
        if known is None and told.per_s is None:
            return None
        if known is not None and known.per_s == told.per_s:
            self._statements[incarnation] = joined(known, told)
            return None
        if known is not None and not replaces(told, known):
            return None
        self._statements[incarnation] = told
        if told.per_s is None:
            self._limited.discard(incarnation)
        else:
            self._limited.add(incarnation)
        return RateChange(incarnation, known.per_s if known else None, told.per_s)

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Forget endpoints that are gone, and ends of rates that are old."""
        oldest_s = self._clock() - KEEP_ENDED_S
        for incarnation, known in list(self._statements.items()):
            ended = known.per_s is None and known.received_s < oldest_s
            if ended or incarnation not in incarnations:
                del self._statements[incarnation]
                self._limited.discard(incarnation)
