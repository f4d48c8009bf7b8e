"""Tests of chunks.py: what is no chunk, no line before one and no trailer breaks the answer.

Guards against a body that is cut where a spoilt line seems to end it.
"""

import asyncio

import pytest
from springbridge_standins.gateway.pieces import PiecesStream
from springbridge_standins.http_wire import chunk
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.http.answer_end import AnswerBrokenError
from springbridge_node.gateway.http.http_connection import HttpConnection

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b"id: 1\ndata: one\n\n"
LAST = chunk(b"")
SIZE = b"%x" % len(BODY)
MAX_BYTES = 1 << 16


def read(data, piece_bytes):
    """Return the body of an answer in chunks that arrive in pieces, None if it is broken."""
    arrives = HEAD + data
    pieces = [arrives[at : at + piece_bytes] for at in range(0, len(arrives), piece_bytes)]

    async def read_whole():
        conn = HttpConnection(PiecesStream(pieces))
        return await conn.read_whole_body(await conn.read_head(), MAX_BYTES)

    try:
        return asyncio.run(read_whole())
    except AnswerBrokenError:
        return None


def with_line(line):
    """Return a body of one chunk whose first line is given."""
    return line + b"\r\n" + BODY + b"\r\n" + LAST


BROKEN = {
    "blank before the size": with_line(b" " + SIZE),
    "tab before the size": with_line(b"\t" + SIZE),
    "blank in the size": with_line(b"1 1"),
    "sign": with_line(b"+" + SIZE),
    "underscore": with_line(b"1_1"),
    "base": with_line(b"0x11"),
    "no size": with_line(b""),
    "only an extension": with_line(b";x=1"),
    "bare line feed in an extension": with_line(SIZE + b";x\ny"),
    "bare carriage return in an extension": with_line(SIZE + b";x\ry"),
    "control byte in an extension": with_line(SIZE + b";x\x01"),
    "text behind the size": with_line(SIZE + b" x"),
    "bare line feed": with_line(SIZE).replace(b"\r\n", b"\n", 1),
    # A digit of the second size is lost, so that its chunk seems to be the last.
    "data in place of trailers": chunk(BODY) + b"0\r\n" + BODY + b"\r\n" + LAST,
    "data and chunks in place of trailers": b"0\r\nhello\r\n5\r\nhello\r\n" + LAST + b"\r\n",
    "trailer without a name": chunk(BODY) + b"0\r\n: x\r\n\r\n",
    "trailer with a blank in its name": chunk(BODY) + b"0\r\nX A: x\r\n\r\n",
    "folded trailer": chunk(BODY) + b"0\r\nX-A: x\r\n y\r\n\r\n",
    "trailer with a control byte": chunk(BODY) + b"0\r\nX-A: \x01\r\n\r\n",
}
SOUND = {
    "plain": with_line(SIZE),
    "zeros before the size": with_line(b"000" + SIZE),
    "capital digits": with_line(b"00" + SIZE.upper()),
    "extension": with_line(SIZE + b";x=1"),
    "extension in quotes": with_line(SIZE + b';x="a b;c"'),
    "blanks round an extension": with_line(SIZE + b" ;\tx = 1"),
    "blanks behind the size": with_line(SIZE + b"  "),
    "byte over 127 in an extension": with_line(SIZE + b";x=\xe9"),
    "extension of the last chunk": chunk(BODY) + b"0;x\r\n\r\n",
    "trailers": chunk(BODY) + b"000\r\nX-A: 1\r\nX-B:\r\nX-C: \xe9\t x\r\n\r\n",
}


# Guards against a body that a lenient reader of its chunks cuts or fills up.
@pytest.mark.parametrize("piece_bytes", [1, 7, MAX_BYTES])
@pytest.mark.parametrize("name", BROKEN)
def test_what_is_no_chunk_breaks_the_answer(name, piece_bytes):
    assert_that(read(BROKEN[name], piece_bytes), Equals(None))


# Guards against a reader so strict that it breaks sound answers.
@pytest.mark.parametrize("piece_bytes", [1, 7, MAX_BYTES])
@pytest.mark.parametrize("name", SOUND)
def test_a_sound_body_in_chunks_is_whole(name, piece_bytes):
    assert_that(read(SOUND[name], piece_bytes), Equals(BODY))
