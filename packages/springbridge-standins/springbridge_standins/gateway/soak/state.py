"""The parts of a running soak, and what it found."""

import random
from collections import Counter
from dataclasses import dataclass, field

from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.soak.engine import Record
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.proxy import LoopbackProxy


@dataclass(frozen=True)
class Asked:
    """A request that a caller sent."""

    path: str
    body_digest: str


@dataclass
class Soak:
    """The parts of one run and what it found.

    Attributes:
      violations: Each broken promise in a line.
      counts: Answers by path and status, and faults by name.
    """

    rng: random.Random
    store: StoreStandIn
    record: Record = field(default_factory=Record)
    nodes: list[NodeProcess] = field(default_factory=list)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    engine_proxies: list[LoopbackProxy] = field(default_factory=list)
    store_proxies: list[LoopbackProxy] = field(default_factory=list)
    asked: dict[str, Asked] = field(default_factory=dict)
    told_not_run: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    version: int = 1

    def node_at(self, callers: str) -> NodeProcess:
        """Return the node with an address for callers."""
        return next(node for node in self.nodes if node.callers == callers)

    def violated(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{promise}: {detail}")


async def list_engine(soak: Soak, name: str, state: str) -> None:
    """Write an engine's entry, with the address of its proxy."""
    proxy = soak.engine_proxies[sorted(soak.engines).index(name)]
    await soak.store.put(
        "servers",
        name,
        {
            "service": "desk" if "desk" in name else "model",
            "address": proxy.address,
            "zone": "perth-a",
            "slots": 8,
            "state": state,
            "sequence": 1,
        },
    )
