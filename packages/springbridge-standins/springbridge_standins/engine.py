"""Stand-in for a model engine: continuous batching, prefix cache, priorities, resume, faults.

Each step brings every stream of the batch TOKENS_PER_STEP tokens, and a step takes longer the more
streams there are. The text of a token is derived from the prompt and its offset, so that a reader
can tell whether an answer is whole and its own.
"""

import asyncio
import hashlib
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from time import monotonic

import orjson
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

TOKENS_PER_STEP = 4
STEP_S = 0.1
STEP_SLOPE = 0.08
MAX_BATCH = 32
QUEUE_LIMIT = 64
PREFILL_S_PER_TOKEN = 0.0002
PREFIX_CHARS = 256
PREFIX_CACHE_ENTRIES = 32
CACHED_SHARE = 0.1
REPORT_LAG_S = 1.0
DEFAULT_TOKENS = 40
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


@dataclass
class Stream:
    """One job."""

    job_id: str
    tag: str
    first_offset: int
    total: int
    priority: int
    number: int
    prefill_s: float
    produced: int = 0
    ended: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def offset(self) -> int:
        """Return the number of tokens of the answer that exist."""
        return self.first_offset + self.produced

    @property
    def whole(self) -> bool:
        """Return whether the answer is complete."""
        return self.offset >= self.total

    def wake(self) -> None:
        """Wake the readers."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def answer_tag(prompt: str) -> str:
    """Return what all tokens of the answer to a prompt begin with."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def answer_text(tag: str, start: int, end: int) -> str:
    """Return the tokens of an answer from start to before end."""
    return "".join(f"{tag}:{number} " for number in range(start, end))


class ModelEngine:
    """One engine."""

    def __init__(self, address: str, checks_tokens: bool = True):
        """Start idle; address is IP number:port."""
        self.address = address
        self.faults = Faults()
        self.started: Counter[str] = Counter()
        self.generated_tokens = 0
        self.orders: list[dict] = []
        self.highest_epoch = 0
        self.checks_tokens = checks_tokens
        self.streams: dict[str, Stream] = {}
        self.waiting: list[Stream] = []
        self.batch: list[Stream] = []
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._reports: deque[tuple[float, float]] = deque()
        self._server: HTTPServer | None = None
        self._handlers: set[RequestHandler] = set()

    async def run(self) -> None:
        """Serve and step until cancelled."""
        self.listen()
        while True:
            if self.faults.frozen:
                await asyncio.sleep(FROZEN_POLL_S)
                continue
            await asyncio.sleep(self._step_s())
            if not self.faults.frozen:
                self._step()

    def listen(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(":")
        args = {"engine": self}
        application = Application(
            [
                (r"/v1/generate", GenerateHandler, args),
                (r"/v1/streams/([^/]+)", ResumeHandler, args),
                (r"/v1/streams/([^/]+)/cancel", CancelHandler, args),
                (r"/v1/load", LoadHandler, args),
                (r"/v1/orders", OrderHandler, args),
                (r"/faults", FaultHandler, args),
                (r"/counters", CounterHandler, args),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)
        self._server.listen(int(port), host)

    async def crash(self, down_s: float) -> None:
        """Lose all jobs and connections, refuse connections for a while, then come back empty."""
        self._server.stop()
        for handler in list(self._handlers):
            if handler.request.connection is not None:
                handler.request.connection.stream.close()
        for stream in self.streams.values():
            stream.ended = True
            stream.wake()
        self.streams.clear()
        self.waiting.clear()
        self.batch.clear()
        await self._server.close_all_connections()
        await asyncio.sleep(down_s)
        self.listen()

    def admit(self, job: dict) -> Stream:
        """Take in a job."""
        prompt = "".join(message["content"] for message in job["request"]["messages"])
        job_id = job["id"]
        self.started[job_id] += 1
        stream = Stream(
            job_id=job_id,
            tag=answer_tag(prompt),
            first_offset=job["offset"],
            total=int(job["request"].get("max_tokens", DEFAULT_TOKENS)),
            priority=job["priority"],
            number=sum(self.started.values()),
            prefill_s=self._prefill_s(prompt),
        )
        self.streams[job_id] = stream
        self.waiting.append(stream)
        return stream

    def cancel(self, job_id: str) -> None:
        """Stop a job."""
        stream = self.streams.pop(job_id, None)
        if stream is not None:
            stream.ended = True
            stream.wake()
            self.batch = [other for other in self.batch if other is not stream]
            self.waiting = [other for other in self.waiting if other is not stream]

    def full(self) -> bool:
        """Return whether no further job is taken in."""
        return len(self.waiting) >= QUEUE_LIMIT

    def reported_load(self) -> float:
        """Return the load as it was REPORT_LAG_S ago."""
        now_s = monotonic()
        self._reports.append((now_s, float(len(self.batch) + len(self.waiting))))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - REPORT_LAG_S:
            self._reports.popleft()
        return self._reports[0][1]

    def order(self, order: dict) -> bool:
        """Take an order, or refuse one whose epoch is behind if tokens are checked."""
        if self.checks_tokens and order["epoch"] < self.highest_epoch:
            return False
        self.highest_epoch = max(self.highest_epoch, order["epoch"])
        self.orders.append(order)
        return True

    def _prefill_s(self, prompt: str) -> float:
        """Return the time to read a prompt, less if its beginning is cached."""
        prefix = prompt[:PREFIX_CHARS]
        cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > PREFIX_CACHE_ENTRIES:
            self._prefixes.popitem(last=False)
        return len(prompt) / 4 * PREFILL_S_PER_TOKEN * (CACHED_SHARE if cached else 1.0)

    def _step_s(self) -> float:
        return STEP_S * (1 + STEP_SLOPE * len(self.batch)) * self.faults.slow

    def _step(self) -> None:
        """Bring each stream of the batch its next tokens."""
        step_s = self._step_s()
        self.waiting.sort(key=lambda stream: (stream.priority, stream.number))
        while self.waiting and len(self.batch) < MAX_BATCH:
            self.batch.append(self.waiting.pop(0))
        for stream in self.batch:
            if stream.prefill_s > 0:
                stream.prefill_s -= step_s
                continue
            tokens = min(TOKENS_PER_STEP, stream.total - stream.offset)
            stream.produced += tokens
            self.generated_tokens += tokens
            stream.ended = stream.whole
            stream.wake()
        self.batch = [stream for stream in self.batch if not stream.ended]


class EngineHandler(RequestHandler):
    """What all handlers share."""

    def initialize(self, engine: ModelEngine) -> None:
        """Keep the engine."""
        self.engine = engine
        engine._handlers.add(self)

    def on_finish(self) -> None:
        """Forget the handler."""
        self.engine._handlers.discard(self)

    def on_connection_close(self) -> None:
        """Forget the handler."""
        self.engine._handlers.discard(self)

    async def thawed(self) -> None:
        """Return when the engine is not frozen."""
        while self.engine.faults.frozen:
            await asyncio.sleep(FROZEN_POLL_S)

    async def send_stream(self, stream: Stream, offset: int) -> None:
        """Write a stream's chunks from an offset on."""
        self.set_header("Content-Type", "text/event-stream")
        sent = offset
        try:
            while True:
                changed = stream.changed
                await self.thawed()
                if stream.offset > sent or stream.whole:
                    self._write_chunk(stream, sent)
                    sent = stream.offset
                    await self.flush()
                if stream.ended:
                    break
                await changed.wait()
        except StreamClosedError:
            return
        if stream.whole:
            self.finish(b"data: [DONE]\n\n")
        else:
            self.request.connection.stream.close()

    def _write_chunk(self, stream: Stream, sent: int) -> None:
        """Write one chunk, spoiled if the faults say so."""
        garble = self.engine.faults.garble
        offset = sent + (1 if garble == "gap" and sent else 0)
        chunk = {
            "id": "foreign" if garble == "foreign" and sent else stream.job_id,
            "offset": offset,
            "tokens": stream.offset - offset,
            "text": answer_text(stream.tag, offset, stream.offset),
            "last": stream.whole,
        }
        if garble == "cut" and sent:
            self.request.connection.stream.close()
            return
        data = b"data: " + orjson.dumps(chunk) + b"\n\n"
        self.write(data * 2 if garble == "repeat" else data)


class GenerateHandler(EngineHandler):
    """Starts jobs."""

    async def post(self) -> None:
        """Start a job and stream its answer."""
        await self.thawed()
        if self.engine.faults.refuse or self.engine.full():
            self.set_status(503)
            self.set_header("Engine-Admitted", "no")
            return
        stream = self.engine.admit(orjson.loads(self.request.body))
        await self.send_stream(stream, stream.first_offset)


class ResumeHandler(EngineHandler):
    """Goes on with jobs that the engine has."""

    async def get(self, job_id: str) -> None:
        """Stream a job's answer from an offset on."""
        await self.thawed()
        stream = self.engine.streams.get(job_id)
        if stream is None:
            self.set_status(404)
            self.set_header("Engine-Admitted", "no")
            return
        await self.send_stream(stream, int(self.get_query_argument("offset", "0")))


class CancelHandler(EngineHandler):
    """Stops jobs."""

    async def post(self, job_id: str) -> None:
        """Stop a job."""
        await self.thawed()
        self.engine.cancel(job_id)


class LoadHandler(EngineHandler):
    """Reports load, late."""

    async def get(self) -> None:
        """Answer with the load."""
        await self.thawed()
        self.finish({"load": self.engine.reported_load()})


class OrderHandler(EngineHandler):
    """Takes operators' orders."""

    async def post(self) -> None:
        """Take or refuse an order."""
        if not self.engine.order(orjson.loads(self.request.body)):
            self.set_status(409)
            self.finish("the order's epoch is behind")


class FaultHandler(EngineHandler):
    """Switches faults."""

    def post(self) -> None:
        """Switch the faults that are named; crash names the seconds to stay down."""
        wanted = orjson.loads(self.request.body)
        crash_s = wanted.pop("crash", None)
        for name, value in wanted.items():
            setattr(self.engine.faults, name, value)
        if crash_s is not None:
            asyncio.get_running_loop().create_task(self.engine.crash(crash_s))


class CounterHandler(EngineHandler):
    """Shows what the engine has done."""

    def get(self) -> None:
        """Answer with the counters."""
        engine = self.engine
        self.finish(
            {
                "started": engine.started,
                "generated_tokens": engine.generated_tokens,
                "active": len(engine.batch) + len(engine.waiting),
                "orders": engine.orders,
            }
        )
