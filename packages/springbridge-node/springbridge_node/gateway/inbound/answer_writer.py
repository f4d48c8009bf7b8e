"""Writes one answer to a client: head, pieces of the body, and its end.

The head says whether the connection is kept, as of the moment when it is written.
"""

import asyncio

from tornado.httputil import HTTPHeaders, responses

from springbridge_node.gateway.http.answer_framing import BODILESS_STATUSES
from springbridge_node.gateway.inbound.connection import InboundConnection
from springbridge_node.gateway.inbound.request_head import KEEPING_VERSION, RequestHead

LAST_CHUNK = b"0\r\n\r\n"
# Bytes up to which a piece is copied behind what is written before it, to be sent at once with it.
JOINED_BYTES = 16 << 10


class AnswerWriter:
    """An answer that is being written.

    Attributes:
      has_started: Whether its head was written, after which its status can't change.
    """

    def __init__(self, conn: InboundConnection, head: RequestHead | None) -> None:
        """Start without an answer.

        Args:
          head: The request; None for the answer to one whose head cannot be read.
        """
        self._conn = conn
        self._head = head
        self._is_chunked = False
        self._left: int | None = None
        self.has_started = False

    @property
    def takes_chunks(self) -> bool:
        """Return whether the client reads chunks."""
        return self._head is not None and self._head.version == KEEPING_VERSION

    @property
    def has_body(self) -> bool:
        """Return whether an answer to the request has a body, whatever its status."""
        return self._head is None or self._head.method != "HEAD"

    def start(
        self, status: int, reason: str, headers: HTTPHeaders, piece: bytes
    ) -> asyncio.Future[None]:
        """Write the head and the first piece of the body; return when they are in the socket.

        Raises:
          StreamClosedError: The connection has ended.
        """
        self.has_started = True
        if self._is_last():
            self._conn.must_close = True
            headers["Connection"] = "close"
        elif self._head.version != KEEPING_VERSION:
            headers["Connection"] = "Keep-Alive"
        has_body = self.has_body and status not in BODILESS_STATUSES
        if has_body and "Content-Length" in headers:
            self._left = int(headers["Content-Length"])
        self._is_chunked = has_body and self._left is None and self.takes_chunks
        if self._is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        first = self._framed(piece) if has_body and piece else b""
        return self._write(_head_bytes(status, reason, headers), first)

    def write(self, piece: bytes) -> asyncio.Future[None]:
        """Write a piece of the body, which is not empty; return when it is in the socket.

        Raises:
          StreamClosedError: The connection has ended.
        """
        return self._conn.stream.write(self._framed(piece))

    def end(self) -> None:
        """Write the end of the body; an answer that is shorter than it states ends abruptly."""
        if self._left:
            self._conn.close()
        elif self._is_chunked and not self._conn.stream.closed():
            self._conn.stream.write(LAST_CHUNK)

    def _is_last(self) -> bool:
        """Return whether the connection ends with the answer."""
        if self._conn.must_close or self._conn.closes_with_answer or self._head is None:
            return True
        return not self._head.keeps_connection

    def _framed(self, piece: bytes) -> bytes:
        """Return a piece of the body as it is written."""
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(piece), piece)
        if self._left is not None:
            self._left -= len(piece)
        return piece

    def _write(self, head: bytes, piece: bytes) -> asyncio.Future[None]:
        """Write a head and a piece behind it."""
        if len(piece) <= JOINED_BYTES:
            return self._conn.stream.write(head + piece)
        self._conn.stream.write(head)
        return self._conn.stream.write(piece)


def _head_bytes(status: int, reason: str, headers: HTTPHeaders) -> bytes:
    """Return the head of an answer.

    Raises:
      ValueError: A header has a line end in it.
    """
    lines = [f"HTTP/1.1 {status} {reason or responses.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    if any("\n" in line or "\r" in line for line in lines):
        raise ValueError("line end in a header")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
