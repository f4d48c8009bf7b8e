"""Stand-in for a model engine: continuous batching, priorities, resume, faults.

Each step brings every stream of the batch TOKENS_PER_STEP tokens, and a step takes longer the more
streams there are. The text of a token is derived from the prompt and its offset, so that a reader
can tell whether an answer is whole and its own.
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

# Tokens that a stream gets at once. Not measured; chosen, as the other rates of this engine.
TOKENS_PER_STEP = 4
# Time of a step with an empty batch.
STEP_S = 0.1
# Share of STEP_S that each stream of the batch adds, so that nodes have a limit to learn.
STEP_SLOPE = 0.08
# Streams that a step brings forward; others wait.
MAX_BATCH = 32
# Streams that may wait; beyond this the engine turns jobs away.
QUEUE_LIMIT = 64
# Age of the load that is reported, since reports of real engines lag.
REPORT_LAG_S = 1.0
# Length of an answer where the request names none.
DEFAULT_TOKENS = 40
# How soon a frozen engine notices that it is to go on.
FROZEN_POLL_S = 0.05


@dataclass
class Faults:
    """Switchable faults.

    Attributes:
      slow: Factor on the time of each step.
      frozen: Whether nothing moves and nothing is answered.
      refuse: Whether new jobs are turned away before they start.
      garble: What to spoil in streams: gap, foreign, repeat, cut or nothing.
    """

    slow: float = 1.0
    frozen: bool = False
    refuse: bool = False
    garble: str = ""


@dataclass(eq=False)
class Stream:
    """One job; offset is the number of tokens of the answer that exist."""

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

    def wake(self) -> None:
        """Wake the readers."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def end(self) -> None:
        """Stop, whole or not."""
        self.ended = True
        self.wake()


def answer_tag(prompt: str) -> str:
    """Return what all tokens of the answer to a prompt begin with."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def answer_text(tag: str, start: int, end: int) -> str:
    """Return the tokens of an answer from start to before end."""
    return "".join(f"{tag}:{number} " for number in range(start, end))


class ModelEngine(JsonStandIn):
    """One engine."""

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
        """Serve and step until cancelled."""
        async with running(self):
            while True:
                await self._thawed()
                await asyncio.sleep(STEP_S * (1 + STEP_SLOPE * len(self.batch)) * self.faults.slow)
                if not self.faults.frozen:
                    self._step()

    def switch(self, wanted: dict) -> None:
        """Switch the faults that are named; crash names the seconds to stay down."""
        crash_s = wanted.pop("crash", None)
        super().switch(wanted)
        if crash_s is not None:
            self._crash = asyncio.create_task(self.crash(crash_s))

    def counters(self) -> dict:
        """Return what the engine has done."""
        active = len(self.batch) + len(self.waiting)
        return {"started": self.started, "active": active, "orders": self.orders}

    async def crash(self, down_s: float) -> None:
        """Lose all jobs and connections, refuse connections for a while, then come back empty."""
        # Without a reset, which could overtake the answer to the call that wants the crash.
        self.stop(Connection.close)
        for stream in self.streams.values():
            stream.end()
        self.streams.clear()
        self.waiting.clear()
        self.batch.clear()
        await asyncio.sleep(down_s)
        await self.start()

    def _step(self) -> None:
        """Bring each stream of the batch its next tokens."""
        # Sorting is stable: equally urgent jobs keep the order of their arrival.
        self.waiting.sort(key=lambda stream: stream.priority)
        while self.waiting and len(self.batch) < MAX_BATCH:
            self.batch.append(self.waiting.pop(0))
        for stream in self.batch:
            stream.offset += min(TOKENS_PER_STEP, stream.total - stream.offset)
            stream.ended = stream.whole
            stream.wake()
        self.batch = [stream for stream in self.batch if not stream.ended]

    async def _thawed(self) -> None:
        """Return when the engine is not frozen."""
        while self.faults.frozen:
            await asyncio.sleep(FROZEN_POLL_S)

    async def _generate(self, request: RawRequest, connection: Connection) -> None:
        """Start a job and stream its answer."""
        await self._thawed()
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
        """Stream the answer of a job that the engine has, from an offset on."""
        await self._thawed()
        stream = self.streams.get(job_id)
        if stream is None:
            await send_json(connection, {}, 404, Engine_Admitted="no")
            return
        await self._send_stream(connection, stream, int(request.query.get("offset", "0")))

    async def _cancel(self, request: RawRequest, connection: Connection, job_id: str) -> None:
        """Stop a job."""
        await self._thawed()
        stream = self.streams.pop(job_id, None)
        if stream is not None:
            stream.end()
            self.batch = [other for other in self.batch if other is not stream]
            self.waiting = [other for other in self.waiting if other is not stream]
        await send_json(connection, {})

    async def _load(self, request: RawRequest, connection: Connection) -> None:
        """Report the load as it was REPORT_LAG_S ago."""
        await self._thawed()
        now_s = monotonic()
        self._reports.append((now_s, float(len(self.batch) + len(self.waiting))))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - REPORT_LAG_S:
            self._reports.popleft()
        await send_json(connection, {"load": self._reports[0][1]})

    async def _order(self, request: RawRequest, connection: Connection) -> None:
        """Take an order, or refuse one whose epoch is behind if tokens are checked."""
        order = request.json()
        if self.checks_tokens and order["epoch"] < self.highest_epoch:
            await send_json(connection, "the order's epoch is behind", 409)
            return
        self.highest_epoch = max(self.highest_epoch, order["epoch"])
        self.orders.append(order)
        await send_json(connection, {})

    async def _send_stream(self, connection: Connection, stream: Stream, sent: int) -> None:
        """Write a stream's chunks from an offset on; one that did not come to its end is cut."""
        await connection.send(stream_head("", signature=""))
        while True:
            changed = stream.changed
            await self._thawed()
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
        """Write the event of some tokens, spoiled if the faults say so."""
        garble = self.faults.garble if sent else ""
        if garble == "cut":
            connection.close()
            raise ConnectionAbortedError
        offset = sent + (1 if garble == "gap" else 0)
        found = {
            "id": "foreign" if garble == "foreign" else stream.job_id,
            "offset": offset,
            "tokens": stream.offset - offset,
            "text": answer_text(stream.tag, offset, stream.offset),
            "last": stream.whole,
        }
        event = b"data: " + orjson.dumps(found) + b"\n\n"
        # A repeat spoils the first event as well.
        await connection.send(chunk(event * (2 if self.faults.garble == "repeat" else 1)))
