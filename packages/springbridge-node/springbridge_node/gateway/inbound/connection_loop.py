"""Serves the requests of one connection, one after another, until either side ends it."""

from typing import Protocol

from springbridge.problems import Problem
from springbridge.routing.records import CallerLimits

from springbridge_node import clock, logs
from springbridge_node.gateway.inbound.body_reader import BodyReader
from springbridge_node.gateway.inbound.connection import InboundConnection, Phase
from springbridge_node.gateway.inbound.refusals import (
    ConnectionGoneError,
    RefusalKind,
    RefusedError,
    problem_of,
)
from springbridge_node.gateway.inbound.request_head import (
    LINE_ENDS,
    RequestHead,
    find_head_end,
    parse_request_head,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bytes of a body that are read and discarded behind a refusal, so that the connection can be kept.
MAX_DRAINED_BYTES = 64 << 10


class RequestService(Protocol):
    """What a listener does with requests.

    Attributes:
      limits: What a client may send, and how long it may take.
    """

    limits: CallerLimits

    def decide(self, head: RequestHead) -> Problem | float:
        """Return why a request is refused by its head, or until when its body may arrive.

        That is on the monotonic clock. It is asked for bodies that did not come with their heads.
        """

    async def serve(
        self, conn: InboundConnection, head: RequestHead, body: bytes | memoryview
    ) -> None:
        """Serve a whole request; on return its answer is in the socket, or was given up."""

    async def refuse(
        self, conn: InboundConnection, head: RequestHead | None, problem: Problem
    ) -> None:
        """Answer a request that is not served; the head is None if it could not be read."""

    def report(self, conn: InboundConnection, head: RequestHead | None, kind: RefusalKind) -> None:
        """Count and log that a request was not read to its end."""


class ConnectionLoop:
    """Serves one connection."""

    def __init__(self, conn: InboundConnection, service: RequestService) -> None:
        """Start before the first request."""
        self._conn = conn
        self._service = service
        self._head: RequestHead | None = None
        self._reader: BodyReader | None = None

    async def run(self) -> None:
        """Serve until either side ends the connection, which is closed on return."""
        try:
            while not self._conn.must_close:
                await self._serve_next()
            if self._conn.discarded or not self._is_read():
                await self._linger()
        except ConnectionGoneError:
            # There is nobody to answer; what a request met is logged where it is served.
            pass
        except Exception as exc:
            logs.fault(exc, "connection")
        finally:
            self._conn.close()

    async def _serve_next(self) -> None:
        """Read the next request, and serve or refuse it.

        Raises:
          ConnectionGoneError: The connection has ended.
        """
        self._head = self._reader = None
        self._conn.enter(Phase.IDLE)
        self._conn.deadline_s = None
        try:
            self._head = await self._read_head()
            problem = await self._read_body(self._head)
        except RefusedError as exc:
            self._service.report(self._conn, self._head, exc.kind)
            problem = problem_of(exc.kind)
            self._conn.must_close = True
        if problem is None:
            await self._serve(self._head)
        else:
            await self._refuse(problem)
        self._conn.answered += 1
        self._conn.body = None
        self._conn.update_held()

    async def _read_head(self) -> RequestHead:
        """Read the head of the next request.

        Raises:
          ConnectionGoneError: The connection has ended.
          RefusedError: It is too large, malformed or too slow, or there is no room for it.
        """
        conn, searched = self._conn, 0
        while True:
            _drop_empty_lines(conn.unread)
            if conn.unread and conn.phase is Phase.IDLE:
                conn.enter(Phase.HEAD)
            end = find_head_end(conn.unread, searched)
            if (end or len(conn.unread)) > self._service.limits.header_bytes:
                raise RefusedError(RefusalKind.HEAD_TOO_LARGE)
            if end:
                raw = bytes(conn.unread[:end])
                del conn.unread[:end]
                return parse_request_head(raw.rstrip(LINE_ENDS), clock.now_s())
            searched = len(conn.unread)
            await conn.receive()

    async def _read_body(self, head: RequestHead) -> Problem | None:
        """Read the body of a request; return why it is refused, None if it is served.

        Raises:
          ConnectionGoneError: The connection has ended.
          RefusedError: The body is too large, malformed or too slow, or there is no room for it.
        """
        conn = self._conn
        self._reader = BodyReader(conn, head, self._service.limits.body_bytes)
        self._reader.take()
        if self._reader.is_whole:
            return None
        decision = self._service.decide(head)
        if isinstance(decision, Problem):
            return decision
        conn.enter(Phase.BODY)
        conn.deadline_s = decision
        if head.awaits_continue:
            # Its end is noticed by the read that follows.
            _ = conn.stream.closed() or conn.stream.write(CONTINUE)
        await self._reader.read()
        return None

    async def _serve(self, head: RequestHead) -> None:
        """Serve a whole request."""
        body = self._reader.content()
        self._conn.enter(Phase.SERVING)
        await self._service.serve(self._conn, head, body)

    async def _refuse(self, problem: Problem) -> None:
        """Answer a request that is not served; its connection is kept if little is left of it.

        Raises:
          ConnectionGoneError: The connection has ended.
        """
        conn = self._conn
        left = self._reader.left_bytes if self._reader is not None else None
        if left is None or left > MAX_DRAINED_BYTES:
            conn.must_close = True
        if conn.body is not None:
            conn.body.clear()
        conn.enter(Phase.CLOSING if conn.must_close else Phase.BODY)
        await self._service.refuse(conn, self._head, problem)
        if not conn.must_close:
            await self._drain(left)

    async def _drain(self, left: int) -> None:
        """Read and discard the rest of a body.

        Raises:
          ConnectionGoneError: The connection has ended, or the rest took too long.
        """
        conn = self._conn
        while True:
            dropped = min(left, len(conn.unread))
            del conn.unread[:dropped]
            left -= dropped
            if not left:
                return
            try:
                await conn.receive()
            except RefusedError as exc:
                raise ConnectionGoneError from exc

    def _is_read(self) -> bool:
        """Return whether the last request was read to its end, so that nothing is on its way."""
        return self._reader is not None and self._reader.is_whole

    async def _linger(self) -> None:
        """Discard what a client still sends, so that it reads its answer before a reset.

        Raises:
          ConnectionGoneError: The connection has ended.
        """
        conn = self._conn
        conn.unread.clear()
        conn.enter(Phase.CLOSING)
        conn.end_sending()
        while True:
            await conn.receive()


def _drop_empty_lines(received: bytearray) -> None:
    """Drop line ends before a start line, which some clients send behind a body."""
    start = len(received) - len(received.lstrip(LINE_ENDS))
    if start:
        del received[:start]
