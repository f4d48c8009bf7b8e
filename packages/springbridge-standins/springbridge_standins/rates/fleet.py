"""Simulated instances with the real rate limiting and a simple choice of endpoints.

An instance sends a request to the endpoint with the fewest of its requests in progress. In a real
fleet this attracts requests to an endpoint in trouble, since it has the least to do.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from springbridge.membership import Member
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT
from springbridge_node.gateway.requests.rate_parts import RateParts
from springbridge_node.gateway.telemetry import Telemetry

from springbridge_standins.rates.endpoints import SimulatedEndpoint
from springbridge_standins.rates.faulty_fleet import FaultyFleet
from springbridge_standins.rates.statement_record import DRAIN_S, Request
from springbridge_standins.rates.views import SimulatedView

SERVICE = "model"
FAILURE_DOMAINS = ("a", "b", "c")
# Slots of an endpoint; not used here.
SLOTS = 64


@dataclass
class SimulatedProgress:
    """The progress of a request, as recorded by the gate."""

    sends: int = 0
    held_back: set[str] = field(default_factory=set)
    permit_wait_s: float = 0.0


@dataclass
class SimulatedExchange:
    """A request in the form that the gate expects."""

    request_id: str
    demand: Demand
    progress: SimulatedProgress = field(default_factory=SimulatedProgress)


class SimulatedInstance:
    """One incarnation of an instance.

    Attributes:
      sent: Its requests in progress, by endpoint.
      refused_s: Seconds that each refused caller waited for the refusal.
      retry_after_s: Retry-After in seconds that each of them got.
    """

    def __init__(self, fleet: "SimulatedRateFleet", number: int, incarnation: str) -> None:
        """Start an instance that knows no peers and no limits."""
        self.fleet = fleet
        self.address = f"10.0.{number // 250}.{number % 250}:1"
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.member = Member(
            incarnation, f"n{number}", self.address, "", domain, heartbeat=FIRST_HEARTBEAT
        )
        self.view = SimulatedView(self.member, fleet.rng)
        self.sent: Counter = Counter()
        self.refused_s: list[float] = []
        self.retry_after_s: list[float] = []
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        clock = asyncio.get_running_loop().time
        self.registry = EndpointRegistry(clock, DRAIN_S)
        self.list_ready(1)
        self.parts = RateParts(self.view, self.registry, fleet.telemetry, clock)
        datagrams = fleet.network.join(self.address)
        datagrams.peers = lambda: list(self.view.known)
        self.parts.connect(datagrams)
        self.gate = fleet.make_gate(self)
        self._run(self._beat())

    def list_ready(self, revision: int) -> None:
        """Install an endpoint snapshot in which every endpoint is ready."""
        entries = tuple(each.entry for each in self.fleet.endpoints)
        self.registry.install(EndpointSnapshot(revision, entries), {}, 0.0)

    def _run(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self._wait_while_frozen()
            await self.parts.sharing.beat()

    async def _wait_while_frozen(self) -> None:
        """Wait until the instance is no longer frozen."""
        loop = asyncio.get_running_loop()
        while loop.time() < (until_s := self.fleet.network.frozen_until_s.get(self.address, 0.0)):
            await asyncio.sleep(until_s - loop.time() + 0.001)

    def kill(self) -> None:
        """Stop without notice to the peers."""
        for task in self._tasks:
            task.cancel()
        self.fleet.network.leave(self.address)

    def serve(self, priority: int = 1) -> None:
        """Accept a request of a caller and process it in the background."""
        self._run(self._serve(priority))

    async def _serve(self, priority: int) -> None:
        await self._wait_while_frozen()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        name = f"{self.address}/{next(self._numbers)}"
        demand = Demand(name, SERVICE, self.member.failure_domain, priority, 1.0)
        exchange = SimulatedExchange(name, demand)
        while True:
            held = self.gate.held_back(exchange)
            states = {
                state.entry.endpoint_id: state for state in self.registry.candidates(SERVICE, held)
            }
            free = [each for each in self.fleet.endpoints if each.entry.endpoint_id in states]
            if not free:
                self.refused_s.append(loop.time() - began_s)
                spent = self.gate.exhausted_rates(exchange)
                if spent is not None:
                    self.retry_after_s.append(spent.retry_after_s)
                return
            endpoint = min(free, key=lambda each: (self.sent[each.entry.endpoint_id], id(each)))
            state = states[endpoint.entry.endpoint_id]
            last_resort = state.statements.leaving.first_heard_s is not None
            if not await self.gate.acquire_permit(exchange, endpoint.entry):
                continue
            await self._wait_while_frozen()
            if self.registry.may_get_request(state, last_resort):
                self.registry.record_send(state)
                await self._send(endpoint, began_s)
                return

    async def _send(self, endpoint: SimulatedEndpoint, began_s: float) -> None:
        """Send a request to an endpoint and process the metadata of its answer.

        Args:
          endpoint: The endpoint that was chosen.
          began_s: When the caller sent the request.
        """
        loop = asyncio.get_running_loop()
        self.sent[endpoint.entry.endpoint_id] += 1
        sent_s = loop.time()
        request = Request(self.member.incarnation, began_s, self.fleet.is_excused(self.address))
        metadata = await endpoint.answer(request)
        await self._wait_while_frozen()
        self.sent[endpoint.entry.endpoint_id] -= 1
        self.parts.watch.record(endpoint.entry, "", metadata, sent_s, opened_s=sent_s)
        if metadata.statements.leaves:
            endpoint.statement_record.passed_on(self.member.incarnation, loop.time())


class SimulatedRateFleet(FaultyFleet):
    """Instances, endpoints and the network between the instances."""

    def __init__(self, rng: random.Random, size: int, endpoints: int, make_gate=None) -> None:
        """Start all instances; each knows all others.

        Args:
          make_gate: Returns the gate of an instance; None for the real one.
        """
        self.telemetry = Telemetry()
        self.make_gate = make_gate or (lambda instance: instance.parts.gate)
        self.endpoints = [SimulatedEndpoint(_entry(number), rng) for number in range(endpoints)]
        super().__init__(rng, size)

    def _start(self, number: int) -> SimulatedInstance:
        """Start an instance that knows no peers."""
        return SimulatedInstance(self, number, self.new_incarnation())


def _entry(number: int) -> EndpointEntry:
    domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
    return EndpointEntry(f"e{number}", SERVICE, f"10.9.0.{number}:80", domain, SLOTS, False)
