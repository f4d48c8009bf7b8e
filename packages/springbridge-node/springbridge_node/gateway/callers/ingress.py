"""The listener for callers: reads each request completely and serves it in its own task.

Owns the callers' connections and the tasks. A task is cancelled when its caller closes the
connection, so that no endpoint goes on working for a caller that has disconnected.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.records import CallerLimits
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from springbridge_node import clock, logs
from springbridge_node.gateway.callers.answer import CallerAnswer, CallerGoneError

# Connections that may wait to be accepted. Above tornado's 128, so that callers that all connect at
# once, as after the loss of an instance, are not refused by the kernel.
LISTEN_BACKLOG = 512
# For a request of which nobody knows how far it got.
FAULT_MET = Problem(Code.OUTCOME_UNKNOWN, "fault")


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it arrived: start line, headers and whole body.

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
    """Accepts callers' connections and starts a task for each request.

    Attributes:
      in_progress: Tasks of the requests that are not answered yet.
    """

    def __init__(self, serve: Serve) -> None:
        """Start without a socket.

        Args:
          serve: Serves one request and ends its answer.
        """
        self._serve = serve
        self._server: HTTPServer | None = None
        self.in_progress: set[asyncio.Task] = set()

    def listen(self, address: str, limits: CallerLimits) -> None:
        """Accept connections at an address, an IP number and port."""
        host, _, port = address.rpartition(":")
        self._server = HTTPServer(
            self,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
            idle_connection_timeout=limits.idle_timeout_s,
        )
        self._server.listen(int(port), host, backlog=LISTEN_BACKLOG)

    def apply(self, limits: CallerLimits) -> None:
        """Apply new limits from the next request of each connection on."""
        if self._server is None:
            return
        params = self._server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes
        params.header_timeout = limits.idle_timeout_s

    def close_after_answers(self) -> None:
        """Close each connection with its next answer."""
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Accept no further connections; open ones stay open."""
        if self._server is not None:
            self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request on a connection; called by tornado."""
        return _RequestReader(self, request_conn)

    def start_task(
        self, request: IncomingRequest, line: RequestStartLine, connection: HTTP1Connection
    ) -> None:
        """Serve a request that was read completely, in its own task.

        Args:
          line: Its start line.
        """
        answer = CallerAnswer(connection, line, request.headers)
        task = asyncio.ensure_future(self._serve_guarded(request, answer))
        self.in_progress.add(task)
        task.add_done_callback(self.in_progress.discard)
        connection.set_close_callback(lambda: _cancel_unanswered(answer, task))

    async def _serve_guarded(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request; close its connection if its answer cannot be ended otherwise."""
        try:
            await self._serve_to_end(request, answer)
            await answer.wait_sent()
        except CallerGoneError:
            # The router has logged the end of the request; there is no caller left to answer.
            pass
        except Exception as exc:
            logs.fault(exc, "answer")
        finally:
            if not answer.ended:
                answer.abort()

    async def _serve_to_end(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request; where that meets an unforeseen exception, promise nothing of its run.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        try:
            await self._serve(request, answer)
        except CallerGoneError:
            raise
        except Exception as exc:
            logs.fault(exc, "serve")
            if not answer.started:
                await answer.refuse(FAULT_MET)


def _cancel_unanswered(answer: CallerAnswer, task: asyncio.Task) -> None:
    """Cancel the task of a request whose caller closed the connection before its answer ended."""
    if not answer.ended:
        task.cancel()


class _RequestReader(HTTPMessageDelegate):
    """Collects the parts of one request until it is complete."""

    def __init__(self, listener: CallerListener, connection: HTTP1Connection) -> None:
        self._listener = listener
        self._connection = connection
        self._pieces: list[bytes] = []
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._arrived_s = 0.0

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Keep the head and the time of its arrival."""
        self._arrived_s = clock.now_s()
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._pieces.append(chunk)

    def finish(self) -> None:
        """Start to serve the request, which is complete."""
        request = IncomingRequest(
            self._line.method,
            self._line.path,
            self._headers,
            b"".join(self._pieces),
            self._arrived_s,
        )
        self._listener.start_task(request, self._line, self._connection)

    def on_connection_close(self) -> None:
        """Drop a request whose caller closed the connection before it was complete."""
        self._pieces.clear()
