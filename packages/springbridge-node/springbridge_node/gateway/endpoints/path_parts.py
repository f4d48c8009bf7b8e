"""Wires the parts that connect to endpoints, directly or through peers, and serve peers likewise.

See connector.py.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.paths import PathTable

from springbridge_node.clock import now_s
from springbridge_node.gateway.endpoints.connector import EndpointConnector
from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation
from springbridge_node.gateway.endpoints.end_verification import EndVerification
from springbridge_node.gateway.endpoints.health_checks import HealthCheckCodec
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.endpoints.prober import EndpointProber
from springbridge_node.gateway.endpoints.stall_check import StallCheck
from springbridge_node.gateway.peers.tunnel_client import TunnelClient
from springbridge_node.gateway.peers.tunnel_server import TunnelServer


class PathParts:
    """The parts that connect to endpoints.

    Attributes:
      paths: The lost paths of this instance.
      pool: All connections of this instance to endpoints.
      stalls: Notices requests whose path hangs.
      confirmation: Confirms crashes of endpoints.
      ends: Verifies ends of answers that only their connections mark.
      prober: Probes unreachable endpoints and lost paths; its step is to be called periodically.
      tunnel_server: Connects to endpoints on behalf of peers.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        ip: str,
        instances: Callable[[], int],
        checks: HealthCheckCodec,
    ) -> None:
        """Create and connect the parts.

        Args:
          ip: IP number of this instance.
          instances: Returns how many instances share an endpoint's connections.
          checks: Addresses health checks to runs of endpoints.
        """
        self.paths = PathTable(now_s)
        self._tunnels = TunnelClient(membership, ip)
        connector = EndpointConnector(
            self.paths, self._tunnels, lambda incarnation: self.stalls.close_hanging(incarnation)
        )
        self.pool = ConnectionPool(instances, connector.connect, self.paths)
        self.stalls = StallCheck(self.pool, self.paths)
        self.confirmation = CrashConfirmation(self.pool)
        self.ends = EndVerification(
            connector.connect_for_check, self.pool, self.confirmation, checks
        )
        self.prober = EndpointProber(registry, self.pool, connector, self.paths)
        self.tunnel_server = TunnelServer(membership, registry, self.paths)

    async def close_ended(self) -> None:
        """Close connections through peers that leave or have ended; to be called periodically."""
        self.pool.close_through_peers(self._tunnels.is_usable, self._tunnels.is_running)
