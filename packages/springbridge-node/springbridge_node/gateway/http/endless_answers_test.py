"""Tests of http_connection.py, chunks.py and calls.py: bytes that do not end, in a head or a body.

Guards against an endpoint that takes the memory or the event loop of a whole instance.
"""

import asyncio
import itertools
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.http import calls
from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.http.calls import CallFailedError, HttpClient
from springbridge_node.gateway.http.chunks import MAX_TRAILER_BYTES, ChunkDecoder
from springbridge_node.gateway.http.http_connection import (
    MAX_HEAD_BYTES,
    MAX_INTERIM_ANSWERS,
    READ_BYTES,
    HttpConnection,
)

# Bytes that a reader takes of a body that does not end, after which a test stops it.
TAKEN_BYTES = 1 << 19
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class EndlessStream:
    """Stands for a connection on which the next bytes are always there.

    Attributes:
      read: Bytes that were read.
      turns: How often other tasks had run before each read.
    """

    def __init__(self, first, more):
        """Set the first bytes, and those that are repeated behind them without end."""
        self._waiting = bytearray(first)
        self._more = more * (1 + READ_BYTES // len(more))
        self.read = 0
        self.turns = []
        self._turn = -1

    async def count_turns(self):
        """Count how often this task has its turn."""
        for self._turn in itertools.count():
            await asyncio.sleep(0)

    def read_bytes(self, count, partial):
        """Return a future that has the next bytes already."""
        while len(self._waiting) < count:
            self._waiting += self._more
        data = bytes(self._waiting[:count])
        del self._waiting[:count]
        self.read += len(data)
        self.turns.append(self._turn)
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(data)
        return fut

    async def write(self, data):
        """Take bytes that nobody reads."""

    def closed(self):
        """Return that it is open."""
        return False

    def close(self):
        """Do nothing."""


def reading(stream, read):
    """Read from an endless stream while another task counts its turns; return what read returns."""

    async def body():
        counting = asyncio.ensure_future(stream.count_turns())
        try:
            return await read(HttpConnection(stream))
        finally:
            counting.cancel()

    return asyncio.run(body())


async def read_head_end(connection):
    """Return how the reading of a head ends."""
    try:
        await connection.read_head()
    except AnswerBrokenError as exc:
        return exc.end
    return None


async def take_body(connection):
    """Take pieces of a body up to TAKEN_BYTES; return their largest size, and how it ended."""
    head, taken, largest = await connection.read_head(), 0, 0
    try:
        async for piece in connection.read_body(head):
            taken += len(piece)
            largest = max(largest, len(piece), len(connection._unread))
            if taken >= TAKEN_BYTES:
                return largest, None
    except AnswerBrokenError as exc:
        return largest, exc.end
    return largest, connection.answer_end


@pytest.mark.parametrize(
    ("first", "more", "expected", "max_bytes"),
    [
        (b"", b"x", AnswerEnd.INVALID, MAX_HEAD_BYTES),
        (b"HTTP/1.1 200 ", b"OK", AnswerEnd.INVALID, MAX_HEAD_BYTES),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x", AnswerEnd.INVALID, MAX_HEAD_BYTES),
        (b"HTTP/1.1 200 OK\r\n", b"X: x\r\n", AnswerEnd.INVALID, MAX_HEAD_BYTES),
        (b"", b"\r\n", AnswerEnd.INVALID, MAX_HEAD_BYTES),
        (b"HTTP/1.1 200 OK\r\n" + b"X: x\r\n" * 1000, b"\r\n", AnswerEnd.INVALID, MAX_HEAD_BYTES),
        (b"", b"HTTP/1.1 103 Early\r\n\r\n", AnswerEnd.OVERSIZED, 1 << 12),
        (
            b"",
            b"HTTP/1.1 103 Early\r\nX: " + b"x" * 60_000 + b"\r\n\r\n",
            AnswerEnd.OVERSIZED,
            (MAX_INTERIM_ANSWERS + 1) * MAX_HEAD_BYTES,
        ),
    ],
)
def test_a_head_that_does_not_end_breaks_its_answer_off(first, more, expected, max_bytes):
    stream = EndlessStream(first, more)
    assert_that(reading(stream, read_head_end), Equals(expected))
    assert_that(stream.read <= max_bytes + 2 * READ_BYTES, Equals(True))
    assert_that(stream.turns, Equals(sorted({*stream.turns})))


@pytest.mark.parametrize(
    ("first", "more", "expected"),
    [
        (UNFRAMED, b"x", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999999\r\n\r\n", b"x", None),
        (CHUNKED + b"fffffffffff\r\n", b"x", None),
        (CHUNKED, b"1\r\nx\r\n", None),
        (CHUNKED, b"1;" + b"e" * 200 + b"\r\nx\r\n", None),
        (CHUNKED + b"1", b";x", AnswerEnd.INVALID),
        (CHUNKED + b"0\r\n", b"X: x\r\n", AnswerEnd.OVERSIZED),
        (CHUNKED + b"0\r\nX: ", b"x", AnswerEnd.INVALID),
        (CHUNKED + b"1\r\n", b"x", AnswerEnd.INVALID),
    ],
)
def test_a_body_that_does_not_end_leaves_other_tasks_their_turns(first, more, expected):
    stream = EndlessStream(first, more)
    largest, end = reading(stream, take_body)
    assert_that(end, Equals(expected))
    assert_that(largest <= 2 * READ_BYTES, Equals(True))
    assert_that(stream.turns, Equals(sorted({*stream.turns})))


def test_a_body_that_is_kept_whole_has_a_bound():
    async def read(connection):
        head = await connection.read_head()
        try:
            await connection.read_whole_body(head, 1 << 20)
        except AnswerBrokenError as exc:
            return exc.end
        return None

    stream = EndlessStream(UNFRAMED, b"x")
    assert_that(reading(stream, read), Equals(AnswerEnd.OVERSIZED))
    assert_that(stream.read <= (1 << 20) + 2 * READ_BYTES, Equals(True))


# Guards against an answer of the store or of a peer that takes memory until its call times out.
@pytest.mark.parametrize("first", [UNFRAMED, CHUNKED + b"fffffffffff\r\n"])
def test_a_call_whose_answer_does_not_end_fails_at_its_bound(monkeypatch, first):
    stream = EndlessStream(first, b"x")

    async def connected(address, timeout_s):
        return HttpConnection(stream)

    async def call(connection):
        try:
            await HttpClient("127.0.0.1:1", 1 << 20).call("GET", "/rows", timeout_s=60.0)
        except CallFailedError as exc:
            return str(exc)
        return None

    monkeypatch.setattr(calls, "connect", connected)
    assert_that(reading(stream, call), Equals("AnswerBrokenError"))
    assert_that(stream.read <= (1 << 20) + 2 * READ_BYTES, Equals(True))
    assert_that(stream.turns, Equals(sorted({*stream.turns})))


# Guards against data of chunks that is lost since the bytes behind it are no chunk.
def test_data_before_an_invalid_chunk_is_returned_first():
    decoder, received = ChunkDecoder(), bytearray(b"3\r\nabc\r\nzz\r\n")
    assert_that(decoder.decode(received), Equals(b"abc"))
    with pytest.raises(AnswerBrokenError):
        decoder.decode(received)


# Guards against a whole body that waits for bytes which have arrived.
@pytest.mark.parametrize("trailers", [0, 1, 2000])
@pytest.mark.parametrize("chunks", [0, 1, 5000])
def test_a_body_that_has_arrived_is_decoded_to_its_end(chunks, trailers):
    body = b"1\r\nx\r\n" * chunks + b"0\r\n" + b"A: b\r\n" * trailers + b"\r\n"
    decoder, received, data = ChunkDecoder(), bytearray(body + b"next"), b""
    while not decoder.has_ended and not decoder.needs_bytes:
        data += decoder.decode(received)
    assert_that((decoder.has_ended, decoder.needs_bytes), Equals((True, False)))
    assert_that((len(data), bytes(received)), Equals((chunks, b"next")))


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_chunks_are_decoded_whatever_the_pieces(size):
    body = b"3;x=y\r\nabc\r\n10\r\n" + b"d" * 16 + b"\r\n0\r\nA: b\r\n\r\n"
    decoder, received, data = ChunkDecoder(), bytearray(), b""
    for start in range(0, len(body), size):
        received += body[start : start + size]
        data += decoder.decode(received)
    assert_that((decoder.has_ended, data), Equals((True, b"abc" + b"d" * 16)))
    assert_that(MAX_TRAILER_BYTES >= READ_BYTES, Equals(True))


def drawn_chunks(seed):
    """Return a chunked body of chunks whose sizes are drawn, and its data, which has line ends."""
    rng = random.Random(seed)
    largest = rng.choice((1, 2, 3, 15, 16, 300))
    extension = rng.choice((b"", b"", b";x=y"))
    data, body = b"", b""
    for _ in range(200):
        size = rng.randint(1, largest)
        piece = bytes(rng.choices(b"ab\r\n0", k=size))
        line = (b"%x" if rng.random() < 0.5 else b"%X") % size
        body += line + extension + b"\r\n" + piece + b"\r\n"
        data += piece
    return body + b"0\r\n\r\n", data


# Guards against chunks decoded together that take data for a line end, or a line end for data.
@pytest.mark.parametrize("seed", range(40))
def test_drawn_chunks_are_decoded_whatever_the_pieces(seed):
    body, expected = drawn_chunks(seed)
    size = random.Random(seed).choice((1, 5, 100, 5000))
    decoder, received, data = ChunkDecoder(), bytearray(), b""
    for start in range(0, len(body), size):
        received += body[start : start + size]
        while not decoder.has_ended:
            data += decoder.decode(received)
            if decoder.needs_bytes:
                break
    assert_that((decoder.has_ended, data == expected, bytes(received)), Equals((True, True, b"")))


# Guards against a length that other programs read otherwise, so that they see another body.
@pytest.mark.parametrize("line", [b"+1", b"-1", b"0x1", b"1_0", b"", b"g", b"1 1"])
def test_a_length_of_a_chunk_is_hexadecimal_digits_alone(line):
    with pytest.raises(AnswerBrokenError):
        ChunkDecoder().decode(bytearray(line + b"\r\nx\r\n"))
