"""Writes the answer to one request to the caller, piece by piece.

Owns the caller's connection from the request to the end of its answer. Every answer ends in one of
three ways: finish(), refuse() or abort(). An answer without a length to a caller of HTTP/1.0 ends
with its connection, which is reset unless the answer is complete.
"""

import asyncio
import contextlib

import orjson
from springbridge.problems import Problem
from springbridge.routing.records import DEFAULT_IDLE_TIMEOUT_S
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from springbridge_node.gateway.http.answer_framing import BODILESS_STATUSES
from springbridge_node.gateway.http.closing import end_in_order, reset_on_close
from springbridge_node.gateway.http.http_connection import READ_BYTES
from springbridge_node.gateway.inbound.answer_writer import AnswerWriter
from springbridge_node.gateway.inbound.connection import InboundConnection
from springbridge_node.gateway.inbound.refusals import RefusalKind
from springbridge_node.gateway.inbound.request_head import RequestHead

# Bytes of an answer that wait at the endpoint's connection while its caller reads nothing: what was
# read and not passed on, and what the stream has read ahead.
BEHIND_BYTES = 2 * READ_BYTES


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
        self,
        connection: InboundConnection,
        asked: RequestHead | None,
        request_id: str = "",
        longest_s: float = DEFAULT_IDLE_TIMEOUT_S,
    ) -> None:
        """Start without an answer.

        Args:
          connection: The connection on which the request arrived.
          asked: Head of the request; None if it could not be read.
          request_id: Id of the request, "" if it has none. Refusals name it in their bodies, never
            in a header: an instance that takes another one for an endpoint knows it by that.
          longest_s: Seconds for which the caller may read nothing of it.
        """
        self._connection = connection
        self._writer = AnswerWriter(connection, asked)
        self._request_id = request_id
        self._longest_s = longest_s
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
            self._end_with_connection()
        sent = piece if self._writer.has_body else b""
        self.started = True
        self.body_bytes += len(sent)
        try:
            await self._sent(self._writer.start(status, reason, headers, sent), len(sent))
        except StreamClosedError as exc:
            raise CallerGoneError from exc

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body and wait until it is written to the socket.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        if not piece or not self._writer.has_body:
            return
        self.body_bytes += len(piece)
        try:
            await self._sent(self._writer.write(piece), len(piece))
        except StreamClosedError as exc:
            raise CallerGoneError from exc

    def finish(self) -> None:
        """End a complete answer."""
        self.ended = True
        if self._ends_with_connection and not self._connection.stream.closed():
            end_in_order(self._connection.stream.socket)
        self._writer.end()

    async def wait_sent(self) -> None:
        """Wait until the end of the answer is in the socket, or the connection is closed.

        finish() does not wait for the last bytes, and a process that ends would drop them.
        """
        # A connection that has ended has nobody to wait for.
        with contextlib.suppress(StreamClosedError):
            await self._sent(self._connection.stream.write(b""), 0)

    def abort(self) -> None:
        """Close the connection, so that the caller sees that the answer is incomplete."""
        self.ended = True
        self._connection.close()

    async def refuse(self, problem: Problem) -> None:
        """Send the error response for a problem, with Retry-After if the problem has one.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        content = {"error": problem.code.name, "code": int(problem.code)}
        if self._request_id:
            content["request_id"] = self._request_id
        body = orjson.dumps(content)
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        if problem.retry_after_s is not None:
            headers["Retry-After"] = f"{problem.retry_after_s:.2f}"
        await self.start(problem.info.http_status, "", headers, body)
        self.finish()

    async def _sent(self, written: asyncio.Future[None], size: int) -> None:
        """Wait for a write; what waits for the caller to read counts as held.

        Raises:
          StreamClosedError: The connection has ended, or the caller reads nothing for longer than
            a connection may be idle.
        """
        if written.done():
            await written
            return
        self._connection.add_unsent(size + BEHIND_BYTES)
        try:
            async with asyncio.timeout(self._longest_s):
                # Shielded: a write of the stream can't be cancelled, only waited for no longer.
                await asyncio.shield(written)
        except TimeoutError as exc:
            self._connection.give_up(RefusalKind.UNREAD_ANSWER)
            raise StreamClosedError from exc
        finally:
            self._connection.add_unsent(-size - BEHIND_BYTES)

    def _lacks_end(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether neither a length nor chunks will mark the end of the answer's body."""
        if self._writer.takes_chunks or "Content-Length" in headers:
            return False
        return status not in BODILESS_STATUSES and self._writer.has_body

    def _end_with_connection(self) -> None:
        """Let the connection end with the answer, in order only if the answer is complete."""
        self._ends_with_connection = True
        self._connection.must_close = True
        if not self._connection.stream.closed():
            reset_on_close(self._connection.stream.socket)
