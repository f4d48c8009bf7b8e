"""Table of the request rates in force, by endpoint, as known to one instance.

A rate that an endpoint states holds until a response says otherwise, however long no request is
sent to the endpoint: the next permitted request will find out. The end of a rate is kept for a
while, so that older responses and delayed messages do not restore the rate.

The operators may set a rate for endpoints that are cold. Instances do not exchange it, as each sees
on the list which endpoints are cold. Of two rates of an endpoint the lower one is in force.
"""

from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass

from springbridge.rates.statements import Statement, joined, replaces
from springbridge.routing.records import EndpointIncarnation

# Seconds for which the end of a rate is kept. Longer than a response or a message about it takes.
KEEP_ENDED_S = 30.0


@dataclass(frozen=True, slots=True)
class RateChange:
    """A rate that was set, changed or removed; None means no limit."""

    incarnation: EndpointIncarnation
    before: float | None
    after: float | None


class RateTable:
    """The rates of endpoints known to this instance."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without rates; the clock must be that of the statements' times."""
        self._clock = clock
        self._statements: dict[EndpointIncarnation, Statement] = {}
        self._limited: set[EndpointIncarnation] = set()
        self._cold: dict[EndpointIncarnation, float] = {}

    def __len__(self) -> int:
        """Return the number of rates: of endpoints that state one, and of cold ones."""
        return len(self._limited) + len(self._cold)

    def limited(self) -> Set[EndpointIncarnation]:
        """Return the endpoints that have a rate, stated or as cold ones."""
        return self._limited | self._cold.keys()

    def named(self) -> Set[EndpointIncarnation]:
        """Return the endpoints that state a rate themselves."""
        return self._limited

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether an endpoint of this id has a rate."""
        return any(each.endpoint_id == endpoint_id for each in self.limited())

    def per_s(self, incarnation: EndpointIncarnation) -> float | None:
        """Return an endpoint's rate in requests a second, None if it has none."""
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

    def take(self, incarnation: EndpointIncarnation, new: Statement) -> RateChange | None:
        """Merge a statement and return the change of the stated rate, None if there is none."""
        known = self._statements.get(incarnation)
        if known is None and new.per_s is None:
            return None
        if known is not None and known.per_s == new.per_s:
            self._statements[incarnation] = joined(known, new)
            return None
        if known is not None and not replaces(new, known):
            return None
        self._statements[incarnation] = new
        if new.per_s is None:
            self._limited.discard(incarnation)
        else:
            self._limited.add(incarnation)
        return RateChange(incarnation, known.per_s if known else None, new.per_s)

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Drop all endpoints but the given ones, and ends of rates older than KEEP_ENDED_S."""
        oldest_s = self._clock() - KEEP_ENDED_S
        for incarnation, known in list(self._statements.items()):
            ended = known.per_s is None and known.received_s < oldest_s
            if ended or incarnation not in incarnations:
                del self._statements[incarnation]
                self._limited.discard(incarnation)
