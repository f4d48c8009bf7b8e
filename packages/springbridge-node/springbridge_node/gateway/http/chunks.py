"""Decodes the chunks of a body as its bytes arrive.

No sender decides how much work or memory that takes: chunk lines and trailers are bounded, and one
call decodes a bounded number of parts, since thousands of chunks fit what a socket takes at once.
"""

from enum import Enum, auto

from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.http.http_head import chunk_length

LINE_END = b"\r\n"
# Maximum length of the line that holds the length of a chunk, extensions included.
MAX_CHUNK_LINE_BYTES = 256
# Maximum size of all trailers together, as of a head.
MAX_TRAILER_BYTES = 64 << 10
# Parts of chunks that one call decodes: lengths, data, line ends, trailers.
MAX_CHUNKS_AT_ONCE = 128


class _Due(Enum):
    """What comes next in a chunked body."""

    LENGTH = auto()
    DATA = auto()
    LINE_END = auto()
    TRAILER = auto()
    NOTHING = auto()


class ChunkDecoder:
    """Decodes one chunked body.

    Attributes:
      needs_bytes: Whether the last call decoded all that has arrived.
    """

    def __init__(self) -> None:
        """Start before the first chunk."""
        self._due = _Due.LENGTH
        self._left = 0
        self._trailer_bytes = 0
        self.needs_bytes = False

    @property
    def has_ended(self) -> bool:
        """Return whether the last chunk and its trailers were decoded."""
        return self._due is _Due.NOTHING

    def decode(self, received: bytearray) -> bytes:
        """Take bytes from the beginning of those received and return the data of their chunks.

        Raises:
          AnswerBrokenError: They are no chunks. What came before was returned by earlier calls.
        """
        data = bytearray()
        self.needs_bytes = False
        for _ in range(MAX_CHUNKS_AT_ONCE):
            if self.has_ended:
                break
            try:
                piece = self._step(received)
            except AnswerBrokenError:
                if data:
                    # The bytes stay where they are, so that the next call meets them again.
                    return bytes(data)
                raise
            if piece is None:
                self.needs_bytes = True
                break
            data += piece
        return bytes(data)

    def _step(self, received: bytearray) -> bytes | None:
        """Decode one part of a chunk; return its data, None if more bytes have to arrive."""
        match self._due:
            case _Due.LENGTH:
                return self._take_length(received)
            case _Due.DATA:
                return self._take_data(received)
            case _Due.LINE_END:
                return self._take_line_end(received)
            case _Due.TRAILER:
                return self._take_trailer(received)
            case _Due.NOTHING:
                return None

    def _take_length(self, received: bytearray) -> bytes | None:
        """Decode the line before a chunk."""
        end = _line_end(received, MAX_CHUNK_LINE_BYTES)
        if end < 0:
            return None
        self._left = chunk_length(bytes(received[:end]))
        del received[: end + len(LINE_END)]
        self._due = _Due.DATA if self._left else _Due.TRAILER
        return b""

    def _take_data(self, received: bytearray) -> bytes | None:
        """Take data of a chunk, as much of it as has arrived."""
        if not received:
            return None
        data = bytes(received[: self._left])
        del received[: len(data)]
        self._left -= len(data)
        if not self._left:
            self._due = _Due.LINE_END
        return data

    def _take_line_end(self, received: bytearray) -> bytes | None:
        """Take the line end behind the data of a chunk."""
        if len(received) < len(LINE_END):
            return None
        if not received.startswith(LINE_END):
            raise AnswerBrokenError(AnswerEnd.INVALID, "chunk longer than stated")
        del received[: len(LINE_END)]
        self._due = _Due.LENGTH
        return b""

    def _take_trailer(self, received: bytearray) -> bytes | None:
        """Skip a trailer, or the empty line that ends the body."""
        end = _line_end(received, MAX_TRAILER_BYTES)
        if end < 0:
            return None
        self._trailer_bytes += end
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise AnswerBrokenError(AnswerEnd.OVERSIZED, "trailers")
        del received[: end + len(LINE_END)]
        if not end:
            self._due = _Due.NOTHING
        return b""


def _line_end(received: bytearray, limit: int) -> int:
    """Return the length of the first line, -1 if its end has not arrived.

    Args:
      limit: Bytes of a line beyond which it is too long.

    Raises:
      AnswerBrokenError: The line is too long.
    """
    end = received.find(LINE_END, 0, limit + len(LINE_END))
    if end < 0 and len(received) > limit + len(LINE_END):
        raise AnswerBrokenError(AnswerEnd.INVALID, f"no line end in {limit} bytes")
    return end
