"""The parts of a running soak, and what it found."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from springbridge_standins.gateway.duties import DutyStandIn
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.fleet import list_engine
from springbridge_standins.gateway.soak.engine import Record
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.proxy import LoopbackProxy


@dataclass(frozen=True)
class Asked:
    """A request that a caller sent.

    Attributes:
      callers: The address for callers of the node that it was sent to.
      sent_s: When it was sent, on the monotonic clock.
    """

    path: str
    body_digest: str
    callers: str
    sent_s: float


@dataclass
class Soak:
    """The parts of one run and what it found.

    Attributes:
      reported_not_run: Ids of requests whose caller was answered that they were not run.
      violations: Each broken promise in a line.
      counts: Answers by path and status, and faults by name.
      starts: How often each engine has started again.
      ended_s: When engines ended under a request, on the monotonic clock.
      passed_on_s: When a node first passed on an answer of an engine that leaves, on the same
        clock; by the node's address for callers and the engine's run.
      poison_arrived_s: When the request that ends them arrived at engines, on the same clock.
    """

    rng: random.Random
    store: StoreStandIn
    duties: DutyStandIn = field(default_factory=DutyStandIn)
    record: Record = field(default_factory=Record)
    nodes: list[NodeProcess] = field(default_factory=list)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    engine_proxies: list[LoopbackProxy] = field(default_factory=list)
    store_proxies: list[LoopbackProxy] = field(default_factory=list)
    asked: dict[str, Asked] = field(default_factory=dict)
    reported_not_run: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    version: int = 1
    starts: Counter = field(default_factory=Counter)
    ended_s: list[float] = field(default_factory=list)
    poison_arrived_s: list[float] = field(default_factory=list)
    passed_on_s: dict[tuple[str, str], float] = field(default_factory=dict)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def node_at(self, callers: str) -> NodeProcess:
        """Return the node with an address for callers."""
        return next(node for node in self.nodes if node.callers == callers)

    async def list_engine(self, name: str, state: str) -> None:
        """Write an engine's entry into the platform's list, with the address of its proxy."""
        proxy = self.proxy_of(name)
        service = "desk" if "desk" in name else "model"
        start = {"born": self.starts[name]} if self.starts[name] else {}
        await list_engine(self.store, name, service, proxy.address, state, slots=8, **start)

    def proxy_of(self, name: str) -> LoopbackProxy:
        """Return the proxy of an engine."""
        return self.engine_proxies[sorted(self.engines).index(name)]

    def background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something until it ends, or the soak does."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop_background(self) -> None:
        """End what still runs."""
        for task in self._tasks:
            task.cancel()

    def violated(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{promise}: {detail}")
