"""Runs random histories of brittle endpoints under faults, and counts their crashes.

Instances with the real places (place_gate.py) send requests to endpoints that say how many
rejections a second they can stand, and whose room shrinks and grows without notice. Callers come
in bursts, above what there is room for, while instances restart, freeze and are partitioned.
"""

import asyncio
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from unittest import mock

from springbridge.member import Member
from springbridge.rates.statements import StatedRate
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot
from springbridge_node import logs
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT
from springbridge_node.gateway.requests.place_gate import PlaceGate

from springbridge_standins.rates.faulty_fleet import FaultyFleet
from springbridge_standins.rates.views import SimulatedView
from springbridge_standins.virtual_loop import run_virtual

SERVICE = "model"
FAILURE_DOMAINS = ("a", "b", "c")
SLOTS = 64
# Virtual length of a history, and the time from the first statements to the first change of room.
HISTORY_S, NOTICE_S = 20.0, 3.0
# Seconds before that in which instances become settled granters.
SETTLE_S = 3.5
# Seconds over which an endpoint counts rejections, for which it is down after a crash, and after
# which instances see its new run on the list, at most.
WINDOW_S, DOWN_S, LISTED_WITHIN_S = 1.0, 2.0, 0.5
# Seconds in which an endpoint rejects a request.
REJECTION_S = 0.002
# Fewest and most instances, endpoints, rejections that an endpoint can stand, and room.
SIZES, ENDPOINTS, REJECTIONS, ROOM = (2, 24), (2, 5), (1, 20), (3, 12)


@dataclass
class BrittleEndpoint:
    """An endpoint that crashes if it rejects too much.

    Attributes:
      rejections: Rejections a second that it can stand; None while it is not brittle.
      room: Requests that it takes at once.
      crashes: Crashes that most of the rejections from excused instances do not explain.
      busy_s: Seconds of work that it has done.
    """

    entry: EndpointEntry
    work_s: float
    rejections: int | None = None
    room: int = SLOTS
    crashes: int = 0
    busy_s: float = 0.0
    running: int = 0
    down_until_s: float = 0.0
    rejected: deque[tuple[float, bool]] = field(default_factory=deque)

    async def answer(self, excused: bool) -> bool | None:
        """Run a request; return whether it was rejected, None if the endpoint is down."""
        loop = asyncio.get_running_loop()
        if loop.time() < self.down_until_s:
            return None
        if self.running >= self.room:
            self._reject(loop.time(), excused)
            await asyncio.sleep(REJECTION_S)
            return True
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        self.busy_s += self.work_s
        return False

    def _reject(self, now_s: float, excused: bool) -> None:
        """Count a rejection, and crash if that is one too many."""
        self.rejected.append((now_s, excused))
        while self.rejected[0][0] < now_s - WINDOW_S:
            self.rejected.popleft()
        if self.rejections is None or len(self.rejected) <= self.rejections:
            return
        self.crashes += 2 * sum(each for _, each in self.rejected) < len(self.rejected)
        self.rejected.clear()
        self.down_until_s = now_s + DOWN_S
        self.entry = replace(self.entry, born_ms=(self.entry.born_ms or 0) + 1)


@dataclass
class SimulatedProgress:
    """The progress of a request, as the gate records it."""

    without_place: set[str] = field(default_factory=set)
    place_wait_s: float = 0.0


@dataclass
class SimulatedExchange:
    """A request in the form that the gate expects."""

    demand: Demand
    progress: SimulatedProgress = field(default_factory=SimulatedProgress)


class BrittleInstance:
    """One incarnation of an instance.

    Attributes:
      refused_s: Seconds that each refused caller waited for the refusal.
    """

    def __init__(self, fleet: "BrittleFleet", number: int, incarnation: str) -> None:
        """Start an instance that knows no peers."""
        self.fleet = fleet
        self.address = f"10.0.{number // 250}.{number % 250}:1"
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.member = Member(
            incarnation, f"n{number}", self.address, "", domain, heartbeat=FIRST_HEARTBEAT
        )
        self.view = SimulatedView(self.member, fleet.rng)
        self.sent: Counter = Counter()
        self.refused_s: list[float] = []
        self._tasks: set[asyncio.Task] = set()
        self._revisions = itertools.count(1)
        clock = asyncio.get_running_loop().time
        self.registry = EndpointRegistry(clock, 2.0)
        self.gate = PlaceGate(self.view, self.registry, clock)
        datagrams = fleet.network.join(self.address)
        datagrams.peers = lambda: list(self.view.known)
        self.gate.connect(datagrams)
        self._list()
        self._run(self._beat())

    def _list(self) -> None:
        """Install the list of endpoints as it is now."""
        entries = tuple(each.entry for each in self.fleet.endpoints)
        self.registry.install(EndpointSnapshot(next(self._revisions), entries), {}, 0.0)

    def _run(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        beats = itertools.count()
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self._wait_while_frozen()
            await self.gate.sharing.beat()
            if next(beats) % int(LISTED_WITHIN_S / HEARTBEAT_INTERVAL_S) == 0:
                self._list()
                self.gate.forget_gone(self.registry.known_incarnations())

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

    def serve(self) -> None:
        """Accept a request of a caller and process it in the background."""
        self._run(self._serve())

    async def _serve(self) -> None:
        await self._wait_while_frozen()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        exchange = SimulatedExchange(Demand("", SERVICE, self.member.failure_domain, 1, 1.0))
        tried: set[str] = set()
        while True:
            left_out = exchange.progress.without_place | tried
            free = [each for each in self.fleet.endpoints if each.entry.endpoint_id not in left_out]
            if not free:
                self.refused_s.append(loop.time() - began_s)
                return
            endpoint = min(free, key=lambda each: self._rank(each.entry.endpoint_id))
            if await self._attempt(exchange, endpoint):
                return
            if endpoint.entry.endpoint_id not in exchange.progress.without_place:
                tried.add(endpoint.entry.endpoint_id)

    def _rank(self, endpoint_id: str) -> tuple[int, str]:
        """Return the rank of an endpoint: those with few requests of this instance come first."""
        return self.sent[endpoint_id], endpoint_id

    async def _attempt(self, exchange: SimulatedExchange, endpoint: BrittleEndpoint) -> bool:
        """Send a request to an endpoint if it has a place; return whether it was served."""
        name, loop = endpoint.entry.endpoint_id, asyncio.get_running_loop()
        entry = self.registry.find(name).entry
        place = await self.gate.acquire(exchange, entry)
        if place is None:
            return False
        await self._wait_while_frozen()
        self.sent[name] += 1
        sent_s = loop.time()
        with self.gate.hold(exchange, entry, place):
            rejected = await endpoint.answer(self.fleet.is_excused(self.address))
            await self._wait_while_frozen()
            place.rejected = bool(rejected)
        self.sent[name] -= 1
        if rejected is not None:
            self.gate.record(entry, StatedRate(endpoint.rejections), sent_s)
        return rejected is False


class BrittleFleet(FaultyFleet):
    """Instances, brittle endpoints and the network between the instances."""

    def __init__(self, rng: random.Random, size: int, endpoints: list[BrittleEndpoint]) -> None:
        """Start all instances; each knows all others."""
        self.endpoints = endpoints
        super().__init__(rng, size)

    def _start(self, number: int) -> BrittleInstance:
        """Start an instance that knows no peers."""
        return BrittleInstance(self, number, self.new_incarnation())


@dataclass
class BrittleHistory:
    """One random history.

    Attributes:
      crashes: Crashes of all endpoints together.
      allowed: Crashes that are allowed: two and a tenth of the endpoints.
      use: Share of the room that was used from NOTICE_S on.
      refused_s: Longest wait of a refused caller at an instance without faults.
    """

    seed: int
    size: int = 0
    crashes: int = 0
    allowed: float = 0.0
    use: float = 0.0
    refused_s: float = 0.0


def play_history(seed: int, size: int = 0, faults: bool = True) -> BrittleHistory:
    """Run the history of a seed to its end in virtual time.

    Args:
      size: Number of instances, random if 0.
      faults: Whether instances restart and freeze, and room changes.
    """
    history = BrittleHistory(seed, size)
    with mock.patch.object(logs, "event", lambda *args, **fields: None):
        run_virtual(_play(history, random.Random(seed), faults))
    return history


async def _play(history: BrittleHistory, rng: random.Random, faults: bool) -> None:
    history.size = history.size or rng.randint(*SIZES)
    work_s = rng.choice([0.1, 0.3, 1.0])
    endpoints = [
        BrittleEndpoint(_entry(number), work_s) for number in range(rng.randint(*ENDPOINTS))
    ]
    fleet = BrittleFleet(rng, history.size, endpoints)
    fleet.network.loss = rng.choice([0.0, 0.0, 0.03]) if faults else 0.0
    room = rng.randint(*ROOM)
    per_s = room * len(endpoints) / work_s * (rng.uniform(0.5, 4.0) if faults else 2.0)
    calling = asyncio.ensure_future(_call(rng, fleet, min(per_s, 600.0)))
    await asyncio.sleep(SETTLE_S)
    rejections = rng.randint(*REJECTIONS)
    for each in endpoints:
        each.rejections = rejections
    await asyncio.sleep(NOTICE_S)
    for each in endpoints:
        each.room = room
    tasks = [calling]
    if faults:
        tasks += [
            asyncio.ensure_future(_vary_room(rng, endpoints, room)),
            asyncio.ensure_future(_harm(rng, fleet)),
        ]
    busy_s = sum(each.busy_s for each in endpoints)
    await asyncio.sleep(HISTORY_S)
    busy_s = sum(each.busy_s for each in endpoints) - busy_s
    for task in tasks:
        task.cancel()
    for instance in fleet.instances:
        instance.kill()
    history.crashes = sum(each.crashes for each in endpoints)
    history.allowed = 2 + len(endpoints) / 10
    history.use = busy_s / HISTORY_S / (room * len(endpoints))
    history.refused_s = max(
        (
            longest
            for each in fleet.instances
            if each.address not in fleet.excused_until_s
            for longest in each.refused_s
        ),
        default=0.0,
    )


async def _call(rng: random.Random, fleet: BrittleFleet, per_s: float) -> None:
    """Let callers come at random, and now and then many at once."""
    while True:
        await asyncio.sleep(rng.expovariate(per_s))
        fleet.instances[rng.randrange(len(fleet.instances))].serve()
        if rng.random() < 0.2 / per_s:
            for _ in range(min(100, int(per_s))):
                fleet.instances[rng.randrange(len(fleet.instances))].serve()


async def _vary_room(rng: random.Random, endpoints: list[BrittleEndpoint], room: int) -> None:
    """Let the room of endpoints shrink and grow without notice."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        rng.choice(endpoints).room = max(1, int(room * rng.uniform(0.2, 1.5)))


async def _harm(rng: random.Random, fleet: BrittleFleet) -> None:
    """Restart and freeze instances until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        number = rng.randrange(len(fleet.instances))
        if rng.random() < 0.5:
            fleet.restart(number, rng.uniform(0.2, 2.0))
        else:
            fleet.freeze(number, rng.uniform(0.2, 4.0))


def _entry(number: int) -> EndpointEntry:
    domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
    return EndpointEntry(f"e{number}", SERVICE, f"10.9.0.{number}:80", domain, SLOTS, False)
