"""Writes the answer to one request to the caller, piece by piece.

Owns the caller's connection from the request to the end of its answer. Every answer ends in one of
three ways: finish(), refuse() or abort(). An answer without a length to a caller of HTTP/1.0 ends
with its connection, which is reset unless the answer is complete.
"""

import contextlib
from http import HTTPMethod

import orjson
from springbridge.problems import Problem
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from springbridge_node.gateway.http.closing import end_in_order, reset_on_close
from springbridge_node.gateway.http.http_head import BODILESS_STATUSES

# The version whose callers take chunks.
CHUNKING_VERSION = "HTTP/1.1"


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class CallerAnswer:
    """An answer that is being written.

    Attributes:
      started: Whether its head was sent, after which its status can't change.
      ended: Whether it was finished or aborted.
      body_bytes: Bytes of its body that were written.
    """

    def __init__(
        self, connection: HTTP1Connection, asked: RequestStartLine, asked_headers: HTTPHeaders
    ) -> None:
        """Start without an answer.

        Args:
          connection: The connection on which the request arrived.
          asked: Start line of the request.
          asked_headers: Headers of the request, as the connection has them.
        """
        self._connection = connection
        self._asked = asked
        self._asked_headers = asked_headers
        self._answers_head = asked.method == HTTPMethod.HEAD
        self._ends_with_connection = False
        self.started = False
        self.ended = False
        self.body_bytes = 0

    async def start(self, status: int, reason: str, headers: HTTPHeaders, piece: bytes) -> None:
        """Send the head and the first piece of the body.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        if self._lacks_end(status, headers):
            self._end_with_connection(headers)
        line = ResponseStartLine("HTTP/1.1", status, reason or responses.get(status, "Unknown"))
        sent = None if self._answers_head else piece or None
        written = self._connection.write_headers(line, headers, sent)
        self.started = True
        self.body_bytes += len(sent or b"")
        await _await_write(written)

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body and wait until it is written to the socket.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        if piece and not self._answers_head:
            self.body_bytes += len(piece)
            await _await_write(self._connection.write(piece))

    def finish(self) -> None:
        """End a complete answer."""
        self.ended = True
        if self._ends_with_connection and not self._connection.stream.closed():
            end_in_order(self._connection.stream.socket)
        self._connection.finish()
        if self._ends_with_connection:
            self._connection.close()

    async def wait_sent(self) -> None:
        """Wait until the end of the answer is in the socket, or the connection is closed.

        finish() does not wait for the last bytes, and a process that ends would drop them.
        """
        with contextlib.suppress(StreamClosedError):
            await self._connection.stream.write(b"")

    def abort(self) -> None:
        """Close the connection, so that the caller sees that the answer is incomplete."""
        self.ended = True
        self._connection.close()

    async def refuse(self, problem: Problem) -> None:
        """Send the error response for a problem, with Retry-After if the problem has one.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        body = orjson.dumps({"error": problem.code.name, "code": int(problem.code)})
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        if problem.retry_after_s is not None:
            headers["Retry-After"] = f"{problem.retry_after_s:.2f}"
        await self.start(problem.info.http_status, "", headers, body)
        self.finish()

    def _lacks_end(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether neither a length nor chunks will mark the end of the answer's body."""
        if self._asked.version == CHUNKING_VERSION or "Content-Length" in headers:
            return False
        return status not in BODILESS_STATUSES and not self._answers_head

    def _end_with_connection(self, headers: HTTPHeaders) -> None:
        """Let the connection end with the answer, in order only if the answer is complete."""
        self._ends_with_connection = True
        headers["Connection"] = "close"
        # tornado would promise a caller who asked for it that the connection is kept.
        self._asked_headers["Connection"] = "close"
        if not self._connection.stream.closed():
            reset_on_close(self._connection.stream.socket)


async def _await_write(write) -> None:
    """Wait for a write; raise CallerGoneError if the connection is closed."""
    try:
        await write
    except StreamClosedError as exc:
        raise CallerGoneError from exc
