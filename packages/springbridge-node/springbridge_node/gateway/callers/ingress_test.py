"""Tests of ingress.py: until when a request counts as in progress."""

import asyncio
import socket

import pytest
from springbridge.instance_limits import InstanceLimits
from springbridge.routing.records import CallerLimits
from springbridge_standins.free_addresses import free_ports
from springbridge_standins.gateway.caller import CallerConnection, request_bytes
from springbridge_standins.gateway.fleet import until
from springbridge_standins.http_wire import CRLF, read_answer
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength
from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.callers.ingress import CallerHandlers, CallerListener
from springbridge_node.gateway.inbound.intake import Intake
from springbridge_node.gateway.telemetry import Telemetry


def fill(sock):
    """Send chunks of a body until the socket takes no more; return the bytes that it took."""
    taken = 0
    while True:
        try:
            sock.send(b"1" + CRLF + b"x" + CRLF)
            taken += 1
        except BlockingIOError:
            return taken


# Guards against a planned stop that ends before the end of a stream is in the socket: a caller that
# reads slowly got all events and then a connection that closed without the last chunk.
def test_a_stream_is_in_progress_until_its_end_is_in_the_socket():
    filled = []

    async def serve(request, answer):
        await answer.start(200, "OK", HTTPHeaders(), b"")
        # As if the socket had just taken the last event whole and were full now.
        filled.append(fill(answer._connection.stream.socket))
        answer.finish()

    async def body():
        listener = CallerListener(CallerHandlers(serve), Intake(InstanceLimits(), Telemetry()))
        (port,) = free_ports(1)
        listener.listen(f"127.0.0.1:{port}", CallerLimits())
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        await asyncio.get_running_loop().sock_sendall(sock, request_bytes("/stream/x"))
        await until(lambda: filled)
        await asyncio.sleep(0.1)
        assert_that(len(listener.in_progress), Equals(1))
        reader, writer = await asyncio.open_connection(sock=sock)
        got = await read_answer(reader)
        assert_that((got.is_complete, len(got.body)), Equals((True, filled[0])))
        await until(lambda: not listener.in_progress)
        writer.close()

    asyncio.run(body())


# Guards against a kept connection that is closed without an answer, as serving one request ended
# with an exception that nobody foresaw; and against an answer in part that looks whole then.
@pytest.mark.parametrize("has_begun", [False, True])
def test_a_request_whose_serving_fails_is_answered(has_begun):
    async def serve(request, answer):
        if has_begun:
            await answer.start(200, "OK", HTTPHeaders(), b"part")
        raise KeyError

    async def body():
        listener = CallerListener(CallerHandlers(serve), Intake(InstanceLimits(), Telemetry()))
        (port,) = free_ports(1)
        listener.listen(f"127.0.0.1:{port}", CallerLimits())
        conn = await CallerConnection.open(f"127.0.0.1:{port}")
        got = await conn.ask("/safe/x")
        assert_that(
            (got.status, got.is_complete), Equals((200, False) if has_begun else (504, True))
        )
        assert_that(conn.may_be_kept, Equals(not has_begun))
        conn.close()
        await until(lambda: not listener.in_progress)
        assert_that(listener.in_progress, HasLength(0))

    asyncio.run(body())


# Guards against exceptions that nobody foresaw, as the work for a caller is cancelled while the
# socket takes no more of its answer.
def test_a_write_that_waits_is_given_up_without_a_fault():
    async def serve(request, answer):
        await answer.start(200, "OK", HTTPHeaders(), b"")
        while True:
            await answer.write(b"x" * (1 << 20))

    async def body():
        found = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: found.append(context))
        listener = CallerListener(CallerHandlers(serve), Intake(InstanceLimits(), Telemetry()))
        (port,) = free_ports(1)
        listener.listen(f"127.0.0.1:{port}", CallerLimits())
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes("/stream/x"))
        await until(lambda: listener.in_progress)
        await asyncio.sleep(0.2)
        for task in listener.in_progress:
            task.cancel()
        await until(lambda: not listener.in_progress)
        await asyncio.sleep(0)
        writer.close()
        assert_that(found, Equals([]))

    asyncio.run(body())
