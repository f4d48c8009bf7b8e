"""State of a running soak: its nodes, engines and proxies, and the violations found."""

import asyncio
import random
import time
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

# Seconds for which a node may use an older list of the engines, while the store is out.
MAX_LIST_AGE_S = 6.0


@dataclass(frozen=True)
class SentRequest:
    """A request that a caller sent.

    Attributes:
      caller_address: Caller address of the node that it was sent to.
      sent_s: When it was sent, on the monotonic clock.
    """

    path: str
    body_digest: str
    caller_address: str
    sent_s: float


@dataclass(frozen=True)
class PathCut:
    """A cut of the paths between a node and some engines.

    Attributes:
      caller_address: Caller address of the node.
      began_s, ended_s: When it began, and when the node had surely noticed its end, on the
        monotonic clock.
      engines: Names of the engines.
    """

    caller_address: str
    began_s: float
    ended_s: float
    engines: frozenset[str]


@dataclass
class Soak:
    """State of one soak.

    Attributes:
      answered_s: When the answer to each request that got one ended, on the monotonic clock.
      reported_not_run: Ids of the requests that were reported to their caller as not run.
      violations: One line for each violation.
      counts: Answers by path and status, and faults by name.
      starts: How often each engine has restarted.
      ended_ids: Ids of the runs that have ended, whose entries an older copy may bring back.
      crashed_s: When engines crashed on the poison request, on the monotonic clock.
      leaving_relayed_s: When a node first relayed an answer in which an engine says that it
        leaves, on the same clock; by the node's caller address and the engine's incarnation.
      poison_arrived_s: When the poison request arrived at engines, on the same clock.
      path_cuts: The cuts of paths between nodes and engines.
      drains_until_s: Until when nodes may take an engine for draining, on the monotonic clock.
      endless: Ids of the requests to which an engine has sent bytes without end.
      stamps: What the soak did and saw, in order, to be read beside the logs of the nodes.
    """

    rng: random.Random
    store: StoreStandIn
    duties: DutyStandIn = field(default_factory=DutyStandIn)
    record: Record = field(default_factory=Record)
    nodes: list[NodeProcess] = field(default_factory=list)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    engine_proxies: list[LoopbackProxy] = field(default_factory=list)
    store_proxies: list[LoopbackProxy] = field(default_factory=list)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    answered_s: dict[str, float] = field(default_factory=dict)
    reported_not_run: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    version: int = 1
    starts: Counter = field(default_factory=Counter)
    ended_ids: set[str] = field(default_factory=set)
    crashed_s: list[float] = field(default_factory=list)
    poison_arrived_s: list[float] = field(default_factory=list)
    leaving_relayed_s: dict[tuple[str, str], float] = field(default_factory=dict)
    path_cuts: list[PathCut] = field(default_factory=list)
    drains_until_s: dict[str, float] = field(default_factory=dict)
    endless: set[str] = field(default_factory=set)
    stamps: list[dict[str, Any]] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def node_at(self, caller_address: str) -> NodeProcess:
        """Return the node with a caller address; raises StopIteration if there is none."""
        return next(node for node in self.nodes if node.caller_address == caller_address)

    def endpoint_id(self, name: str) -> str:
        """Return the id of the current run of an engine; each run has one of its own."""
        return f"{name}+{self.starts[name]}" if self.starts[name] else name

    def begin_run(self, name: str) -> None:
        """Give an engine the id of its next run."""
        self.ended_ids.add(self.endpoint_id(name))
        self.starts[name] += 1
        self.engines[name].endpoint_id = self.endpoint_id(name)

    async def list_engine(self, name: str, state: str) -> None:
        """Write an engine's entry, with the address of its proxy, into the list of endpoints."""
        proxy = self.proxy_of(name)
        service = "desk" if "desk" in name else "model"
        self.stamp("listed", engine=self.endpoint_id(name), state=state)
        if state == "draining":
            self.drains_until_s[name] = float("inf")
        elif name in self.drains_until_s:
            self.drains_until_s[name] = time.monotonic() + MAX_LIST_AGE_S
        endpoint_id = self.endpoint_id(name)
        await list_engine(self.store, endpoint_id, service, proxy.address, state, slots=8)

    async def unlist_engine(self, name: str) -> None:
        """Remove an engine's entry from the list of endpoints."""
        await self.store.remove("servers", self.endpoint_id(name))

    async def unlist_ended(self) -> None:
        """Remove the entries of runs that have ended, as far as there are any."""
        for endpoint_id in self.ended_ids:
            if self.store.value_of("servers", endpoint_id) is not None:
                await self.store.remove("servers", endpoint_id)

    def proxy_of(self, name: str) -> LoopbackProxy:
        """Return the proxy of an engine."""
        return self.engine_proxies[sorted(self.engines).index(name)]

    def stamp(self, event: str, **fields: Any) -> None:
        """Record that something happened now.

        It has the time of day, which the logs of the nodes have, and the time of the checks.
        """
        now = {"timestamp": time.time(), "at_s": time.monotonic()}
        self.stamps.append(now | {"event": event} | fields)

    def forget_crashes(self) -> None:
        """Begin the check of poison anew, since nodes that knew of crashes are gone or apart."""
        self.crashed_s.clear()
        self.poison_arrived_s.clear()

    def start_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until it or the soak ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop_background(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    def violated(self, promise: str, detail: str) -> None:
        """Record a violation: the rule that was broken, and what was seen."""
        self.violations.append(f"{promise}: {detail}")
