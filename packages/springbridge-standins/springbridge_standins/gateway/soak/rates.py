"""Engines of the soak in need: they name rates that come, change and go.

Like the request that ends engines it draws from a source of chance of its own.
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

# Rates that are named, in requests a second.
RATES_PER_S = (0.5, 1.0, 2.0, 5.0, 20.0, 200.0)
# Longest pause between two changes, and seconds for which a rate is named: from, to.
PAUSE_S, NAMED_S = 2.0, (5.0, 12.0)
# Share of the rates that are followed by another one and not by none.
CHANGED_SHARE = 0.3


@dataclass
class EngineRates:
    """The rates of all engines, and what arrived.

    Attributes:
      now: The record of each engine's present run.
      before: Those of runs that are over, by the name of the engine.
    """

    soak: Soak
    now: dict[str, RateRecord] = field(default_factory=dict)
    before: list[tuple[str, RateRecord]] = field(default_factory=list)
    _harmed_until_s: dict[str, float] = field(default_factory=dict)

    def arrived(self, name: str, request_id: str) -> None:
        """Note that a request arrives at an engine."""
        record = self.now.setdefault(name, RateRecord())
        record.arrivals.append(Arrival(time.monotonic(), self.is_excused(name, request_id)))

    def headers(self, name: str) -> dict[str, str]:
        """Return the headers for an answer of an engine."""
        per_s = self.now.setdefault(name, RateRecord()).answered(time.monotonic())
        return {} if per_s is None else {"Server_Limit": str(per_s)}

    def ended(self, name: str) -> None:
        """Note that an engine ends; its next run names no rate."""
        if name in self.now:
            self.before.append((name, self.now.pop(name)))

    def is_excused(self, name: str, request_id: str) -> bool:
        """Return whether the sender, or the way to the engine, was harmed a moment ago."""
        now_s = time.monotonic()
        if self.soak.proxy_of(name).fault is not ConnectionFault.NONE:
            self._harmed_until_s[name] = now_s + PROPAGATION_S
        asked = self.soak.asked.get(request_id)
        # A request that is in no caller's hands is one that ends engines; any node may send it.
        node = asked and self.soak.node_at(asked.callers)
        is_harmed = node is not None and (node.busy or node.freed_s > now_s - PROPAGATION_S)
        return is_harmed or self._harmed_until_s.get(name, 0.0) > now_s


async def name_rates_forever(soak: Soak, rates: EngineRates, rng: random.Random) -> None:
    """Let one engine after another name a rate for a while; several do at a time."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.random() * PAUSE_S)
            name = rng.choice(sorted(soak.engines))
            group.create_task(_name_rate(soak, rates, rng, name))


async def _name_rate(soak: Soak, rates: EngineRates, rng: random.Random, name: str) -> None:
    """Let an engine name a rate unless it does already, and then another one or none."""
    record = rates.now.setdefault(name, RateRecord())
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
    """Check that no engine got more than the rule allows."""
    for name, record in [*rates.before, *rates.now.items()]:
        most = record.max_excess()
        if most > 0:
            soak.violated("no more than the rate that an engine names", f"{name} {most:g} over")
