"""Tests of connector.py: when a refused connection counts as the end of an endpoint."""

import asyncio

import pytest
from springbridge.routing.paths import PathTable
from springbridge.routing.records import EndpointEntry, EndpointIncarnation
from springbridge_standins.free_addresses import free_ports
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.clock import now_s
from springbridge_node.gateway.endpoints.connector import EndpointConnector
from springbridge_node.gateway.http.http_connection import ConnectFailedError
from springbridge_node.gateway.peers.tunnel_client import TunnelFailedError
from springbridge_node.gateway.peers.tunnel_messages import TunnelResult

OTHER = EndpointIncarnation("i-other", None)


class Peers:
    """Stands in for the tunnels of peers, none of which connects."""

    def __init__(self, *results):
        self.results = results

    def has_peers(self):
        """Return that there are peers."""
        return True

    async def open(self, entry):
        """Fail with the results."""
        raise TunnelFailedError(self.results)


def refusal(results, lost=()):
    """Return the error of a connection to a port where nobody listens."""
    entry = EndpointEntry("i-1", "model", f"127.0.0.1:{free_ports(1)[0]}", "a", 4, False)
    paths = PathTable(now_s)
    for each in lost:
        paths.record_lost(each)
    connector = EndpointConnector(paths, Peers(*results), lambda incarnation: None)
    with pytest.raises(ConnectFailedError) as caught:
        asyncio.run(connector.connect(entry))
    return caught.value


# Guards against crashes that nobody counts, so that a request goes on ending endpoints: peers may
# know nothing of an endpoint that rests or leaves there.
@pytest.mark.parametrize(
    ("results", "lost", "expected"),
    [
        ((TunnelResult.REFUSED,), (), True),
        ((TunnelResult.REFUSED, TunnelResult.EXCLUDED), (OTHER,), True),
        ((TunnelResult.REFUSED, TunnelResult.UNREACHED), (), False),
        ((TunnelResult.EXCLUDED, TunnelResult.FULL), (), True),
        ((TunnelResult.EXCLUDED,), (OTHER,), False),
        ((TunnelResult.NO_PATH,), (OTHER,), False),
        ((TunnelResult.UNSUPPORTED,), (), True),
    ],
)
def test_a_refusal_stands_unless_a_peer_or_a_lost_path_speaks_against_it(results, lost, expected):
    assert_that(refusal(results, lost).refused, Equals(expected))
