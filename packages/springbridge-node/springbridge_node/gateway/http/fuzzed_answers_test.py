"""Tests of http_connection.py on drawn bytes: an answer, or a broken one, and nothing else.

Guards against heads, chunks and pieces that meet an unforeseen exception, or wait for ever.
"""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from springbridge_standins.gateway.pieces import PiecesStream
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.http.answer_end import AnswerBrokenError
from springbridge_node.gateway.http.http_connection import HttpConnection

# What answers are drawn of.
TOKENS = (
    *(b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 103 Early\r\n", b"HTTP/1.1 204 X\r\n", b"HTTP/1.1 "),
    *(b"Transfer-Encoding: chunked\r\n", b"Content-Length: 5\r\n", b"Content-Length: -1\r\n"),
    *(b"Content-Length: " + b"9" * 5000 + b"\r\n", b"Connection: close\r\n", b"X: \xff\r\n"),
    *(b"\r\n", b"\n", b"\r", b":", b" folded\r\n", b"\x00", b"5\r\nhello\r\n", b"0\r\n", b"5;x=y"),
    *(b"-5\r\n", b"0x5\r\n", b"zz\r\n", b"f" * 400, b"1\r\nx", b"0\r\nA: b\r\n\r\n", b"hello"),
)


async def read_answer(pieces):
    """Read an answer; return whether it came to an end or broke."""
    conn = HttpConnection(PiecesStream(pieces))
    try:
        head = await conn.read_head()
        async for _ in conn.read_body(head):
            pass
    except AnswerBrokenError:
        return "broken"
    return "whole"


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(TOKENS), max_size=14), st.integers(1, 40))
def test_drawn_bytes_are_an_answer_or_a_broken_one(tokens, size):
    data = b"".join(tokens)
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    ends = [asyncio.run(read_answer(each)) for each in (pieces, [data])]
    # The pieces in which bytes arrive change nothing.
    assert_that(ends[0], Equals(ends[1]))
