"""Tests of http_connection.py: after which answers a connection carries another request.

A request that may not be repeated is lost on a connection that the other side is about to close.
"""

import asyncio

import pytest
from springbridge_standins.gateway.pieces import PiecesStream
from testtools.assertions import assert_that
from testtools.matchers import Is

from springbridge_node.gateway.http.http_connection import HttpConnection

LENGTH = b"Content-Length: 5\r\n"


class OpenStream(PiecesStream):
    """Stays open behind its pieces."""

    def closed(self):
        """Return that it is open."""
        return False


def is_kept(head):
    """Read an answer; return whether its connection may carry another request."""

    async def read():
        conn = HttpConnection(OpenStream([head + b"\r\nwhole"]))
        assert await conn.read_whole_body(await conn.read_head(), 5) == b"whole"
        return conn.may_be_kept

    return asyncio.run(read())


# Guards against a request on a connection whose other side has said that it closes it.
@pytest.mark.parametrize(
    ("head", "kept"),
    [
        (b"HTTP/1.1 200 OK\r\n", True),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: Close\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: X-Hop, close\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nConnection: close\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", True),
        (b"HTTP/1.1 200 OK\r\nConnection: enclosed\r\n", True),
        (b"HTTP/1.0 200 OK\r\n", False),
        (b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", True),
        (b"HTTP/1.0 200 OK\r\nConnection: keep-alive, close\r\n", False),
    ],
)
def test_a_connection_is_kept_unless_the_head_says_otherwise(head, kept):
    assert_that(is_kept(head + LENGTH), Is(kept))
