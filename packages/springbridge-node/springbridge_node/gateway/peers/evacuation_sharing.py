"""Shares with peers which failure domains the operators have evacuated.

The nodes that long-poll the store's feed learn of a change first and send it to up to
MAX_PUSHED_PEERS peers at once. While a domain is evacuated, and for END_RESEND_S after, each node
resends it with its heartbeats, so that nodes that start or lost a datagram know it within a few
heartbeats. A node that receives an older reading replies with its own. Before the first evacuation
nothing is sent.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.evacuations import EvacuationReading, EvacuationTable, EvacuationUpdate

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.source import Source
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import MAX_PUSHED_PEERS
from springbridge_node.gateway.peers.row_fields import number, text, texts, whole

# Seconds for which the end of an evacuation is resent. A node that was partitioned for longer gets
# it in reply to the outdated reading that it sends itself.
END_RESEND_S = 30.0
# Source, in the log, of the end of an evacuation that expired because the store, restored from an
# older copy, does not have it.
NOT_CONFIRMED = "not confirmed"


class EvacuationSharing:
    """The evacuated failure domains as this node knows them, kept in sync with peers."""

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        clock: Callable[[], float] = now_s,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Start without evacuations.

        Args:
          on_change: Called after the set of evacuated domains in the registry has changed.
        """
        self._membership = membership
        self._registry = registry
        self._clock = clock
        self._on_change = on_change
        self._table = EvacuationTable(clock)
        self._in_force: frozenset[str] = frozenset()
        self._resend_until_s = float("-inf")
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending readings to peers and receiving theirs."""
        self._datagrams = datagrams
        datagrams.handle(Kind.EVACUATIONS, self._receive)

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains that this node evacuates."""
        return self._in_force

    def apply_store(self, stamp: int, news: EvacuationUpdate) -> None:
        """Merge evacuations read from the store, and send a change to peers at once."""
        self._table.apply_update(stamp, news)
        if self._apply(Source.STORE):
            self._send(self._datagrams.sample_peers(MAX_PUSHED_PEERS) if self._datagrams else [])

    async def beat(self) -> None:
        """End evacuations that have expired, and resend the current reading."""
        self._apply(NOT_CONFIRMED)
        if self._in_force or self._clock() < self._resend_until_s:
            self._send(self._membership.gossip_targets())

    def _apply(self, source: str) -> bool:
        """Apply the evacuations to the registry, and return whether they changed."""
        before, after = self._in_force, self._table.domains()
        if before == after:
            return False
        self._in_force = after
        self._resend_until_s = self._clock() + END_RESEND_S
        self._registry.set_evacuated_domains(after)
        self._on_change()
        for domain in sorted(after - before):
            logs.event("domain.evacuated", failure_domain=domain, source=source)
        for domain in sorted(before - after):
            logs.event("domain.restored", failure_domain=domain, source=source)
        return True

    def _send(self, addresses: list[str]) -> None:
        """Send this node's reading to peers."""
        if self._datagrams is not None and addresses:
            self._datagrams.send(Kind.EVACUATIONS, reading_rows(self._table.reading()), addresses)

    def _receive(self, rows: list, sender: str) -> None:
        """Merge a peer's reading, and forward it at once if it changes the evacuations.

        A peer whose reading is older and differs gets this node's reading in reply.
        """
        received = read_reading(rows)
        known = self._table.reading()
        self._table.take(received)
        if self._apply(sender):
            self._send(self._membership.gossip_targets())
        elif received.stamp < known.stamp and received.evacuated != known.evacuated:
            self._send([sender])


def reading_rows(reading: EvacuationReading) -> list:
    """Return the rows that encode a reading."""
    lost = [[domain, round(for_s, 1)] for domain, for_s in reading.lost_for_s]
    return [reading.stamp, sorted(reading.evacuated), lost]


def read_reading(rows: list) -> EvacuationReading:
    """Decode a reading from its rows.

    Raises:
      ValueError, TypeError: The rows are malformed.
    """
    stamp, evacuated, lost = rows
    lost_for_s = tuple((text(domain), number(for_s)) for domain, for_s in lost)
    return EvacuationReading(whole(stamp), frozenset(texts(evacuated)), lost_for_s)
