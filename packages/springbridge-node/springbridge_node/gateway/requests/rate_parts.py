"""Joins what takes in the statements of endpoints and keeps to their rates; see rate_gate.py."""

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
    """The parts that take in what endpoints say, and keep to their rates.

    Attributes:
      table: The rates in force.
      sharing: Tells peers of statements.
      gate: Asked before each attempt.
      watch: Takes in what answers say.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        telemetry: Telemetry,
        clock: Callable[[], float] = now_s,
        services: Callable[[], Mapping[str, Service]] = dict,
    ) -> None:
        """Join the parts.

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
        """Begin to exchange rates and permits with peers."""
        self.sharing.connect(datagrams)
        self._permits.connect(datagrams)

    async def beat(self) -> None:
        """Do what is due at each heartbeat."""
        self.look_for_cold()
        await self.sharing.beat()

    def look_for_cold(self) -> None:
        """Keep to the rates that services name for endpoints which are cold."""
        services = self._services()
        rates = {}
        for state in self._registry.cold():
            service = services.get(state.entry.service)
            if service is not None and service.cold_per_s:
                rates[state.entry.incarnation] = service.cold_per_s
        log_cold(self.table.cold(), rates)
        self.table.set_cold(rates)

    def forget_gone(self, known: set[EndpointIncarnation]) -> None:
        """Drop what belongs to endpoints that are gone, and what is over.

        Args:
          known: The endpoints that are listed or still have requests.
        """
        self.table.keep_only(known)
        self.gate.forget_old()
