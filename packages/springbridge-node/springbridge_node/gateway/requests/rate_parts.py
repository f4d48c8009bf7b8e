"""Wires the parts that record endpoints' statements and enforce their rate limits.

See statement_watch.py for the statements and rate_gate.py for the limits.
"""

from collections.abc import Callable, Mapping

from springbridge.membership import Membership
from springbridge.rates.rate_table import RateTable
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointIncarnation, Service

from springbridge_node.clock import now_s
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.rate_permits import RatePermits
from springbridge_node.gateway.peers.statement_changes_log import log_cold
from springbridge_node.gateway.peers.statement_sharing import StatementSharing
from springbridge_node.gateway.requests.rate_gate import RateGate, RateGateParts
from springbridge_node.gateway.requests.rate_gate_log import RateGateLog
from springbridge_node.gateway.requests.statement_log import StatementLog
from springbridge_node.gateway.requests.statement_watch import StatementWatch
from springbridge_node.gateway.telemetry import Telemetry


class RateParts:
    """The parts that record endpoints' statements and enforce their rate limits.

    Attributes:
      table: The rate limits in force.
      sharing: Shares statements with peers.
      gate: Acquires a permit before each attempt.
      watch: Records the statements in answers.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        telemetry: Telemetry,
        clock: Callable[[], float] = now_s,
        services: Callable[[], Mapping[str, Service]] = dict,
    ) -> None:
        """Create and connect the parts.

        Args:
          services: Returns the services of the configuration in force.
        """
        self.table = RateTable(clock)
        self._registry = registry
        self._services = services
        granters = GranterSet(membership, clock)
        self.sharing = StatementSharing(self.table, membership, registry, granters, clock)
        self._permits = RatePermits(self.table, membership, registry, granters, self.sharing, clock)
        self.watch = StatementWatch(
            registry, self.table, self.sharing, StatementLog(telemetry), clock
        )
        self.gate = RateGate(
            RateGateParts(self.table, registry, self._permits, RateGateLog(telemetry), clock)
        )

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to exchange rate limits and permits with peers."""
        self.sharing.connect(datagrams)
        self._permits.connect(datagrams)

    async def beat(self) -> None:
        """Run the periodic work; called at each heartbeat."""
        self.update_cold_limits()
        await self.sharing.beat()

    def update_cold_limits(self) -> None:
        """Apply the rate limits that services configure for cold endpoints."""
        services = self._services()
        rates = {}
        for state in self._registry.cold():
            service = services.get(state.entry.service)
            if service is not None and service.cold_per_s:
                rates[state.entry.incarnation] = service.cold_per_s
        log_cold(self.table.cold(), rates)
        self.table.set_cold(rates)

    def forget_gone(self, known: set[EndpointIncarnation]) -> None:
        """Drop the limits and permits of endpoints that are gone, and expired holds.

        Args:
          known: The endpoints that are listed or still have requests in flight.
        """
        self.table.keep_only(known)
        self.gate.forget_old()
