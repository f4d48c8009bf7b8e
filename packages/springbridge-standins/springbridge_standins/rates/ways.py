"""Alternative algorithms to share an endpoint's rate, for comparison with permits of one granter.

Both know more than a real fleet does: every instance knows at once which endpoints have a limit,
and AskedPartsGate also the recent load of each instance. They show the best that such algorithms
can reach.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from springbridge.routing.giving_up import RatesExhausted
from springbridge.routing.records import EndpointEntry

from springbridge_standins.rates.fleet import (
    SimulatedExchange,
    SimulatedInstance,
    SimulatedRateFleet,
)

# Most unused permits that an instance keeps at low rates.
KEPT = 1.0
# Span of recent load that determines the share of an instance.
ASKED_S = 2.0


@dataclass
class PartsGate:
    """Gate of an instance that uses a fixed share of each rate, without coordination.

    Attributes:
      asked_s: Times of recent requests.
    """

    instance: SimulatedInstance
    asked_s: deque[float] = field(default_factory=deque)
    _left: dict[str, float] = field(default_factory=dict)
    _counted_s: dict[str, float] = field(default_factory=dict)

    def part(self) -> float:
        """Return the instance's share of a rate: the same for all live instances."""
        return 1.0 / len(self.instance.view.live())

    def held_back(self, exchange: SimulatedExchange) -> set[str]:
        """Return the ids of the endpoints for which no permit is left."""
        return {
            each.entry.endpoint_id
            for each in self.instance.fleet.endpoints
            if each.record.per_s() is not None and self._permits(each.entry) < 1.0
        }

    async def acquire_permit(self, exchange: SimulatedExchange, entry: EndpointEntry) -> bool:
        """Take a permit if the endpoint has a limit; return whether the request may be sent."""
        self.asked_s.append(asyncio.get_running_loop().time())
        if self._rate(entry) is None:
            return True
        if self._permits(entry) < 1.0:
            return False
        self._left[entry.endpoint_id] -= 1.0
        return True

    def exhausted_rates(self, exchange: SimulatedExchange) -> RatesExhausted | None:
        """Count a refused request as load; there is never a Retry-After."""
        self.asked_s.append(asyncio.get_running_loop().time())

    def _rate(self, entry: EndpointEntry) -> float | None:
        found = (each for each in self.instance.fleet.endpoints if each.entry == entry)
        return next(found).record.per_s()

    def _permits(self, entry: EndpointEntry) -> float:
        """Return the permits left for an endpoint, refilled for the time since the last call."""
        now_s = asyncio.get_running_loop().time()
        per_s = (self._rate(entry) or 0.0) * self.part()
        came_up = per_s * (now_s - self._counted_s.get(entry.endpoint_id, now_s))
        most = max(KEPT, per_s * 0.25)
        self._left[entry.endpoint_id] = min(most, self._left.get(entry.endpoint_id, 0.0) + came_up)
        self._counted_s[entry.endpoint_id] = now_s
        return self._left[entry.endpoint_id]


class AskedPartsGate(PartsGate):
    """A gate whose share is proportional to the recent load of its instance."""

    def part(self) -> float:
        """Return this instance's share of the recent load of all instances."""
        fleet = self.instance.fleet
        asked = {each.address: _asked(each.gate) for each in fleet.instances}
        mine = asked.get(self.instance.address, 0)
        return mine / max(1, sum(asked.values()))


def _asked(gate: PartsGate) -> int:
    """Return the number of requests at an instance in the last ASKED_S."""
    oldest_s = asyncio.get_running_loop().time() - ASKED_S
    while gate.asked_s and gate.asked_s[0] < oldest_s:
        gate.asked_s.popleft()
    return len(gate.asked_s)


WAYS = {
    "permits of one granter": None,
    "equal parts": PartsGate,
    "parts by what was asked": AskedPartsGate,
}


def fleet_of(way: str, rng, size: int, endpoints: int) -> SimulatedRateFleet:
    """Return a fleet that shares rates by one of the WAYS."""
    return SimulatedRateFleet(rng, size, endpoints, WAYS[way])
