"""Stand-in for a model engine: continuous batching, priorities, resume, fault injection.

Each step generates TOKENS_PER_STEP tokens for every stream of the batch; the time of a step grows
with the number of streams. The text of a token is derived from the prompt and its offset, so that a
reader can tell whether an answer is complete and belongs to its own prompt.
"""

import asyncio
import hashlib
from collections import Counter, deque
from dataclasses import dataclass, field
from time import monotonic

import orjson

from springbridge_standins.class_router.json_standin import JsonStandIn, send_json
from springbridge_standins.http_standin import running
from springbridge_standins.http_wire import Connection, RawRequest, chunk, stream_head

# Tokens that a step generates for each stream.
TOKENS_PER_STEP = 4
# Time of a step with an empty batch.
STEP_S = 0.1
# Share of STEP_S that each stream of the batch adds, so that nodes have a limit to learn.
STEP_SLOPE = 0.08
# Largest number of streams in a batch; others wait.
MAX_BATCH = 32
# Largest number of waiting streams; beyond it the engine rejects jobs.
QUEUE_LIMIT = 64
# Age of the load that is reported; the load reports of real engines lag too.
REPORT_LAG_S = 1.0
# Length of an answer if the request sets no max_tokens.
DEFAULT_TOKENS = 40
# Interval at which a frozen engine checks whether it has been unfrozen.
FROZEN_POLL_S = 0.05


@dataclass
class Faults:
    """Switchable faults.

    Attributes:
      slow: Factor on the time of each step.
      frozen: Whether steps and answers are suspended.
      refuse: Whether new jobs are rejected before they start.
      garble: How to corrupt streams: gap, foreign, repeat or cut; empty for not at all.
    """

    slow: float = 1.0
    frozen: bool = False
    refuse: bool = False
    garble: str = ""


@dataclass(eq=False)
class Stream:
    """One job; offset is the number of tokens of the answer generated so far."""

    job_id: str
    tag: str
    offset: int
    total: int
    priority: int
    ended: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def whole(self) -> bool:
        """Return whether the answer is complete."""
        return self.offset >= self.total

    def notify_readers(self) -> None:
        """Wake the tasks that wait for the next change."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def end(self) -> None:
        """End the stream, whether the answer is complete or not."""
        self.ended = True
        self.notify_readers()


def answer_tag(prompt: str) -> str:
    """Return the prefix of all tokens of the answer to a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def answer_text(tag: str, start: int, end: int) -> str:
    """Return the tokens of an answer with offsets from start up to, not including, end."""
    return "".join(f"{tag}:{number} " for number in range(start, end))


class ModelEngine(JsonStandIn):
    """A model engine; checks_tokens is whether it rejects orders with an old fencing token."""

    def __init__(self, address: str, checks_tokens: bool = True) -> None:
        """Start idle; address is IP number:port."""
        routes = {
            "/v1/generate": self._generate,
            "/v1/streams/([^/]+)": self._resume,
            "/v1/streams/([^/]+)/cancel": self._cancel,
            "/v1/load": self._load,
            "/v1/orders": self._order,
        }
        super().__init__(address, Faults(), routes)
        self.started: Counter[str] = Counter()
        self.orders: list[dict] = []
        self.highest_epoch = 0
        self.checks_tokens = checks_tokens
        self.streams: dict[str, Stream] = {}
        self.waiting: list[Stream] = []
        self.batch: list[Stream] = []
        self._reports: deque[tuple[float, float]] = deque()
        self._crash: asyncio.Task | None = None

    async def run(self) -> None:
        """Serve requests and generate tokens until cancelled."""
        async with running(self):
            while True:
                await self._wait_while_frozen()
                await asyncio.sleep(STEP_S * (1 + STEP_SLOPE * len(self.batch)) * self.faults.slow)
                if not self.faults.frozen:
                    self._step()

    def set_faults(self, new_faults: dict) -> None:
        """Set the given faults; "crash" crashes the engine and gives the seconds it stays down."""
        crash_s = new_faults.pop("crash", None)
        super().set_faults(new_faults)
        if crash_s is not None:
            self._crash = asyncio.create_task(self.crash(crash_s))

    def counters(self) -> dict:
        """Return how often each job was started, the number of active jobs, and the orders."""
        active = len(self.batch) + len(self.waiting)
        return {"started": self.started, "active": active, "orders": self.orders}

    async def crash(self, down_s: float) -> None:
        """Drop all jobs and connections, refuse connections for down_s, then restart empty."""
        # Close, not reset: a reset could overtake the answer to the call that sets the fault.
        self.stop(Connection.close)
        for stream in self.streams.values():
            stream.end()
        self.streams.clear()
        self.waiting.clear()
        self.batch.clear()
        await asyncio.sleep(down_s)
        await self.start()

    def _step(self) -> None:
        """Fill the batch from the queue and generate the next tokens of each stream."""
        # The sort is stable: jobs of equal priority stay in order of arrival.
        self.waiting.sort(key=lambda stream: stream.priority)
        while self.waiting and len(self.batch) < MAX_BATCH:
            self.batch.append(self.waiting.pop(0))
        for stream in self.batch:
            stream.offset += min(TOKENS_PER_STEP, stream.total - stream.offset)
            stream.ended = stream.whole
            stream.notify_readers()
        self.batch = [stream for stream in self.batch if not stream.ended]

    async def _wait_while_frozen(self) -> None:
        """Wait while the engine is frozen."""
        while self.faults.frozen:
            await asyncio.sleep(FROZEN_POLL_S)

    async def _generate(self, request: RawRequest, connection: Connection) -> None:
        """Start a job and stream its answer."""
        await self._wait_while_frozen()
        if self.faults.refuse or len(self.waiting) >= QUEUE_LIMIT:
            await send_json(connection, {}, 503, Engine_Admitted="no")
            return
        job = request.json()
        prompt = "".join(message["content"] for message in job["request"]["messages"])
        total = int(job["request"].get("max_tokens", DEFAULT_TOKENS))
        stream = Stream(job["id"], answer_tag(prompt), job["offset"], total, job["priority"])
        self.started[stream.job_id] += 1
        self.streams[stream.job_id] = stream
        self.waiting.append(stream)
        await self._send_stream(connection, stream, stream.offset)

    async def _resume(self, request: RawRequest, connection: Connection, job_id: str) -> None:
        """Stream the answer of an existing job from an offset on."""
        await self._wait_while_frozen()
        stream = self.streams.get(job_id)
        if stream is None:
            await send_json(connection, {}, 404, Engine_Admitted="no")
            return
        await self._send_stream(connection, stream, int(request.query.get("offset", "0")))

    async def _cancel(self, request: RawRequest, connection: Connection, job_id: str) -> None:
        """Cancel a job; an unknown job is ignored."""
        await self._wait_while_frozen()
        stream = self.streams.pop(job_id, None)
        if stream is not None:
            stream.end()
            self.batch = [other for other in self.batch if other is not stream]
            self.waiting = [other for other in self.waiting if other is not stream]
        await send_json(connection, {})

    async def _load(self, request: RawRequest, connection: Connection) -> None:
        """Report the load as it was REPORT_LAG_S ago."""
        await self._wait_while_frozen()
        now_s = monotonic()
        self._reports.append((now_s, float(len(self.batch) + len(self.waiting))))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - REPORT_LAG_S:
            self._reports.popleft()
        await send_json(connection, {"load": self._reports[0][1]})

    async def _order(self, request: RawRequest, connection: Connection) -> None:
        """Accept an order; with fencing tokens checked, reject an epoch below the highest seen."""
        order = request.json()
        if self.checks_tokens and order["epoch"] < self.highest_epoch:
            await send_json(connection, "the order's epoch is behind", 409)
            return
        self.highest_epoch = max(self.highest_epoch, order["epoch"])
        self.orders.append(order)
        await send_json(connection, {})

    async def _send_stream(self, connection: Connection, stream: Stream, sent: int) -> None:
        """Send a stream from an offset on; if it ends incomplete, close without the end marker."""
        await connection.send(stream_head("", signature=""))
        while True:
            changed = stream.changed
            await self._wait_while_frozen()
            if stream.offset > sent or stream.whole:
                await self._send_events(connection, stream, sent)
                sent = stream.offset
            if stream.ended:
                break
            await changed.wait()
        if stream.whole:
            await connection.send(chunk(b"data: [DONE]\n\n") + chunk(b""))
        else:
            connection.close()

    async def _send_events(self, connection: Connection, stream: Stream, sent: int) -> None:
        """Send the event for the tokens from an offset on, corrupted as the garble fault says."""
        garble = self.faults.garble if sent else ""
        if garble == "cut":
            connection.close()
            raise ConnectionAbortedError
        offset = sent + (1 if garble == "gap" else 0)
        event_fields = {
            "id": "foreign" if garble == "foreign" else stream.job_id,
            "offset": offset,
            "tokens": stream.offset - offset,
            "text": answer_text(stream.tag, offset, stream.offset),
            "last": stream.whole,
        }
        event = b"data: " + orjson.dumps(event_fields) + b"\n\n"
        # Unlike the other kinds, repeat corrupts the first event as well.
        await connection.send(chunk(event * (2 if self.faults.garble == "repeat" else 1)))
