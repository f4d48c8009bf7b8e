"""Drives a world with a fleet's mix of requests and keeps what came of each."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from time import monotonic

from springbridge.codes import Code

from springbridge_standins.class_router.caller import Address, Call, Reply, new_id
from springbridge_standins.class_router.world import World

MOST_TRIES = 6
LONGEST_BACKOFF_S = 5.0
KEEP_ADDRESSES_S = 1.0
RESEND_PAUSE_S = 1.0
PROMPT_WORDS = 60


@dataclass(frozen=True)
class Stream:
    """Requests of one class.

    Attributes:
      rate_per_s: Mean of the Poisson arrivals.
      tokens: Shortest and longest answer; lengths are drawn evenly on a log scale.
      tries: How often a request is asked, with new ids, after it was told that it was not run.
    """

    request_class: str
    rate_per_s: float
    tokens: tuple[int, int]
    service: str = ""
    tries: int = 1
    customer: str = ""


@dataclass
class Record:
    """One request and how it ended.

    Attributes:
      told: For each request id that was used, the fate that its last reply told.
    """

    request_class: str
    customer: str
    at_s: float
    request_id: str
    tokens: int
    reply: Reply = field(default_factory=Reply)
    codes: list[Code | None] = field(default_factory=list)
    told: dict[str, str] = field(default_factory=dict)


@dataclass
class Load:
    """A running load.

    Attributes:
      resends: How often a request whose connection broke is sent again under the same id.
    """

    world: World
    customers: list[tuple[str, float]]
    rng: random.Random
    resends: int = 0
    records: list[Record] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    _addresses: dict[tuple[str, str], tuple[float, list[Address]]] = field(default_factory=dict)
    _started_s: float = field(default_factory=monotonic)

    async def run(self, streams: list[Stream], seconds: float) -> None:
        """Offer streams for some seconds; the requests go on in self.tasks."""
        end_s = monotonic() + seconds
        await asyncio.gather(*(self._offer(stream, end_s) for stream in streams))

    async def finish(self, timeout_s: float) -> None:
        """Wait for the requests that still run, then give the rest up."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _offer(self, stream: Stream, end_s: float) -> None:
        rng = random.Random(self.rng.random())
        async for _ in _arrivals(rng, stream.rate_per_s, end_s):
            task = asyncio.create_task(self._one(stream, rng.random()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _one(self, stream: Stream, seed: float) -> None:
        """Send one request, again after a refusal if the stream says so."""
        rng = random.Random(seed)
        customer = stream.customer or self._draw_customer(rng)
        low, high = stream.tokens
        tokens = int(low * (high / low) ** rng.random())
        record = Record(stream.request_class, customer, monotonic() - self._started_s, "", tokens)
        self.records.append(record)
        prompt = f"{seed} " + "word " * rng.randrange(PROMPT_WORDS)
        for _ in range(stream.tries):
            await self._try(stream, record, prompt, rng)
            told_not_run = record.reply.fate == "not run"
            if not told_not_run:
                return
            await asyncio.sleep(min(LONGEST_BACKOFF_S, record.reply.retry_after_s or 0.2))

    async def _try(self, stream: Stream, record: Record, prompt: str, rng: random.Random) -> None:
        address = await self._address(record, rng)
        if address is None:
            record.codes.append(None)
            await asyncio.sleep(0.2)
            return
        record.request_id = new_id(address)
        call = self._call(stream, record, prompt)
        for _ in range(1 + self.resends):
            record.reply = await self.world.caller.send(address.address, call)
            record.codes.append(record.reply.code)
            record.told[record.request_id] = record.reply.fate
            if record.reply.code is not None:
                return
            await asyncio.sleep(RESEND_PAUSE_S)
            address = await self._address(record, rng) or address

    def _call(self, stream: Stream, record: Record, prompt: str) -> Call:
        return Call(
            key=f"key-{record.customer}",
            request_class=record.request_class,
            prompt=prompt,
            tokens=record.tokens,
            request_id=record.request_id,
            service=stream.service,
            affinity=record.customer,
        )

    async def _address(self, record: Record, rng: random.Random) -> Address | None:
        """Return one of the addresses that a node told, asked again now and then."""
        key = (record.customer, record.request_class)
        asked_s, found = self._addresses.get(key, (0.0, []))
        if not found or monotonic() - asked_s > KEEP_ADDRESSES_S:
            found = await self._ask_addresses(record, rng) or found
            self._addresses[key] = (monotonic(), found)
        return rng.choice(found) if found else None

    async def _ask_addresses(self, record: Record, rng: random.Random) -> list[Address]:
        """Ask one node after another until one tells addresses."""
        nodes = [node for node in self.world.nodes.values() if node.running]
        for node in rng.sample(nodes, len(nodes)):
            found = await self.world.caller.addresses(
                node.caller_address, f"key-{record.customer}", record.request_class
            )
            if found:
                return found
        return []

    def _draw_customer(self, rng: random.Random) -> str:
        names = [name for name, _ in self.customers]
        return rng.choices(names, [weight for _, weight in self.customers])[0]


async def _arrivals(rng: random.Random, rate_per_s: float, end_s: float) -> AsyncIterator[None]:
    """Yield at the times of a Poisson process, which do not wait for the requests."""
    at_s = monotonic()
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s > end_s:
            return
        await asyncio.sleep(max(0.0, at_s - monotonic()))
        yield


def customers_of(world: World) -> list[tuple[str, float]]:
    """Return the customers of a world's table with the weight of their first share."""
    weights: dict[str, float] = {}
    for key, cells in world.rows.items():
        if key.startswith("share/"):
            weights.setdefault(key.split("/")[1], float(cells["weight"]))
    return sorted(weights.items())


def fleet_streams(example: str, scale: float = 1.0) -> list[Stream]:
    """Return a fleet's mix; at scale 1 it takes about seven tenths of the engines' capacity."""
    return [
        Stream(
            stream.request_class,
            stream.rate_per_s * scale,
            stream.tokens,
            stream.service,
            stream.tries,
        )
        for stream in FLEETS[example]
    ]


FLEETS: dict[str, list[Stream]] = {
    "findwell.csv": [
        Stream("claim-answers", 2.2, (20, 160)),
        Stream("passport-match", 1.1, (20, 80)),
        Stream("claim-booking", 2.0, (1, 1), "claims-application"),
        Stream("item-descriptions", 4.0, (40, 240), tries=MOST_TRIES),
        Stream("case-matching", 0.9, (200, 600), tries=MOST_TRIES),
    ],
}
