"""Tests of small_server.py: what a request gets that a handler cannot answer."""

import asyncio

import pytest
from springbridge.instance_limits import InstanceLimits, ListenerKind
from springbridge_standins.free_addresses import free_ports
from springbridge_standins.gateway.caller import CallerConnection
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.http.small_server import Reply, SmallInterface, SmallServer
from springbridge_node.gateway.inbound.intake import Intake
from springbridge_node.gateway.telemetry import Telemetry


def fail(query):
    """Stand for a handler that meets an unforeseen exception."""
    raise KeyError


# Guards against a kept connection of an operator or a peer that is closed without an answer.
@pytest.mark.parametrize(
    ("path", "status"), [("/whole", 200), ("/fails", 500), ("/none", 404), ("//[", 400)]
)
def test_each_request_is_answered_and_its_connection_kept(path, status):
    async def body():
        (port,) = free_ports(1)
        interface = SmallInterface({"/whole": lambda query: Reply(200), "/fails": fail})
        intake = Intake(InstanceLimits(), Telemetry())
        SmallServer(ListenerKind.READY, interface, intake).listen(f"127.0.0.1:{port}")
        conn = await CallerConnection.open(f"127.0.0.1:{port}")
        assert_that((await conn.ask(path)).status, Equals(status))
        assert_that((await conn.ask("/whole")).status, Equals(200))
        conn.close()

    asyncio.run(body())
