"""An outgoing HTTP/1.1 connection that is reusable, checked while idle, and can be aborted.

tornado's own HTTP client opens a connection for each request and cannot abort one in flight, so
this is built on its IOStream. It adds three things: the head is returned first, so that the answer
can be matched to its request before the body is read; unexpected bytes after an answer are
detected; and an answer without a length is complete only if the connection ended without a reset.
A sender that never stops takes neither the memory nor the event loop of an instance: all that is
kept is bounded, and other tasks run between two reads whose bytes are there at once.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import AsyncIterator

from tornado.iostream import IOStream, StreamClosedError

from springbridge_node import clock
from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.http.answer_framing import BodyEnd, Framing
from springbridge_node.gateway.http.chunks import ChunkDecoder
from springbridge_node.gateway.http.http_head import (
    Head,
    keep_alive_s,
    parse_head,
)

# Maximum bytes taken from the socket in one read, after which other tasks have a turn.
READ_BYTES = 1 << 16
# Maximum size of a body that is copied behind its head, to be sent at once with it.
JOINED_BYTES = 16 << 10
# Maximum size of the head of an answer. Bounds the memory that a faulty endpoint can take. Four
# times the default limit for callers' headers.
MAX_HEAD_BYTES = 64 << 10
# Interim answers that are skipped before an answer. Endpoints send a few, or one now and then while
# they work.
MAX_INTERIM_ANSWERS = 64
# Idle seconds before the kernel sends TCP keep-alive probes. They detect a host that lost power,
# which sends no reset, while a request waits for its answer.
KEEPALIVE_IDLE_S = 1
# Seconds between two probes.
KEEPALIVE_INTERVAL_S = 1
# Unanswered probes after which the connection is broken. Derived: a dead host is detected after
# about 3 s, while the kernel's default takes two hours.
KEEPALIVE_PROBES = 2
# Milliseconds after which sent but unacknowledged bytes break the connection. A little below the 3
# s of the probes, which the kernel does not send while bytes are unacknowledged.
UNACKNOWLEDGED_MS = 2500

# How an answer ended that was read to the end of its body.
COMPLETE_ENDS = {
    BodyEnd.NO_BODY: AnswerEnd.LENGTH,
    BodyEnd.LENGTH: AnswerEnd.LENGTH,
    BodyEnd.LAST_CHUNK: AnswerEnd.LAST_CHUNK,
    BodyEnd.CONNECTION: AnswerEnd.CLOSED,
}
# Beginning of a HEAD request, whose answer has no body.
HEAD_REQUEST = b"HEAD "
# The C int that an ioctl fills.
INT = struct.Struct("i")


class ConnectFailedError(Exception):
    """The connection was not established, so nothing was sent.

    Attributes:
      refused: Whether the host refused it because no process listens there: the process has ended.
      agreed: Whether a peer could not connect either.
    """

    def __init__(self, detail: str, refused: bool = False, agreed: bool = False):
        super().__init__(detail)
        self.refused = refused
        self.agreed = agreed


class NoDescriptorError(ConnectFailedError):
    """This instance has no descriptor left for a connection: nothing is known of the other side."""


async def connect(address: str, timeout_s: float, source_ip: str = "") -> "HttpConnection":
    """Open a connection; see open_stream."""
    return HttpConnection(await open_stream(address, timeout_s, source_ip))


async def open_stream(address: str, timeout_s: float, source_ip: str = "") -> IOStream:
    """Open a TCP connection.

    Args:
      address: IP number and port.
      source_ip: Local IP number of the connection; "" leaves the choice to the kernel.

    Raises:
      ConnectFailedError: It was refused, or not established in time.
      NoDescriptorError: It was not attempted.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as exc:
        raise NoDescriptorError(type(exc).__name__) from exc
    sock.setblocking(False)
    enable_dead_host_detection(sock)
    stream = IOStream(sock)
    try:
        if source_ip:
            sock.bind((source_ip, 0))
        async with asyncio.timeout(timeout_s):
            await stream.connect((host, int(port)))
    except (OSError, StreamClosedError, TimeoutError) as exc:
        stream.close()
        cause = getattr(exc, "real_error", None) or exc
        refused = isinstance(cause, ConnectionRefusedError)
        raise ConnectFailedError(type(cause).__name__, refused) from exc
    except asyncio.CancelledError:
        stream.close()
        raise
    return stream


def enable_dead_host_detection(sock: socket.socket) -> None:
    """Set the socket options that break the connection if the other host stops responding."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class HttpConnection:
    """A connection that carries one request at a time.

    Attributes:
      opened_s: When it was opened, on the monotonic clock.
      idle_since_s: When it was opened or its last answer ended, on the monotonic clock.
      keep_alive_s: Keep-alive time that the other side sent, in seconds, or None if it sent none.
      through: Incarnation of the peer through which it leads, "" if it is direct.
      end_is_marked: Whether an orderly end of it is the endpoint's own, as on a direct connection.
      received_s: When bytes arrived last, on the monotonic clock.
      answer_end: How the last answer ended; None while one is read.
      may_be_given_up: Whether the request on it may be sent again, so that the connection may be
        closed if its path hangs.
    """

    def __init__(self, stream: IOStream) -> None:
        """Take over a connected stream."""
        self._stream = stream
        self._unread = bytearray()
        self._sent: asyncio.Future | None = None
        self._may_be_kept = True
        self._aborted = False
        self._asked_head = False
        self._came_at_once = False
        self.answer_end: AnswerEnd | None = None
        self.opened_s = clock.now_s()
        self.idle_since_s = self.opened_s
        self.keep_alive_s: float | None = None
        self.through = ""
        self.end_is_marked = True
        self.received_s = self.opened_s
        self.may_be_given_up = False

    def abort(self) -> None:
        """Close at once, which makes the other side stop work on the request."""
        self._may_be_kept = False
        self._aborted = True
        self._stream.close()

    def lead_through(self, incarnation: str, end_is_marked: bool) -> None:
        """Record that what follows goes through a peer to an endpoint, as on a new connection."""
        self.through = incarnation
        self.end_is_marked = end_is_marked
        self.idle_since_s = clock.now_s()
        self._may_be_kept = True

    def send(self, head: bytes, body: bytes | memoryview) -> None:
        """Send a request without waiting; read_head() reports a failure."""
        self._asked_head = head.startswith(HEAD_REQUEST)
        self._may_be_kept = False
        if self._stream.closed():
            return
        if len(body) > JOINED_BYTES:
            # No copy of a large body is made.
            self._stream.write(head)
            sent = self._stream.write(body)
        else:
            sent = self._stream.write(head + body)
        self._sent = asyncio.ensure_future(sent)
        self._sent.add_done_callback(_retrieve_exception)

    async def read_head(self) -> Head:
        """Read the head of the next final answer; interim (1xx) answers are skipped.

        Raises:
          AnswerBrokenError: The connection ended, or what arrived is not an HTTP answer.
        """
        self.answer_end = None
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            raw = await self._read_until(b"\r\n\r\n", MAX_HEAD_BYTES)
            head = parse_head(raw, self._asked_head)
            if not head.is_interim:
                return head
        raise AnswerBrokenError(AnswerEnd.OVERSIZED, "interim answers")

    async def read_body(self, head: Head) -> AsyncIterator[bytes]:
        """Yield the body in pieces as they arrive, without its framing.

        Raises:
          AnswerBrokenError: The body ended early or its framing is wrong.
        """
        async for piece in self._pieces(head.framing):
            yield piece
        self.answer_end = COMPLETE_ENDS[head.framing.end]
        self._end_answer(head)

    async def read_whole_body(self, head: Head, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises:
          AnswerBrokenError: It ended early, its framing is wrong, or it is larger than max_bytes.
        """
        body = bytearray()
        async for piece in self.read_body(head):
            body += piece
            if len(body) > max_bytes:
                raise AnswerBrokenError(AnswerEnd.OVERSIZED, f"more than {max_bytes} bytes")
        return bytes(body)

    def can_reuse(self, max_idle_s: float, keep_alive_share: float) -> bool:
        """Return whether an idle connection may carry another request.

        Args:
          max_idle_s: Maximum idle time in seconds if the other side sent no keep-alive time.
          keep_alive_share: Maximum idle time as a share of the keep-alive time that it sent.
        """
        if not self._may_be_kept or self._unread or self._stream.closed():
            return False
        limit_s = max_idle_s if self.keep_alive_s is None else self.keep_alive_s * keep_alive_share
        if clock.now_s() - self.idle_since_s > limit_s:
            return False
        return self._received_nothing()

    @property
    def may_be_kept(self) -> bool:
        """Return whether the last answer left the connection fit for another request."""
        return self._may_be_kept and not self._unread and not self._stream.closed()

    def has_unacknowledged(self) -> bool:
        """Return whether sent bytes have not reached the host at the other end, as far as known."""
        if self._stream.closed():
            return False
        if self._stream.writing():
            return True
        return _queued_bytes(self._stream.socket, termios.TIOCOUTQ) > 0

    def _pieces(self, framing: Framing) -> AsyncIterator[bytes]:
        """Return the pieces of a body; see read_body()."""
        match framing.end:
            case BodyEnd.LAST_CHUNK:
                return self._read_chunks()
            case BodyEnd.CONNECTION:
                return self._read_to_end()
            case _:
                return self._read_length(framing.length)

    def _received_nothing(self) -> bool:
        """Return whether nothing arrived while the connection was idle: no byte, end or reset."""
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            # There is nothing to read, as expected of an idle connection.
            return True
        except OSError:
            # The connection is broken; the caller closes it and opens another.
            return False
        return False

    def _end_answer(self, head: Head) -> None:
        """Record the end of a complete answer and whether the connection may be reused."""
        self.idle_since_s = clock.now_s()
        self.keep_alive_s = keep_alive_s(head.headers)
        whole_request_sent = self._sent is None or self._sent.done()
        self._may_be_kept = whole_request_sent and head.keeps_connection and not head.unframed

    async def _receive(self) -> None:
        """Wait for more bytes and append them to the unread ones.

        Raises:
          AnswerBrokenError: The connection ended.
        """
        if self._came_at_once:
            # Awaiting bytes that are there already does not let other tasks run.
            await asyncio.sleep(0)
        try:
            received = self._stream.read_bytes(READ_BYTES, partial=True)
            self._came_at_once = received.done()
            self._unread += await received
        except StreamClosedError as exc:
            raise self._broken_by(exc) from exc
        self.received_s = clock.now_s()

    def _broken_by(self, exc: StreamClosedError) -> AnswerBrokenError:
        """Return the error of an answer whose connection has ended."""
        if self._aborted:
            return AnswerBrokenError(AnswerEnd.ABORTED)
        if exc.real_error is None:
            return AnswerBrokenError(AnswerEnd.EARLY)
        return AnswerBrokenError(AnswerEnd.RESET, type(exc.real_error).__name__)

    async def _read_until(self, delimiter: bytes, limit: int) -> bytes:
        """Return the bytes up to a delimiter, without it.

        Args:
          limit: Number of unread bytes without the delimiter beyond which reading fails.
        """
        while True:
            end = self._unread.find(delimiter)
            if end >= 0:
                raw = bytes(self._unread[:end])
                del self._unread[: end + len(delimiter)]
                return raw
            if len(self._unread) > limit:
                raise AnswerBrokenError(AnswerEnd.INVALID, f"no delimiter in {limit} bytes")
            await self._receive()

    async def _read_length(self, length: int) -> AsyncIterator[bytes]:
        """Yield pieces until they add up to a length in bytes."""
        while length:
            if not self._unread:
                await self._receive()
            piece = bytes(self._unread[:length])
            del self._unread[: len(piece)]
            length -= len(piece)
            yield piece

    async def _read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the data of a chunked body, of as many chunks as have arrived at once."""
        decoder = ChunkDecoder()
        while not decoder.has_ended:
            data = decoder.decode(self._unread)
            if data:
                yield data
            elif decoder.needs_bytes:
                await self._receive()
            if not decoder.needs_bytes:
                await asyncio.sleep(0)

    async def _read_to_end(self) -> AsyncIterator[bytes]:
        """Yield bytes until the other side closes the connection in order.

        Raises:
          AnswerBrokenError: The connection was reset, or this side closed it.
        """
        while True:
            if self._unread:
                piece = bytes(self._unread)
                self._unread.clear()
                yield piece
            try:
                await self._receive()
            except AnswerBrokenError as exc:
                if exc.end is AnswerEnd.EARLY:
                    # Not early for a body without a length, which ends so.
                    return
                raise


def _queued_bytes(sock: socket.socket, queue: int) -> int:
    """Return how many bytes are in a queue of a socket, TIOCOUTQ or FIONREAD."""
    return INT.unpack(fcntl.ioctl(sock, queue, bytes(INT.size)))[0]


def _retrieve_exception(sent: asyncio.Future) -> None:
    """Retrieve the exception of a write, so that asyncio does not report it as unretrieved.

    Nothing is lost: a connection whose write failed also fails when its answer is read.
    """
    if not sent.cancelled():
        sent.exception()
