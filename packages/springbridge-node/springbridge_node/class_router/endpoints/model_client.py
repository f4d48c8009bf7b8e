"""Adapters for model engines and plain services, over HTTP.

An endpoint streams server-sent events whose chunks carry the request id and the offset. It turns a
job away before it starts with status 429 or 503 and the header ``Engine-Admitted: no``; only that
answer, or a connection that was refused, proves that the job did not start.
"""

import asyncio
import socket
from collections.abc import AsyncIterator

import orjson
from springbridge.classes.entities import Endpoint
from springbridge.classes.ports import EndpointError, Job, NotAdmittedError, OrderKind, OrderLease
from springbridge.classes.stream import Chunk
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.netutil import Resolver
from tornado.simple_httpclient import HTTPTimeoutError

# Longest wait for a connection. Running out proves that the job did not start, so another endpoint
# may get it. Not measured.
CONNECT_TIMEOUT_S = 1.0
# Longest stream. The HTTP client needs some bound; the runner ends a silent stream far earlier.
LONGEST_ANSWER_S = 4 * 3600.0
# Longest wait for what an endpoint answers at once: cancellations, load reports, orders. Not
# measured.
SHORT_TIMEOUT_S = 2.0
# Longest wait for a plain service, which sends nothing before its whole answer. Not measured.
SERVICE_TIMEOUT_S = 60.0
# Requests that the HTTP client runs at a time. The schedulers limit what is sent to endpoints, so
# this stays above what a node is granted: 580 streams at the planned size (docs/CAPACITY.md).
MAX_CLIENTS = 5000
# Largest answer in bytes that the HTTP client takes. A stream is not kept by the client, so this
# must only lie above any answer. Not measured.
MAX_ANSWER_BYTES = 1 << 30
ADMITTED_HEADER = "Engine-Admitted"
ID_HEADER = "Request-Id"
DATA = b"data: "
DONE = b"[DONE]"


class NumericResolver(Resolver):
    """Resolves IP numbers only, without the thread that a look-up by name takes."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[str, int]]]:
        """Return the address as it is."""
        return [(socket.AF_INET, (host, port))]


def make_client() -> AsyncHTTPClient:
    """Return the HTTP client that all adapters of a node share."""
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CLIENTS,
        max_body_size=MAX_ANSWER_BYTES,
        resolver=NumericResolver(),
    )


class _Events:
    """Turns the pieces of an HTTP body into chunks and hands them to one reader."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[list[Chunk] | Exception | None] = asyncio.Queue()
        self.closed = False
        self._rest = b""

    def feed(self, data: bytes) -> None:
        """Take in a piece of the body; raising here makes the client close the connection."""
        if self.closed:
            raise ConnectionAbortedError("the reader went away")
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
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
        """Keep the HTTP client."""
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
        return self._stream(HTTPRequest(_url(endpoint, "/v1/generate"), method="POST", body=body))

    def resume(self, endpoint: Endpoint, request_id: str, offset: int) -> AsyncIterator[Chunk]:
        """Yield the chunks of a job that the endpoint already has."""
        path = f"/v1/streams/{request_id}?offset={offset}"
        return self._stream(HTTPRequest(_url(endpoint, path)))

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Stop a job; the endpoint's answer does not matter, since it may not know the job.

        Raises:
          HTTPClientError, OSError: The endpoint cannot be reached.
        """
        url = _url(endpoint, f"/v1/streams/{request_id}/cancel")
        request = HTTPRequest(url, method="POST", body=b"", request_timeout=SHORT_TIMEOUT_S)
        await self._client.fetch(request, raise_error=False)

    async def reported_load(self, endpoint: Endpoint) -> float:
        """Return the endpoint's load report, which lags."""
        request = HTTPRequest(_url(endpoint, "/v1/load"), request_timeout=SHORT_TIMEOUT_S)
        response = await self._client.fetch(request)
        return float(orjson.loads(response.body)["load"])

    async def order(
        self, endpoint: Endpoint, kind: OrderKind, argument: str, lease: OrderLease
    ) -> tuple[bool, str]:
        """Give an order under a lease and return whether it was taken, and the endpoint's word."""
        body = orjson.dumps({"order": kind.value, "argument": argument, "epoch": lease.epoch})
        request = HTTPRequest(
            _url(endpoint, "/v1/orders"), method="POST", body=body, request_timeout=SHORT_TIMEOUT_S
        )
        response = await self._client.fetch(request, raise_error=False)
        return response.code == 200, response.body.decode(errors="replace")

    async def _stream(self, request: HTTPRequest) -> AsyncIterator[Chunk]:
        """Send a request and yield the chunks of its answer."""
        events = _Events()
        request.streaming_callback = events.feed
        request.connect_timeout = CONNECT_TIMEOUT_S
        request.request_timeout = LONGEST_ANSWER_S
        fetch = asyncio.ensure_future(self._client.fetch(request))
        fetch.add_done_callback(lambda done: events.queue.put_nowait(_failure(done)))
        try:
            while True:
                found = await events.queue.get()
                if found is None:
                    return
                if isinstance(found, Exception):
                    raise found
                for chunk in found:
                    yield chunk
        finally:
            events.closed = True


class ServiceClient:
    """Client of a plain service; its whole answer is one chunk."""

    def __init__(self, client: AsyncHTTPClient):
        """Keep the HTTP client."""
        self._client = client

    async def run(self, endpoint: Endpoint, job: Job) -> AsyncIterator[Chunk]:
        """Call the service and yield its answer."""
        request = HTTPRequest(
            _url(endpoint, job.path),
            method="POST",
            body=job.body,
            headers={ID_HEADER: job.request_id},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=SERVICE_TIMEOUT_S,
        )
        fetch = asyncio.ensure_future(self._client.fetch(request))
        await asyncio.wait([fetch])
        failure = _failure(fetch)
        if failure is not None:
            raise failure
        response = fetch.result()
        answered = response.headers.get(ID_HEADER, "")
        yield Chunk(answered, 0, 1, response.body.decode(errors="surrogateescape"), True)

    async def resume(
        self, endpoint: Endpoint, request_id: str, offset: int
    ) -> AsyncIterator[Chunk]:
        """Fail: a plain service keeps no answers."""
        raise EndpointError("a plain service keeps no answers")
        yield  # Makes this an asynchronous generator.

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Do nothing: a plain service cannot be stopped."""


def _url(endpoint: Endpoint, path: str) -> str:
    return f"http://{endpoint.address}{path}"


def _failure(fetch: "asyncio.Future") -> Exception | None:
    """Return what a finished fetch means for the job, None for success."""
    if fetch.cancelled():
        return EndpointError("cancelled")
    exc = fetch.exception()
    if exc is None:
        return None
    if _proves_not_started(exc):
        return NotAdmittedError(str(exc))
    return EndpointError(f"{type(exc).__name__}: {exc}")


def _proves_not_started(exc: BaseException) -> bool:
    """Return whether a failure proves that the job did not start."""
    if isinstance(exc, ConnectionRefusedError):
        return True
    if isinstance(exc, HTTPTimeoutError):
        return "connecting" in str(exc) or "queue" in str(exc)
    if isinstance(exc, HTTPClientError) and exc.response is not None:
        return exc.response.headers.get(ADMITTED_HEADER) == "no"
    return False
