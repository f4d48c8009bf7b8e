"""Rate limits that engines of the soak name in their answers, change and lift.

Like the poison request, this part has its own random generator.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.proxy import ConnectionFault
from springbridge_standins.rates.rate_record import (
    PROPAGATION_S,
    AnnouncedRate,
    Arrival,
    RateRecord,
)

# Rates that engines name, in requests per second.
RATES_PER_S = (0.5, 1.0, 2.0, 5.0, 20.0, 200.0)
# Longest pause before another engine names a rate, and shortest and longest time it names it.
PAUSE_S, NAMED_S = 2.0, (5.0, 12.0)
# Share of the rates that are followed by another rate rather than by none.
CHANGED_SHARE = 0.3


@dataclass
class EngineRates:
    """The rates that all engines name, and the requests that arrived under them.

    Attributes:
      current: Record of each engine's current incarnation, by name of the engine.
      past: Name of the engine and record of each earlier incarnation.
    """

    soak: Soak
    current: dict[str, RateRecord] = field(default_factory=dict)
    past: list[tuple[str, RateRecord]] = field(default_factory=list)
    _excused_until_s: dict[str, float] = field(default_factory=dict)

    def on_arrival(self, name: str, request_id: str) -> None:
        """Record that a request arrives at an engine."""
        record = self.current.setdefault(name, RateRecord())
        record.arrivals.append(Arrival(time.monotonic(), self.is_excused(name, request_id)))

    def headers(self, name: str) -> dict[str, str]:
        """Return the header with the rate of an engine; none if it names no rate."""
        per_s = self.current.setdefault(name, RateRecord()).answered(time.monotonic())
        return {} if per_s is None else {"Server_Limit": str(per_s)}

    def on_end(self, name: str) -> None:
        """Record that an engine ends; its next incarnation names no rate at first."""
        if name in self.current:
            self.past.append((name, self.current.pop(name)))

    def is_excused(self, name: str, request_id: str) -> bool:
        """Return whether a fault affected the sending node, or the link to the engine, recently."""
        now_s = time.monotonic()
        if self.soak.proxy_of(name).fault is not ConnectionFault.NONE:
            self._excused_until_s[name] = now_s + PROPAGATION_S
        sent = self.soak.sent.get(request_id)
        # A request without caller is the poison request, which any node may send.
        node = sent and self.soak.node_at(sent.caller_address)
        is_affected = node is not None and (node.busy or node.released_s > now_s - PROPAGATION_S)
        return is_affected or self._excused_until_s.get(name, 0.0) > now_s


async def name_rates_forever(soak: Soak, rates: EngineRates, rng: random.Random) -> None:
    """Let random engines, several at a time, name a rate for a while, until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.random() * PAUSE_S)
            name = rng.choice(sorted(soak.engines))
            group.create_task(_name_rate(soak, rates, rng, name))


async def _name_rate(soak: Soak, rates: EngineRates, rng: random.Random, name: str) -> None:
    """Let an engine name one or more rates in turn, then none; skip one that names a rate."""
    record = rates.current.setdefault(name, RateRecord())
    if record.per_s() is not None:
        return
    while True:
        soak.counts["rates named"] += 1
        record.named.append(AnnouncedRate(time.monotonic(), rng.choice(RATES_PER_S)))
        await asyncio.sleep(rng.uniform(*NAMED_S))
        if rng.random() >= CHANGED_SHARE:
            break
    record.named.append(AnnouncedRate(time.monotonic(), None))


def check_rates(soak: Soak, rates: EngineRates) -> None:
    """Check that no engine got more requests than its rates allow."""
    for name, record in [*rates.past, *rates.current.items()]:
        excess = record.max_excess()
        if excess > 0:
            soak.violated("no more than the rate that an engine names", f"{name} {excess:g} over")
