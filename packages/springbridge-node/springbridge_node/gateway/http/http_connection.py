"""One outgoing HTTP/1.1 connection that can be kept, checked while it rests, and aborted at once.

tornado's own HTTP client opens a connection for each request and cannot abort one in flight, so
this is built on its IOStream. What it adds: an answer is matched to its request by the caller
before the body is read; bytes behind a whole answer are noticed; an answer that ends with its
connection counts as whole only if the connection was not reset.
"""

import asyncio
import socket
import time
from collections.abc import AsyncIterator

from tornado.iostream import IOStream, StreamClosedError

from springbridge_node.gateway.http.http_head import (
    AnswerBrokenError,
    Head,
    chunk_length,
    keep_alive_s,
    parse_head,
)

READ_BYTES = 1 << 18
LARGEST_HEAD_BYTES = 64 << 10
LARGEST_CHUNK_LINE_BYTES = 256
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 2500


class ConnectFailedError(Exception):
    """No connection came up; nothing was sent."""


async def connect(address: str, timeout_s: float) -> "HttpConnection":
    """Open a connection.

    Args:
      address: IP number and port.

    Raises:
      ConnectFailedError: It did not come up in time or was refused.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    _notice_dead_peers(sock)
    stream = IOStream(sock)
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((host, int(port)))
    except (OSError, StreamClosedError, TimeoutError) as exc:
        stream.close()
        raise ConnectFailedError(f"{type(exc).__name__}") from exc
    except asyncio.CancelledError:
        stream.close()
        raise
    return HttpConnection(stream)


def _notice_dead_peers(sock: socket.socket) -> None:
    """Let the kernel break a connection whose other side has lost power."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class HttpConnection:
    """A connection that carries one request at a time.

    Attributes:
      served: Answers that were read whole on this connection.
      rested_since_s: When the last of them ended, on the monotonic clock.
      keep_s: How long the other side keeps it open at rest, or None where it did not say.
    """

    def __init__(self, stream: IOStream) -> None:
        """Take over a connected stream."""
        self._stream = stream
        self._unread = bytearray()
        self._sent: asyncio.Future | None = None
        self._may_be_kept = True
        self.served = 0
        self.rested_since_s = time.monotonic()
        self.keep_s: float | None = None

    def abort(self) -> None:
        """Close at once; the other side stops work on the request where it can."""
        self._may_be_kept = False
        self._stream.close()

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request. Failures show when the answer is read."""
        self._may_be_kept = False
        if self._stream.closed():
            return
        self._sent = asyncio.ensure_future(self._stream.write(head + body))
        self._sent.add_done_callback(_retrieve)

    async def read_head(self) -> Head:
        """Read the head of the next answer, passing over interim ones.

        Raises:
          AnswerBrokenError: There is none, or it cannot be read.
        """
        while True:
            raw = await self._read_until(b"\r\n\r\n", LARGEST_HEAD_BYTES)
            head = parse_head(raw)
            if head.status >= 200:
                return head

    async def read_body(self, head: Head) -> AsyncIterator[bytes]:
        """Yield the body in pieces as they come, without its framing.

        Raises:
          AnswerBrokenError: It ended early.
        """
        if head.chunked:
            async for piece in self._read_chunks():
                yield piece
        elif head.length is not None:
            async for piece in self._read_length(head.length):
                yield piece
        else:
            async for piece in self._read_to_end():
                yield piece
        self._end_answer(head)

    def can_carry(self, longest_rest_s: float, share_of_keep: float) -> bool:
        """Return whether a rested connection may carry another request.

        Args:
          longest_rest_s: Longest rest where the other side did not say how long it keeps it.
          share_of_keep: Part of the time that the other side named which may have passed.
        """
        if not self._may_be_kept or self._unread or self._stream.closed():
            return False
        limit_s = longest_rest_s if self.keep_s is None else self.keep_s * share_of_keep
        if time.monotonic() - self.rested_since_s > limit_s:
            return False
        return self._is_silent()

    @property
    def may_be_kept(self) -> bool:
        """Return whether the last answer left the connection fit for another request."""
        return self._may_be_kept and not self._unread and not self._stream.closed()

    def _is_silent(self) -> bool:
        """Return whether nothing came while the connection rested: no byte, no end, no reset."""
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _end_answer(self, head: Head) -> None:
        """Note the end of a whole answer."""
        self.served += 1
        self.rested_since_s = time.monotonic()
        self.keep_s = keep_alive_s(head.headers)
        whole_request_sent = self._sent is None or self._sent.done()
        closes = head.headers.get("Connection", "").lower() == "close"
        self._may_be_kept = whole_request_sent and not closes and not head.unframed

    async def _fill(self) -> None:
        """Read whatever has come."""
        try:
            self._unread += await self._stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as exc:
            kind = type(exc.real_error).__name__ if exc.real_error else "end of stream"
            raise AnswerBrokenError(kind) from exc

    async def _read_until(self, fingerprint: bytes, limit: int) -> bytes:
        """Return the bytes up to a mark, without it."""
        while True:
            end = self._unread.find(fingerprint)
            if end >= 0:
                raw = bytes(self._unread[:end])
                del self._unread[: end + len(fingerprint)]
                return raw
            if len(self._unread) > limit:
                raise AnswerBrokenError("no end of line")
            await self._fill()

    async def _read_length(self, length: int) -> AsyncIterator[bytes]:
        """Yield so many bytes."""
        while length:
            if not self._unread:
                await self._fill()
            piece = bytes(self._unread[:length])
            del self._unread[: len(piece)]
            length -= len(piece)
            yield piece

    async def _read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of a chunked body."""
        while True:
            line = await self._read_until(b"\r\n", LARGEST_CHUNK_LINE_BYTES)
            length = chunk_length(line)
            if length == 0:
                await self._read_trailers()
                return
            async for piece in self._read_length(length):
                yield piece
            if await self._read_until(b"\r\n", LARGEST_CHUNK_LINE_BYTES):
                raise AnswerBrokenError("chunk longer than it says")

    async def _read_trailers(self) -> None:
        while await self._read_until(b"\r\n", LARGEST_HEAD_BYTES):
            pass

    async def _read_to_end(self) -> AsyncIterator[bytes]:
        """Yield bytes until the other side closes; a reset is no end."""
        while True:
            if self._unread:
                piece = bytes(self._unread)
                self._unread.clear()
                yield piece
            try:
                await self._fill()
            except AnswerBrokenError:
                if self._stream.error is not None:
                    raise
                return


def _retrieve(sent: asyncio.Future) -> None:
    """Take the result of a write, so that a failed one is not reported as unhandled."""
    if not sent.cancelled():
        sent.exception()
