"""Load generator of the soak: sends the request mix of a fleet and records the results."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from time import monotonic

from springbridge_standins.class_router.caller import Address, Call, Reply, new_id
from springbridge_standins.class_router.world import World

# How often a request is sent, with new ids, while it is reported as not run.
MAX_TRIES = 6
# Longest wait of a caller before a retry, whatever time a refusal names.
MAX_BACKOFF_S = 5.0
# Wait before a retry if a refusal names no time, or no node returned an address.
DEFAULT_BACKOFF_S = 0.2
# Time for which callers cache addresses; short, so that they soon notice nodes that join or leave.
ADDRESS_CACHE_S = 1.0
# How often a request whose connection broke is retried under the same id.
MAX_RESENDS = 8
# Pause before such a retry, in which a killed node can be replaced.
RESEND_PAUSE_S = 1.0
# Longest prompt, in words.
MAX_PROMPT_WORDS = 60


@dataclass(frozen=True)
class ClassLoad:
    """Requests of one class.

    Attributes:
      rate_per_s: Mean of the Poisson arrivals.
      tokens: Shortest and longest answer; lengths are drawn evenly on a log scale.
      service: Plain service that the class is for, if any.
      tries: How often a request is sent, with new ids, while it is reported as not run.
    """

    request_class: str
    rate_per_s: float
    tokens: tuple[int, int]
    service: str = ""
    tries: int = 1


# The mix of the fleet of examples/findwell.csv at about two fifths of the capacity of its engines.
FINDWELL_MIX = (
    ClassLoad("claim-answers", 1.32, (20, 160)),
    ClassLoad("passport-match", 0.66, (20, 80)),
    ClassLoad("claim-booking", 1.2, (1, 1), "claims-application"),
    ClassLoad("item-descriptions", 2.4, (40, 240), tries=MAX_TRIES),
    ClassLoad("case-matching", 0.54, (200, 600), tries=MAX_TRIES),
)


@dataclass
class Record:
    """One request and its result.

    Attributes:
      fates: For each request id used, the fate that its last reply reports.
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
        """Send requests for some seconds; those still running then remain in self.tasks."""
        end_s = monotonic() + seconds
        await asyncio.gather(*(self._offer(class_load, end_s) for class_load in FINDWELL_MIX))

    async def finish(self, timeout_s: float) -> None:
        """Wait for the requests that still run, and cancel the rest after the timeout."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _offer(self, class_load: ClassLoad, end_s: float) -> None:
        rng = random.Random(self.rng.random())
        async for _ in _arrivals(rng, class_load.rate_per_s, end_s):
            task = asyncio.create_task(self._run_request(class_load, rng.random()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _run_request(self, class_load: ClassLoad, seed: float) -> None:
        """Send one request, with retries while it is reported as not run."""
        rng = random.Random(seed)
        customer = self._draw_customer(rng)
        low, high = class_load.tokens
        tokens = int(low * (high / low) ** rng.random())
        record = Record(class_load.request_class, customer, tokens)
        self.records.append(record)
        prompt = f"{seed} " + "word " * rng.randrange(MAX_PROMPT_WORDS)
        for _ in range(class_load.tries):
            await self._send_with_new_id(class_load, record, prompt, rng)
            if record.reply.fate != "not run":
                return
            wait_s = record.reply.retry_after_s or DEFAULT_BACKOFF_S
            await asyncio.sleep(min(MAX_BACKOFF_S, wait_s))

    async def _send_with_new_id(
        self, class_load: ClassLoad, record: Record, prompt: str, rng: random.Random
    ) -> None:
        """Send a request under a new id, with retries under that id while connections break."""
        address = await self._address(record, rng)
        if address is None:
            await asyncio.sleep(DEFAULT_BACKOFF_S)
            return
        record.request_id = new_id(address)
        call = Call(
            key=f"key-{record.customer}",
            request_class=record.request_class,
            prompt=prompt,
            tokens=record.tokens,
            request_id=record.request_id,
            service=class_load.service,
            affinity=record.customer,
        )
        for _ in range(1 + MAX_RESENDS):
            record.reply = await self.world.caller.send(address.address, call)
            record.fates[record.request_id] = record.reply.fate
            if record.reply.code is not None:
                return
            await asyncio.sleep(RESEND_PAUSE_S)
            address = await self._address(record, rng) or address

    async def _address(self, record: Record, rng: random.Random) -> Address | None:
        """Return one of the cached addresses, refreshed if they are old; None without any."""
        key = (record.customer, record.request_class)
        fetched_s, found = self._addresses.get(key, (0.0, []))
        if not found or monotonic() - fetched_s > ADDRESS_CACHE_S:
            found = await self._fetch_addresses(record, rng) or found
            self._addresses[key] = (monotonic(), found)
        return rng.choice(found) if found else None

    async def _fetch_addresses(self, record: Record, rng: random.Random) -> list[Address]:
        """Query the running nodes in random order until one returns addresses."""
        nodes = [node for node in self.world.nodes.values() if node.running]
        for node in rng.sample(nodes, len(nodes)):
            found = await self.world.caller.addresses(
                node.caller_address, f"key-{record.customer}", record.request_class
            )
            if found:
                return found
        return []

    def _draw_customer(self, rng: random.Random) -> str:
        """Draw a customer of the table, weighted by its first share."""
        weights: dict[str, float] = {}
        for key, cells in self.world.rows.items():
            if key.startswith("share/"):
                weights.setdefault(key.split("/")[1], float(cells["weight"]))
        names = sorted(weights)
        return rng.choices(names, [weights[name] for name in names])[0]


async def _arrivals(rng: random.Random, rate_per_s: float, end_s: float) -> AsyncIterator[None]:
    """Yield at the times of a Poisson process, independent of the duration of requests."""
    at_s = monotonic()
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s > end_s:
            return
        await asyncio.sleep(max(0.0, at_s - monotonic()))
        yield
