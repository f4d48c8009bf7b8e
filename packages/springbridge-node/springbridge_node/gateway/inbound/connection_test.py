"""Tests of connection.py: what is kept of a connection, and how its end is noticed."""

import asyncio
import socket

import pytest
from springbridge.byte_budget import ByteBudget
from springbridge_standins.http_wire import LINGER_RESET
from testtools.assertions import assert_that
from testtools.matchers import Equals
from tornado.iostream import IOStream

from springbridge_node.gateway.inbound.connection import (
    MAX_AHEAD_BYTES,
    READ_BYTES,
    InboundConnection,
    Phase,
)
from springbridge_node.gateway.inbound.refusals import ConnectionGoneError, RefusalKind

LIMIT = 1 << 20
# Longest time for bytes or an end to arrive on loopback, in seconds.
LONGEST_S = 10.0


@pytest.fixture
def with_connection():
    """Return a function that runs a test's coroutine with a connection and its client's socket."""

    def run(body):
        async def run_body():
            with socket.create_server(("127.0.0.1", 0)) as server:
                client = socket.create_connection(server.getsockname())
                accepted, _ = server.accept()
            accepted.setblocking(False)
            client.setblocking(False)
            stream = IOStream(accepted, read_chunk_size=READ_BYTES)
            conn = InboundConnection(stream, "127.0.0.1", ByteBudget(LIMIT))
            async with asyncio.timeout(LONGEST_S):
                await body(conn, client)
            conn.close()
            client.close()

        asyncio.run(run_body())

    return run


def reset(client):
    """Reset a connection at the client's end."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    client.close()


# Guards against an exception that nobody foresaw, as a client resets its connection when refused.
def test_a_connection_that_was_reset_has_ended(with_connection):
    async def body(conn, client):
        reset(client)
        await asyncio.sleep(0)
        with pytest.raises(ConnectionGoneError):
            conn.end_sending()

    with_connection(body)


# Guards against requests that are served for a caller which has gone.
def test_the_end_of_a_caller_is_noticed_behind_what_it_sent_ahead(with_connection):
    async def body(conn, client):
        conn.enter(Phase.SERVING)
        gone = asyncio.Event()
        conn.on_gone = gone.set
        conn.watch()
        client.send(b"x" * 1000)
        while not conn.unread:
            await asyncio.sleep(0)
        client.close()
        await gone.wait()
        assert_that((conn.phase, len(conn.unread), conn.held_bytes), Equals((Phase.CLOSED, 0, 0)))

    with_connection(body)


# Guards against memory for requests that wait behind another one.
def test_what_is_sent_ahead_has_a_bound(with_connection):
    async def body(conn, client):
        kinds = []
        conn.on_evicted = kinds.append
        conn.enter(Phase.SERVING)
        conn.watch()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, b"x" * (2 * MAX_AHEAD_BYTES))
        while conn.discarded + len(conn.unread) < 2 * MAX_AHEAD_BYTES:
            await asyncio.sleep(0)
        assert_that((conn.must_close, len(conn.unread)), Equals((True, 0)))
        assert_that(kinds, Equals([RefusalKind.SENT_AHEAD]))

    with_connection(body)
