"""Offers a world the mix of requests of a fleet and keeps what came of each."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from time import monotonic

from springbridge_standins.class_router.caller import Address, Call, Reply, new_id
from springbridge_standins.class_router.world import World

# How often a request that was not run is asked again with a new id; others are asked once.
MOST_TRIES = 6
# A caller doesn't wait longer than this, whatever a refusal says.
LONGEST_BACKOFF_S = 5.0
# Wait where a refusal names no time to come back, or no node gave an address.
SHORT_BACKOFF_S = 0.2
# Short, so that callers learn soon of nodes that came or went.
KEEP_ADDRESSES_S = 1.0
# How often a request whose connection broke is sent again under the same id.
RESENDS = 8
# Gives a node that was killed time to be replaced before the same id is sent again.
RESEND_PAUSE_S = 1.0
# Longest prompt, in words.
PROMPT_WORDS = 60


@dataclass(frozen=True)
class Stream:
    """Requests of one class.

    Attributes:
      rate_per_s: Mean of the Poisson arrivals.
      tokens: Shortest and longest answer; lengths are drawn evenly on a log scale.
      service: Plain service that the class is for, if any.
      tries: How often a request is asked, with new ids, after a reply that it was not run.
    """

    request_class: str
    rate_per_s: float
    tokens: tuple[int, int]
    service: str = ""
    tries: int = 1


# The mix of the fleet of examples/findwell.csv at about two fifths of what its engines can do.
FINDWELL = (
    Stream("claim-answers", 1.32, (20, 160)),
    Stream("passport-match", 0.66, (20, 80)),
    Stream("claim-booking", 1.2, (1, 1), "claims-application"),
    Stream("item-descriptions", 2.4, (40, 240), tries=MOST_TRIES),
    Stream("case-matching", 0.54, (200, 600), tries=MOST_TRIES),
)


@dataclass
class Record:
    """One request and how it ended.

    Attributes:
      fates: For each request id that was used, what its last reply said of its execution.
    """

    request_class: str
    customer: str
    tokens: int
    request_id: str = ""
    reply: Reply = field(default_factory=Reply)
    fates: dict[str, str] = field(default_factory=dict)


@dataclass
class Load:
    """A running load.

    Attributes:
      tasks: Requests that still run.
    """

    world: World
    rng: random.Random
    records: list[Record] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    _addresses: dict[tuple[str, str], tuple[float, list[Address]]] = field(default_factory=dict)

    async def run(self, seconds: float) -> None:
        """Offer requests for some seconds; they go on in self.tasks."""
        end_s = monotonic() + seconds
        await asyncio.gather(*(self._offer(stream, end_s) for stream in FINDWELL))

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
        customer = self._draw_customer(rng)
        low, high = stream.tokens
        tokens = int(low * (high / low) ** rng.random())
        record = Record(stream.request_class, customer, tokens)
        self.records.append(record)
        prompt = f"{seed} " + "word " * rng.randrange(PROMPT_WORDS)
        for _ in range(stream.tries):
            await self._try(stream, record, prompt, rng)
            if record.reply.fate != "not run":
                return
            wait_s = record.reply.retry_after_s or SHORT_BACKOFF_S
            await asyncio.sleep(min(LONGEST_BACKOFF_S, wait_s))

    async def _try(self, stream: Stream, record: Record, prompt: str, rng: random.Random) -> None:
        """Send a request under a new id, and under the same one while connections break."""
        address = await self._address(record, rng)
        if address is None:
            await asyncio.sleep(SHORT_BACKOFF_S)
            return
        record.request_id = new_id(address)
        call = Call(
            key=f"key-{record.customer}",
            request_class=record.request_class,
            prompt=prompt,
            tokens=record.tokens,
            request_id=record.request_id,
            service=stream.service,
            affinity=record.customer,
        )
        for _ in range(1 + RESENDS):
            record.reply = await self.world.caller.send(address.address, call)
            record.fates[record.request_id] = record.reply.fate
            if record.reply.code is not None:
                return
            await asyncio.sleep(RESEND_PAUSE_S)
            address = await self._address(record, rng) or address

    async def _address(self, record: Record, rng: random.Random) -> Address | None:
        """Return one of the addresses that a node gave, asked again now and then."""
        key = (record.customer, record.request_class)
        asked_s, found = self._addresses.get(key, (0.0, []))
        if not found or monotonic() - asked_s > KEEP_ADDRESSES_S:
            found = await self._ask_addresses(record, rng) or found
            self._addresses[key] = (monotonic(), found)
        return rng.choice(found) if found else None

    async def _ask_addresses(self, record: Record, rng: random.Random) -> list[Address]:
        """Ask one node after another until one gives addresses."""
        nodes = [node for node in self.world.nodes.values() if node.running]
        for node in rng.sample(nodes, len(nodes)):
            found = await self.world.caller.addresses(
                node.caller_address, f"key-{record.customer}", record.request_class
            )
            if found:
                return found
        return []

    def _draw_customer(self, rng: random.Random) -> str:
        """Draw a customer of the table by the weight of its first share."""
        weights: dict[str, float] = {}
        for key, cells in self.world.rows.items():
            if key.startswith("share/"):
                weights.setdefault(key.split("/")[1], float(cells["weight"]))
        names = sorted(weights)
        return rng.choices(names, [weights[name] for name in names])[0]


async def _arrivals(rng: random.Random, rate_per_s: float, end_s: float) -> AsyncIterator[None]:
    """Yield at the times of a Poisson process, which do not wait for the requests."""
    at_s = monotonic()
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s > end_s:
            return
        await asyncio.sleep(max(0.0, at_s - monotonic()))
        yield
