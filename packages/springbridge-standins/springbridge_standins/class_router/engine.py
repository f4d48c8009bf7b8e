"""Stand-in for a model engine: continuous batching, prefix cache, priorities, resume, faults.

Each step brings every stream of the batch TOKENS_PER_STEP tokens, and a step takes longer the more
streams there are. The text of a token is derived from the prompt and its offset, so that a reader
can tell whether an answer is whole and its own.
"""

import asyncio
from collections import Counter, OrderedDict, deque
from time import monotonic

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from springbridge_standins.class_router.engine_handlers import (
    FROZEN_POLL_S,
    CancelHandler,
    CounterHandler,
    FaultHandler,
    GenerateHandler,
    LoadHandler,
    OrderHandler,
    ResumeHandler,
)
from springbridge_standins.class_router.engine_stream import Faults, Stream, answer_tag

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
