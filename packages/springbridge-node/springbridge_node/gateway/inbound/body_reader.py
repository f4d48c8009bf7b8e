"""Reads the body of one request: as much of it as the limits allow, with bounded work at a time."""

import asyncio

from springbridge_node.gateway.http.answer_end import AnswerBrokenError
from springbridge_node.gateway.http.chunks import ChunkDecoder
from springbridge_node.gateway.inbound.body_buffer import HEAP_BYTES, BodyBuffer
from springbridge_node.gateway.inbound.connection import InboundConnection
from springbridge_node.gateway.inbound.refusals import RefusalKind, RefusedError
from springbridge_node.gateway.inbound.request_head import RequestHead

# Most bytes that the chunks of a body may take on the wire for each byte of it, and besides. Chunks
# of one byte take six.
WIRE_SHARE, WIRE_BYTES = 8, 64 << 10


class BodyReader:
    """Reads a body from a connection, which keeps it until the request has been served."""

    def __init__(self, conn: InboundConnection, head: RequestHead, most_bytes: int) -> None:
        """Start before the first byte.

        Args:
          most_bytes: Largest size of a body.

        Raises:
          RefusedError: The head states a larger one.
        """
        if head.length > most_bytes:
            raise RefusedError(RefusalKind.BODY_TOO_LARGE)
        self._conn = conn
        self._most_bytes = most_bytes
        self._left = head.length
        self._decoder = ChunkDecoder() if head.is_chunked else None
        self._wire_bytes = 0
        self._body = BodyBuffer(most_bytes if head.is_chunked else head.length)
        conn.body = self._body

    @property
    def is_whole(self) -> bool:
        """Return whether the body has been read to its end."""
        return self._decoder.has_ended if self._decoder is not None else not self._left

    @property
    def left_bytes(self) -> int | None:
        """Return how many bytes of the body were not read, None if nobody knows."""
        return self._left if self._decoder is None else None

    def content(self) -> bytes | memoryview:
        """Return the whole body."""
        return self._body.content()

    def take(self) -> None:
        """Read from what has arrived.

        Raises:
          RefusedError: The body is too large or malformed.
        """
        if self._decoder is None:
            self._take_plain()
        else:
            self._take_chunks()
        if len(self._body) > HEAP_BYTES:
            self._conn.update_held()
            self._conn.check()

    async def read(self) -> None:
        """Read to the end of the body.

        Raises:
          ConnectionGoneError: The connection has ended.
          RefusedError: The body is too large, malformed or too slow, or there is no room for it.
        """
        while not self.is_whole:
            if self._decoder is None or self._decoder.needs_bytes:
                await self._conn.receive()
            else:
                await asyncio.sleep(0)
                self._conn.check()
            self.take()

    def _take_plain(self) -> None:
        """Read bytes of a body that has a length."""
        piece = self._conn.unread[: self._left]
        del self._conn.unread[: len(piece)]
        self._left -= len(piece)
        self._body.append(piece)

    def _take_chunks(self) -> None:
        """Decode chunks."""
        before = len(self._conn.unread)
        try:
            data = self._decoder.decode(self._conn.unread)
        except AnswerBrokenError as exc:
            raise RefusedError(RefusalKind.BODY_MALFORMED) from exc
        self._wire_bytes += before - len(self._conn.unread)
        size = len(self._body) + len(data)
        if size > self._most_bytes:
            raise RefusedError(RefusalKind.BODY_TOO_LARGE)
        if self._wire_bytes > WIRE_SHARE * size + WIRE_BYTES:
            raise RefusedError(RefusalKind.BODY_MALFORMED)
        self._body.append(data)
