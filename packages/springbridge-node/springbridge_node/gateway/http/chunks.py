"""Decodes the chunks of a body as its bytes arrive.

No sender decides how much work or memory that takes: chunk lines and trailers are bounded, and one
call decodes a bounded number of parts, since thousands of chunks fit what a socket takes at once.
Chunks that have arrived whole are decoded together, those of one small size, as of a sender that
flushes each word, without looking at each of them.
"""

import re
from enum import Enum, auto

from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd

LINE_END = b"\r\n"
# The line before a chunk: its size, and extensions, which are ignored (RFC 9112, section 7.1).
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[\t -~\x80-\xff]*)?")
# A line behind the last chunk.
TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*")
# Maximum length of the line that holds the length of a chunk, extensions included.
MAX_CHUNK_LINE_BYTES = 256
# Maximum size of all trailers together, as of a head.
MAX_TRAILER_BYTES = 64 << 10
# Parts of chunks that one call decodes: lengths, data, line ends, trailers.
MAX_CHUNKS_AT_ONCE = 128
# Chunks that are decoded together count as one part; this many at most.
MAX_RUN_CHUNKS = 1024
# Largest size of such chunks, whose length has one digit.
MAX_RUN_CHUNK_BYTES = 15
# Bytes of the line before such a chunk.
RUN_LINE_BYTES = 3


class _Due(Enum):
    """What comes next in a chunked body."""

    LENGTH = auto()
    DATA = auto()
    LINE_END = auto()
    TRAILER = auto()
    NOTHING = auto()


def _run_patterns() -> dict[bytes, tuple[int, re.Pattern[bytes]]]:
    """Return, for each line before small chunks, their size and a pattern of several of them."""
    patterns = {}
    for size in range(1, MAX_RUN_CHUNK_BYTES + 1):
        for line in {b"%x\r\n" % size, b"%X\r\n" % size}:
            chunk = line + b"[\\s\\S]{%d}\r\n" % size
            pattern = re.compile(b"(?:%b){2,%d}" % (chunk, MAX_RUN_CHUNKS))
            patterns[line] = size, pattern
    return patterns


_RUN_PATTERNS = _run_patterns()
# Sizes of chunks by the text that states them, as far as they have two digits.
_SIZES = {text % size: size for size in range(1, 1 << 8) for text in (b"%x", b"%X")}


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
        """Decode the line before a chunk, or several chunks that have arrived whole."""
        if data := _take_run(received) or _take_whole(received):
            return data
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
        """Skip a trailer, or the empty line that ends the body.

        Any other line is data behind a chunk that only seems to be the last, by a spoilt size.
        """
        end = _line_end(received, MAX_TRAILER_BYTES)
        if end < 0:
            return None
        self._trailer_bytes += end
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise AnswerBrokenError(AnswerEnd.OVERSIZED, "trailers")
        if end and not TRAILER.fullmatch(received, 0, end):
            raise AnswerBrokenError(AnswerEnd.INVALID, "no trailer")
        del received[: end + len(LINE_END)]
        if not end:
            self._due = _Due.NOTHING
        return b""


def _take_run(received: bytearray) -> bytes:
    """Decode chunks of one small size that follow each other; return nothing if there are none."""
    size, pattern = _RUN_PATTERNS.get(bytes(received[:RUN_LINE_BYTES]), (0, None))
    found = pattern.match(received) if pattern else None
    if found is None:
        return b""
    run = bytes(received[: found.end()])
    del received[: found.end()]
    period = RUN_LINE_BYTES + size + len(LINE_END)
    data = bytearray(len(run) // period * size)
    for index in range(size):
        data[index::size] = run[RUN_LINE_BYTES + index :: period]
    return bytes(data)


def chunk_length(line: bytes) -> int:
    """Return the length of a chunk in bytes, as the line before it states.

    Raises:
      AnswerBrokenError: It does not state a valid length.
    """
    found = SIZE_LINE.fullmatch(line)
    if found is None:
        raise AnswerBrokenError(AnswerEnd.INVALID, "invalid chunk length")
    return int(found[1], 16)


def _size_of(line: bytes) -> int:
    """Return the size that the line before a chunk states; 0 if it is the last one or malformed."""
    size = _SIZES.get(line)
    if size is not None:
        return size
    try:
        return chunk_length(line)
    except AnswerBrokenError:
        # The line is decoded again by itself, which reports it.
        return 0


def _take_whole(received: bytearray) -> bytes:
    """Decode chunks that have arrived whole; return nothing if the first one has not."""
    start, pieces = 0, []
    while len(pieces) < MAX_RUN_CHUNKS:
        line_end = received.find(LINE_END, start, start + MAX_CHUNK_LINE_BYTES)
        if line_end < 0:
            break
        size = _size_of(bytes(received[start:line_end]))
        data_start = line_end + len(LINE_END)
        if not size or received[data_start + size : data_start + size + 2] != LINE_END:
            break
        pieces.append(received[data_start : data_start + size])
        start = data_start + size + len(LINE_END)
    del received[:start]
    return b"".join(pieces)


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
