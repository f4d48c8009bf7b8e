"""Joins what takes in the statements of endpoints and keeps to their rates; see rate_gate.py."""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.rates.rate_table import RateTable
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.clock import now_s
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.rate_permits import RatePermits
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
      sharing: Tells peers of statements; its beat is due at each heartbeat.
      gate: Asked before each attempt.
      watch: Takes in what answers say.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        telemetry: Telemetry,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Join the parts."""
        self.table = RateTable(clock)
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

    def forget_gone(self, known: set[EndpointIncarnation]) -> None:
        """Drop what belongs to endpoints that are gone, and what is over.

        Args:
          known: The endpoints that are listed or still have requests.
        """
        self.table.keep_only(known)
        self.gate.forget_old()
