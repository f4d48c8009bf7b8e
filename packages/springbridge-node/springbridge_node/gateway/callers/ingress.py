"""The listener for callers: reads requests whole, and gives each a task of its own.

The task ends early when the caller closes its connection, so that no endpoint works on for nobody.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from springbridge.routing.records import CallerLimits
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from springbridge_node import logs
from springbridge_node.gateway.callers.answer import CallerAnswer, CallerGoneError


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it came: start line, headers and whole body.

    Attributes:
      target: Path and query.
      arrived_s: When its head was read, on the monotonic clock.
    """

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    arrived_s: float


Serve = Callable[[IncomingRequest, CallerAnswer], Awaitable[None]]


class CallerListener(HTTPServerConnectionDelegate):
    """Accepts callers' connections.

    Attributes:
      in_progress: Tasks of requests that were read and are not answered yet.
    """

    def __init__(self, serve: Serve) -> None:
        """Keep the function that serves one request."""
        self._serve = serve
        self._server: HTTPServer | None = None
        self.in_progress: set[asyncio.Task] = set()

    def listen(self, address: str, limits: CallerLimits) -> None:
        """Begin to accept connections at an address."""
        host, _, port = address.rpartition(":")
        self._server = HTTPServer(
            self,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
            idle_connection_timeout=limits.idle_timeout_s,
        )
        self._server.listen(int(port), host, backlog=512)

    def apply(self, limits: CallerLimits) -> None:
        """Hold to new limits from the next request of each connection on."""
        if self._server is None:
            return
        params = self._server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes
        params.header_timeout = limits.idle_timeout_s

    def close_after_answers(self) -> None:
        """Let each connection end with its next answer."""
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Take no further connections."""
        if self._server is not None:
            self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request on a connection."""
        return _RequestReader(self, request_conn)

    def begin(self, request: IncomingRequest, connection: HTTP1Connection) -> None:
        """Serve a whole request in a task of its own."""
        answer = CallerAnswer(connection)
        task = asyncio.ensure_future(self._serve_guarded(request, answer))
        self.in_progress.add(task)
        task.add_done_callback(self.in_progress.discard)
        connection.set_close_callback(lambda: _caller_left(answer, task))

    async def _serve_guarded(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request; its answer always ends."""
        try:
            await self._serve(request, answer)
        except CallerGoneError:
            pass
        except Exception as exc:
            logs.fault(exc, "serve")
        finally:
            if not answer.ended:
                answer.break_off()


def _caller_left(answer: CallerAnswer, task: asyncio.Task) -> None:
    """Stop the work on a request whose caller has closed the connection."""
    if not answer.ended:
        task.cancel()


class _RequestReader(HTTPMessageDelegate):
    """Collects one request."""

    def __init__(self, listener: CallerListener, connection: HTTP1Connection) -> None:
        self._listener = listener
        self._connection = connection
        self._pieces: list[bytes] = []
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._arrived_s = 0.0

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Keep the head."""
        self._arrived_s = time.monotonic()
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._pieces.append(chunk)

    def finish(self) -> None:
        """Serve the request, which is whole now."""
        request = IncomingRequest(
            self._line.method,
            self._line.path,
            self._headers,
            b"".join(self._pieces),
            self._arrived_s,
        )
        self._listener.begin(request, self._connection)

    def on_connection_close(self) -> None:
        """Drop a request that did not come whole."""
        self._pieces.clear()
