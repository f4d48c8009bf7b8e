"""Tests of proxy.py: how its connections end."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.gateway.engine import EngineStandIn, raw_bytes
from springbridge_standins.http_wire import Connection
from springbridge_standins.proxy import running_proxy


async def end_seen_through(end_in_order):
    """Return whether a client of a proxy sees an orderly end, after its target ended somehow."""
    engine = EngineStandIn("e", raw_bytes(b"half"))
    await engine.start()
    async with running_proxy("127.0.0.1:0", engine.address) as proxy:
        host, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n")
        assert_that(await reader.readexactly(4), Equals(b"half"))
        end_in_order(engine, proxy)
        try:
            return await reader.read() == b""
        except ConnectionResetError:
            return False
        finally:
            writer.close()
            engine.stop()


# Guards against stand-ins that end connections in order where they stand for a reset.
@pytest.mark.parametrize(
    ("end", "in_order"),
    [
        (lambda engine, proxy: engine.stop(Connection.close), True),
        (lambda engine, proxy: engine.stop(), False),
        (lambda engine, proxy: proxy.end_in_order(), True),
        (lambda engine, proxy: proxy.stop(), False),
        (lambda engine, proxy: proxy.disconnect(), False),
    ],
    ids=["target closes", "target resets", "closes", "resets", "fault"],
)
def test_a_proxy_ends_connections_as_their_target_or_itself_does(end, in_order):
    assert_that(asyncio.run(end_seen_through(end)), Equals(in_order))
