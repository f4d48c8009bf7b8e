"""Tests of end_verification.py: how an answer ended whose connection was closed in order."""

import asyncio
import socket
import time

import pytest
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.paths import PathTable
from springbridge.routing.records import EndpointEntry, Service
from springbridge_standins.gateway.engine import EngineStandIn, unframed
from springbridge_standins.http_wire import Connection, unframed_head
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.clock import now_s
from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation
from springbridge_node.gateway.endpoints.end_verification import EndVerification
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.answer_end import AnswerEnd
from springbridge_node.gateway.http.http_connection import ConnectFailedError, connect

REQUEST = b"GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n"
SERVICE = Service("model", "/healthz", 100)


class Rig:
    """An endpoint, and the parts of an instance that asks it."""

    def __init__(self, engine):
        self.engine = engine
        self.entry = EndpointEntry("i-1", "model", engine.address, "a", 4, False)
        self.state = EndpointState(self.entry)
        self.pool = ConnectionPool(lambda: 1, self._connect, PathTable(now_s))
        self.ends = EndVerification(self.pool, CrashConfirmation(self.pool))

    async def _connect(self, entry):
        return await connect(entry.address, 0.4)

    async def ask(self):
        """Send a request and read its answer to the end; return its connection."""
        conn = await self.pool.acquire(self.entry, SERVICE, repeatable=True)
        conn.send(REQUEST, b"")
        head = await conn.read_head()
        assert_that([piece async for piece in conn.read_body(head)], Equals([b"body"]))
        assert_that(conn.answer_end, Equals(AnswerEnd.CLOSED))
        return conn

    async def verify(self, conn):
        """Return how the answer on a connection ended."""
        return await self.ends.verify(self.state, conn, float("-inf"))


@pytest.fixture
def run():
    """Return a function that runs a test body with a rig whose endpoint closes its answers."""

    def play(body):
        async def with_rig():
            engine = EngineStandIn("i-1", unframed(b"body"))
            await engine.start()
            rig = Rig(engine)
            try:
                await body(rig)
            finally:
                engine.stop()
                rig.pool.keep_only(frozenset())

        asyncio.run(with_rig())

    return play


def ends_with_its_answer(rig):
    """Return a script that answers and ends the endpoint, as the kernel ends a process."""

    async def script(request, connection):
        await connection.send(unframed_head(request.request_id) + b"body")
        rig.engine.stop(Connection.close)

    return script


# Guards against a connection that is opened for an answer whose end another one already shows.
def test_another_open_connection_shows_that_the_endpoint_runs(run):
    async def body(rig):
        await rig.pool.warm(rig.entry)
        await rig.pool.warm(rig.entry)
        conn = await rig.ask()
        assert_that(await rig.verify(conn), Equals(AnswerEnd.OTHERS_OPEN))
        assert_that(rig.engine.connections, Equals(2))

    run(body)


# Guards against connections beside those that requests use: the one that verifies is kept for the
# next request.
def test_an_accepted_connection_shows_that_the_endpoint_runs_and_is_used_next(run):
    async def body(rig):
        for number in range(1, 4):
            conn = await rig.ask()
            assert_that(await rig.verify(conn), Equals(AnswerEnd.ACCEPTS))
            rig.pool.discard(rig.entry.incarnation, conn)
            assert_that(rig.engine.connections, Equals(number + 1))

    run(body)


# Guards against half an answer as whole after its process has ended, whatever the instance kept.
@pytest.mark.parametrize("kept", [0, 3])
def test_a_refused_connection_shows_that_the_process_has_ended(run, kept):
    async def body(rig):
        for _ in range(kept):
            await rig.pool.warm(rig.entry)
        rig.engine.script = ends_with_its_answer(rig)
        conn = await rig.ask()
        assert_that(await rig.verify(conn), Equals(AnswerEnd.REFUSES))

    run(body)


# Guards against a connection that counts as open since nobody has read its end yet.
def test_a_connection_whose_end_is_not_read_yet_is_not_open(run):
    async def body(rig):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            conn = await connect(f"127.0.0.1:{listener.getsockname()[1]}", 0.4)
            other_end, _ = listener.accept()
            assert_that(conn.is_open(now_s()), Equals(True))
            other_end.close()
            # The event loop does not run meanwhile, so that the connection does not read its end.
            time.sleep(0.05)
            assert_that((conn._stream.closed(), conn.is_open(now_s())), Equals((False, False)))
            conn.abort()

    run(body)


# Guards against a connection that counts as open since its end is behind bytes that have not been
# read, or have not arrived.
def test_a_connection_that_receives_bytes_shows_nothing(run):
    async def body(rig):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            conn = await connect(f"127.0.0.1:{listener.getsockname()[1]}", 0.4)
            other_end, _ = listener.accept()
            before_s = now_s()
            assert_that(conn.is_open(before_s), Equals(True))
            other_end.sendall(b"HTTP/1.1 200 X\r\n\r\n")
            assert_that(conn.is_open(before_s), Equals(False))
            await conn.read_head()
            assert_that((conn.is_open(before_s), conn.is_open(now_s())), Equals((False, True)))
            conn.abort()
            other_end.close()

    run(body)


# Guards against the whole last answer of an endpoint that leaves, which is failed since its process
# has ended after it as planned.
def test_an_endpoint_that_leaves_may_end_after_its_answer(run):
    async def body(rig):
        rig.engine.script = ends_with_its_answer(rig)
        conn = await rig.ask()
        rig.state.statements.leaving.heard_s = now_s()
        assert_that(await rig.verify(conn), Equals(AnswerEnd.CLOSED))

    run(body)


# Guards against half an answer as whole after a crash of an endpoint that has just started again:
# the run before it said that it leaves, which counts for this one for a while.
def test_a_statement_of_leaving_that_may_be_another_runs_excuses_no_end(run):
    async def body(rig):
        rig.engine.script = ends_with_its_answer(rig)
        conn = await rig.ask()
        rig.state.statements.leaving.probable_s = now_s()
        assert_that(await rig.verify(conn), Equals(AnswerEnd.REFUSES))

    run(body)


# Guards against half an answer as whole whose host goes down with its endpoint.
def test_nobody_vouches_for_an_endpoint_that_cannot_be_reached_any_more(run, monkeypatch):
    async def body(rig):
        async def times_out(entry):
            raise ConnectFailedError("TimeoutError")

        conn = await rig.ask()
        monkeypatch.setattr(rig.pool, "warm", times_out)
        assert_that(await rig.verify(conn), Equals(AnswerEnd.SILENT))

    run(body)
