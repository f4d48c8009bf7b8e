"""Engines of the soak: answers that can be checked byte by byte, and random faults."""

import asyncio
import hashlib
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    stream_head,
)

if TYPE_CHECKING:
    from springbridge_standins.gateway.soak.odd_answers import OddAnswers
    from springbridge_standins.gateway.soak.unframed import UnframedAnswers

# Share of requests that meet a fault, a sixth of it for each kind: most requests succeed, and each
# kind still occurs often.
FAULT_SHARE = 0.12
# Longest stream; with EVENT_PAUSE_S it takes up to a quarter of a second, so that faults hit it
# midway.
MAX_EVENTS = 12
# Pause after each event of a stream.
EVENT_PAUSE_S = 0.02
# Longest time before a plain answer.
MAX_PLAIN_S = 0.03
# Kind of an endless answer whose head promises that the request was not run.
REFUSAL_KIND = "a body of a refusal"


@dataclass
class Record:
    """The requests that all engines began to run.

    Attributes:
      runs: How often each request was begun, by request id.
      engines: Which engines began each request, by request id.
      bodies: Digest of the body of each request.
      customers: Customer of each request.
    """

    runs: Counter = field(default_factory=Counter)
    engines: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    bodies: dict[str, str] = field(default_factory=dict)
    customers: dict[str, str] = field(default_factory=dict)


def digest(data: bytes) -> str:
    """Return the first 12 hex digits of the SHA-256 of some bytes."""
    return hashlib.sha256(data).hexdigest()[:12]


def event_count(request_id: str) -> int:
    """Return the number of events in the stream of a request, the same at every engine."""
    return 1 + int(digest(request_id.encode()), 16) % MAX_EVENTS


def stream_event(request_id: str, number: int) -> bytes:
    """Return the event with a number, from 1 on, of a request's stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def full_stream(request_id: str) -> bytes:
    """Return the complete stream of a request."""
    last = event_count(request_id)
    return b"".join(stream_event(request_id, number) for number in range(1, last + 1))


def plain_answer(request_id: str, body: bytes) -> bytes:
    """Return the complete plain answer to a request."""
    return f"{request_id}:{digest(body)}".encode()


class StatementSource(Protocol):
    """Source of what engines state about themselves; it is notified of each request."""

    def on_arrival(self, name: str, request_id: str) -> None:
        """Record that a request arrives at an engine."""

    def headers(self, name: str) -> dict[str, str]:
        """Return the headers that an engine adds to an answer."""

    def rest_s(self, name: str, request_id: str) -> float | None:
        """Return the rest to ask for in a refusal, in seconds; None to serve the request."""


class SoakScript:
    """Answers requests as an engine, with random faults of the kinds that real engines have.

    Attributes:
      faulty: Whether faults are injected.
    """

    def __init__(
        self,
        name: str,
        endpoint_id: Callable[[], str],
        record: Record,
        rng: random.Random,
        crash: Callable[[RawRequest, str], Awaitable[bool]],
        statements: StatementSource,
        unframed: "UnframedAnswers",
        odd: "OddAnswers | None" = None,
    ) -> None:
        """Set up the engine with a name and the record that all engines share.

        Args:
          endpoint_id: Returns the id of its current run.
          crash: Crashes the engine with a name if the request is poison; returns whether it is.
          statements: Source of the engines' statements about themselves.
          unframed: Sends the answers that state no length.
          odd: Sends answers that are none; None for no such answers.
        """
        self._odd = odd
        self._unframed = unframed
        self._crash = crash
        self._statements = statements
        self._name = name
        self._endpoint_id = endpoint_id
        self._record = record
        self._rng = rng
        self.faulty = True

    async def __call__(self, request: RawRequest, connection: Connection) -> None:
        """Answer one request."""
        fault = self._rng.random() if self.faulty else 1.0
        if request.headers.get("expected-instance") != self._endpoint_id():
            await connection.send(answer(request.request_id, b"", 421, signature=""))
            return
        self._statements.on_arrival(self._name, request.request_id)
        if await self._crash(request, self._name):
            return
        rest_s = self._statements.rest_s(self._name, request.request_id)
        if rest_s is not None or fault < FAULT_SHARE / 6:
            refused = {"Not_Executed": "1"} | self._headers()
            if rest_s is not None:
                refused["Retry_After"] = f"{rest_s:g}"
            refusal = answer(request.request_id, b"", 503, signature="", **refused)
            await connection.send(refusal)
            return
        kind = self._odd.draw_endless() if self._odd else None
        if kind is not None:
            if kind != REFUSAL_KIND:
                self._record_start(request)
            await self._odd.send_endless(kind, request, connection)
            return
        self._record_start(request)
        kind = self._odd.draw_broken() if self._odd else None
        if kind is not None:
            await self._odd.send_broken(kind, request, connection)
            return
        if fault < 2 * FAULT_SHARE / 6:
            connection.reset()
        elif fault < 3 * FAULT_SHARE / 6:
            failure = answer(request.request_id, b"failed", 500, **self._headers())
            await connection.send(failure)
        elif request.target.startswith(("/stream/", "/single/")):
            await self._stream(request, connection, breaks=fault < 4 * FAULT_SHARE / 6)
        else:
            await self._plain(request, connection, surplus=fault < 5 * FAULT_SHARE / 6)

    def _headers(self) -> dict[str, str]:
        """Return the headers with the engine's statements."""
        return self._statements.headers(self._name)

    def _record_start(self, request: RawRequest) -> None:
        """Record that a request begins to run."""
        self._record.runs[request.request_id] += 1
        self._record.engines[request.request_id].add(self._name)
        self._record.bodies[request.request_id] = digest(request.body)
        self._record.customers[request.request_id] = request.headers.get("tenant", "")

    async def _plain(self, request: RawRequest, connection: Connection, surplus: bool) -> None:
        """Send an answer with Content-Length; surplus appends a second, unexpected answer."""
        await asyncio.sleep(self._rng.random() * MAX_PLAIN_S)
        body = plain_answer(request.request_id, request.body)
        ending = None if surplus else self._unframed.draw(is_stream=False)
        if ending is not None:
            headers = self._headers()
            await self._unframed.send(connection, request.request_id, [body], ending, headers)
            return
        data = answer(request.request_id, body, **self._headers())
        if surplus:
            data += answer("of-nobody", b"surplus")
        await connection.send(data)

    async def _stream(self, request: RawRequest, connection: Connection, breaks: bool) -> None:
        """Stream the events after Last-Event-Id; with breaks, reset midway in a random event."""
        request_id = request.request_id
        unfit = self._odd.draw_unfit(request) if self._odd else None
        if unfit is not None:
            await connection.send(unfit)
            connection.close()
            return
        first = int(request.headers.get("last-event-id", 0)) + 1
        last = event_count(request_id)
        stop = self._rng.randint(first, last) if breaks else None
        ending = None if breaks or first > last else self._unframed.draw(is_stream=True)
        if ending is not None:
            events = [stream_event(request_id, number) for number in range(first, last + 1)]
            await self._unframed.send(connection, request_id, events, ending, self._headers())
            return
        await connection.send(stream_head(request_id, **self._headers()))
        for number in range(first, last + 1):
            event = stream_event(request_id, number)
            if number == stop:
                await connection.send(chunk(event[:5]))
                connection.reset()
                return
            await connection.send(chunk(event))
            await asyncio.sleep(EVENT_PAUSE_S)
        await connection.send(chunk(b""))
