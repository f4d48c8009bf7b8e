"""Adapter for model engines, over HTTP.

An engine streams server-sent events; each chunk has the request id and its offset in tokens. A
stream can be resumed by id, and an engine accepts cancellations and orders.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import orjson
from springbridge.classes.entities import Endpoint
from springbridge.classes.ports import EndpointError, Job, OrderKind, OrderLease
from springbridge.classes.stream import Chunk
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from springbridge_node.class_router.endpoints.endpoint_http import (
    CONNECT_TIMEOUT_S,
    fetch_error,
    url_of,
)

# Longest stream, since the HTTP client needs some bound. The runner abandons a stalled stream far
# earlier, but its connection stays open until the engine sends something or this time is over.
MAX_STREAM_S = 4 * 3600.0
# Timeout for calls that an endpoint answers at once: cancellations, load reports, orders.
SHORT_TIMEOUT_S = 2.0
DATA = b"data: "
DONE = b"[DONE]"


@dataclass(frozen=True)
class OrderReply:
    """An engine's answer to an order: whether it accepted the order, and the text of the answer."""

    accepted: bool
    text: str


class _ChunkQueue:
    """Parses an HTTP body as it arrives into chunks and queues them for one reader."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[list[Chunk] | Exception | None] = asyncio.Queue()
        self.closed = False
        self._partial_line = b""

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the body; raising here makes the client close the connection."""
        if self.closed:
            raise ConnectionAbortedError("the reader went away")
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        try:
            chunks = [_read_event(line) for line in lines if _is_chunk(line)]
        except (ValueError, KeyError, TypeError) as exc:
            self.queue.put_nowait(EndpointError(f"unreadable event: {type(exc).__name__}"))
            return
        if chunks:
            self.queue.put_nowait(chunks)


def _is_chunk(line: bytes) -> bool:
    return line.startswith(DATA) and line[len(DATA) :] != DONE


def _read_event(line: bytes) -> Chunk:
    raw = orjson.loads(line[len(DATA) :])
    return Chunk(raw["id"], raw["offset"], raw["tokens"], raw["text"], raw["last"])


class ModelClient:
    """Client of a model engine."""

    def __init__(self, client: AsyncHTTPClient):
        """Store the HTTP client that all adapters share."""
        self._client = client

    def run(self, endpoint: Endpoint, job: Job) -> AsyncIterator[Chunk]:
        """Start a job and yield its chunks."""
        body = orjson.dumps(
            {
                "id": job.request_id,
                "priority": job.priority,
                "offset": job.offset,
                "prefix": job.prefix,
                "request": orjson.loads(job.body),
            }
        )
        return self._stream(HTTPRequest(url_of(endpoint, "/v1/generate"), method="POST", body=body))

    def resume(self, endpoint: Endpoint, request_id: str, offset: int) -> AsyncIterator[Chunk]:
        """Yield the chunks of a job that the endpoint already has, from an offset in tokens on."""
        path = f"/v1/streams/{request_id}?offset={offset}"
        return self._stream(HTTPRequest(url_of(endpoint, path)))

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Stop a job; the endpoint's answer does not matter, since it may not know the job.

        Raises:
          HTTPClientError, OSError: The endpoint cannot be reached.
        """
        url = url_of(endpoint, f"/v1/streams/{request_id}/cancel")
        request = HTTPRequest(url, method="POST", body=b"", request_timeout=SHORT_TIMEOUT_S)
        await self._client.fetch(request, raise_error=False)

    async def reported_load(self, endpoint: Endpoint) -> float:
        """Return the load that the endpoint reports, which lags."""
        request = HTTPRequest(url_of(endpoint, "/v1/load"), request_timeout=SHORT_TIMEOUT_S)
        response = await self._client.fetch(request)
        return float(orjson.loads(response.body)["load"])

    async def order(
        self, endpoint: Endpoint, kind: OrderKind, argument: str, lease: OrderLease
    ) -> OrderReply:
        """Send an order with the epoch of its lease.

        Raises:
          HTTPClientError, OSError: The engine did not answer; it may have accepted the order.
        """
        body = orjson.dumps({"order": kind.value, "argument": argument, "epoch": lease.epoch})
        request = HTTPRequest(
            url_of(endpoint, "/v1/orders"),
            method="POST",
            body=body,
            request_timeout=SHORT_TIMEOUT_S,
        )
        response = await self._client.fetch(request, raise_error=False)
        return OrderReply(response.code == 200, response.body.decode(errors="replace"))

    async def _stream(self, request: HTTPRequest) -> AsyncIterator[Chunk]:
        """Send a request and yield the chunks of its answer.

        When the reader has stopped, the next bytes that arrive close the connection
        (_ChunkQueue.feed).
        """
        events = _ChunkQueue()
        request.streaming_callback = events.feed
        request.connect_timeout = CONNECT_TIMEOUT_S
        request.request_timeout = MAX_STREAM_S
        fetch = asyncio.ensure_future(self._client.fetch(request))
        fetch.add_done_callback(lambda done: events.queue.put_nowait(fetch_error(done)))
        try:
            while True:
                queued = await events.queue.get()
                if queued is None:
                    return
                if isinstance(queued, Exception):
                    raise queued
                for chunk in queued:
                    yield chunk
        finally:
            events.closed = True
