"""Other ways to share an endpoint's rate, to compare with the permits of one granter.

Both are given more than a fleet has: every instance knows at once which endpoints have a rate, and
AskedParts what each instance was asked lately. They show the most that such a way can reach.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from springbridge.routing.giving_up import RatesExhausted
from springbridge.routing.records import EndpointEntry

from springbridge_standins.rates.fleet import DrawnExchange, DrawnFleet, DrawnInstance

# Permits that an instance keeps at the most.
KEPT = 1.0
# Seconds of what instances were asked that their parts follow.
ASKED_S = 2.0


@dataclass
class PartsGate:
    """An instance that keeps to its own part of each rate, counted on its own.

    Attributes:
      asked_s: When it was asked lately.
    """

    instance: DrawnInstance
    asked_s: deque[float] = field(default_factory=deque)
    _left: dict[str, float] = field(default_factory=dict)
    _counted_s: dict[str, float] = field(default_factory=dict)

    def part(self) -> float:
        """Return the part of a rate that the instance takes: equal parts."""
        return 1.0 / len(self.instance.view.live())

    def held_back(self, exchange: DrawnExchange) -> set[str]:
        """Return the endpoints whose part is spent."""
        return {
            each.entry.endpoint_id
            for each in self.instance.fleet.endpoints
            if each.record.per_s() is not None and self._permits(each.entry) < 1.0
        }

    async def acquire_permit(self, exchange: DrawnExchange, entry: EndpointEntry) -> bool:
        """Return whether a request may be sent, and count it."""
        self.asked_s.append(asyncio.get_running_loop().time())
        if self._rate(entry) is None:
            return True
        if self._permits(entry) < 1.0:
            return False
        self._left[entry.endpoint_id] -= 1.0
        return True

    def exhausted_rates(self, exchange: DrawnExchange) -> RatesExhausted | None:
        """Note that a request was refused."""
        self.asked_s.append(asyncio.get_running_loop().time())

    def _rate(self, entry: EndpointEntry) -> float | None:
        found = (each for each in self.instance.fleet.endpoints if each.entry == entry)
        return next(found).record.per_s()

    def _permits(self, entry: EndpointEntry) -> float:
        """Return the permits for an endpoint, with the remainder carried on."""
        now_s = asyncio.get_running_loop().time()
        per_s = (self._rate(entry) or 0.0) * self.part()
        came_up = per_s * (now_s - self._counted_s.get(entry.endpoint_id, now_s))
        most = max(KEPT, per_s * 0.25)
        self._left[entry.endpoint_id] = min(most, self._left.get(entry.endpoint_id, 0.0) + came_up)
        self._counted_s[entry.endpoint_id] = now_s
        return self._left[entry.endpoint_id]


class AskedPartsGate(PartsGate):
    """One whose part follows what each instance was asked lately."""

    def part(self) -> float:
        """Return the part that this instance was asked of what all were."""
        fleet = self.instance.fleet
        asked = {each.address: _asked(each.gate) for each in fleet.instances}
        mine = asked.get(self.instance.address, 0)
        return mine / max(1, sum(asked.values()))


def _asked(gate: PartsGate) -> int:
    """Return how often an instance was asked lately."""
    oldest_s = asyncio.get_running_loop().time() - ASKED_S
    while gate.asked_s and gate.asked_s[0] < oldest_s:
        gate.asked_s.popleft()
    return len(gate.asked_s)


WAYS = {
    "permits of one granter": None,
    "equal parts": PartsGate,
    "parts by what was asked": AskedPartsGate,
}


def fleet_of(way: str, rng, size: int, endpoints: int) -> DrawnFleet:
    """Return a fleet that shares rates in one of the WAYS."""
    return DrawnFleet(rng, size, endpoints, WAYS[way])
