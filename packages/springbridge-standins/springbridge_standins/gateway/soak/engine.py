"""Engines of the soak: answers that can be checked byte by byte, and faults by chance."""

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from springbridge_standins.gateway.crashing import POISON_MARK
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    stream_head,
)

# Share of requests that meet a fault, a sixth of it for each kind. Not measured; chosen so that
# most requests succeed and each kind still comes often.
FAULT_SHARE = 0.12
# Longest stream; with EVENT_PAUSE_S up to a quarter of a second, so that harms meet it midway.
MOST_EVENTS = 12
# Pause after each event of a stream.
EVENT_PAUSE_S = 0.02
# Longest time that a plain answer takes.
LONGEST_PLAIN_S = 0.03


@dataclass
class Record:
    """What all engines saw.

    Attributes:
      runs: How often each request was begun.
      bodies: Digest of the body of each request that was begun.
      customers: The customer that each request was run for.
    """

    runs: Counter = field(default_factory=Counter)
    bodies: dict[str, str] = field(default_factory=dict)
    customers: dict[str, str] = field(default_factory=dict)


def digest(data: bytes) -> str:
    """Return a short digest of bytes."""
    return hashlib.sha256(data).hexdigest()[:12]


def events_of(request_id: str) -> int:
    """Return how many events the stream of a request has, the same at every engine."""
    return 1 + int(digest(request_id.encode()), 16) % MOST_EVENTS


def event_of(request_id: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def stream_of(request_id: str) -> bytes:
    """Return the whole stream of a request."""
    last = events_of(request_id)
    return b"".join(event_of(request_id, number) for number in range(1, last + 1))


def plain_of(request_id: str, body: bytes) -> bytes:
    """Return the whole plain answer to a request."""
    return f"{request_id}:{digest(body)}".encode()


class Says(Protocol):
    """What an engine says of itself, and who is told what arrives."""

    def arrived(self, name: str, request_id: str) -> None:
        """Note that a request arrives at an engine."""

    def headers(self, name: str) -> dict[str, str]:
        """Return the headers for an answer of an engine."""

    def rest_s(self, name: str, request_id: str) -> float | None:
        """Return the rest that an engine asks for as it turns a request away, None if it serves."""


class SoakScript:
    """Answers requests; by chance it fails as real engines do.

    Attributes:
      faulty: Whether faults happen.
    """

    def __init__(
        self,
        endpoint_id: str,
        record: Record,
        rng: random.Random,
        end: Callable[[str], Awaitable[None]],
        says: Says,
    ) -> None:
        """Keep the name, the common record and the source of chance.

        Args:
          end: Ends the engine of a name, as under a request that does so.
          says: What engines say of themselves.
        """
        self._end = end
        self._says = says
        self._endpoint_id = endpoint_id
        self._record = record
        self._rng = rng
        self.faulty = True

    async def __call__(self, request: RawRequest, connection: Connection) -> None:
        """Answer one request."""
        fault = self._rng.random() if self.faulty else 1.0
        if request.headers.get("expected-instance") != self._endpoint_id:
            await connection.send(answer(request.request_id, b"", 421, signature=""))
            return
        self._says.arrived(self._endpoint_id, request.request_id)
        if request.body.startswith(POISON_MARK):
            await self._end(self._endpoint_id)
            return
        rest_s = self._says.rest_s(self._endpoint_id, request.request_id)
        if rest_s is not None or fault < FAULT_SHARE / 6:
            refused = {"Not_Executed": "1"} | self._headers()
            if rest_s is not None:
                refused["Retry_After"] = f"{rest_s:g}"
            refusal = answer(request.request_id, b"", 503, signature="", **refused)
            await connection.send(refusal)
            return
        self._note(request)
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
        """Return the headers about the engine."""
        return self._says.headers(self._endpoint_id)

    def _note(self, request: RawRequest) -> None:
        """Record that a request is begun."""
        self._record.runs[request.request_id] += 1
        self._record.bodies[request.request_id] = digest(request.body)
        self._record.customers[request.request_id] = request.headers.get("tenant", "")

    async def _plain(self, request: RawRequest, connection: Connection, surplus: bool) -> None:
        """Answer with a length, sometimes with a second answer behind."""
        await asyncio.sleep(self._rng.random() * LONGEST_PLAIN_S)
        body = plain_of(request.request_id, request.body)
        data = answer(request.request_id, body, **self._headers())
        if surplus:
            data += answer("of-nobody", b"surplus")
        await connection.send(data)

    async def _stream(self, request: RawRequest, connection: Connection, breaks: bool) -> None:
        """Stream what the caller lacks, sometimes only a part of it."""
        request_id = request.request_id
        first = int(request.headers.get("last-event-id", 0)) + 1
        last = events_of(request_id)
        stop = self._rng.randint(first, last) if breaks else None
        await connection.send(stream_head(request_id, **self._headers()))
        for number in range(first, last + 1):
            event = event_of(request_id, number)
            if number == stop:
                await connection.send(chunk(event[:5]))
                connection.reset()
                return
            await connection.send(chunk(event))
            await asyncio.sleep(EVENT_PAUSE_S)
        await connection.send(chunk(b""))
