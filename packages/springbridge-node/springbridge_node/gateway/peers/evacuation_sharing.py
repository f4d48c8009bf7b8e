"""Keeps this node and its peers informed of which failure domains the operators evacuate.

The nodes that wait at the store's feed learn it first and tell up to PUSHED_PEERS at once. While
a domain is evacuated, and for a while after, each node passes it on with its heartbeats, so that
nodes that start, and those that lost a datagram, know within a few beats. A node that is told
something older answers with what it knows. Before the first evacuation nothing is sent.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.evacuations import EvacuationReading, EvacuationTable, EvacuationUpdate

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.source import Source
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import PUSHED_PEERS
from springbridge_node.gateway.peers.row_fields import number, text, texts, whole

# Seconds for which the end of an evacuation is passed on. A node that was cut off for longer hears
# of it in answer to what it tells itself.
TELL_END_S = 30.0
# Source, in the log, of the end of an evacuation that an older copy of the store does not have.
NOT_CONFIRMED = "not confirmed"


class EvacuationSharing:
    """The evacuations of this node."""

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        clock: Callable[[], float] = now_s,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        """Start without evacuations.

        Args:
          changed: Called when the registry goes by other evacuations.
        """
        self._membership = membership
        self._registry = registry
        self._clock = clock
        self._changed = changed
        self._table = EvacuationTable(clock)
        self._in_force: frozenset[str] = frozenset()
        self._tell_until_s = float("-inf")
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to tell peers and to take in what they tell."""
        self._datagrams = datagrams
        datagrams.handle(Kind.EVACUATIONS, self._take)

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains that this node evacuates."""
        return self._in_force

    def read(self, stamp: int, news: EvacuationUpdate) -> None:
        """Take in what the store said."""
        self._table.apply_update(stamp, news)
        if self._apply(Source.STORE):
            self._send(self._datagrams.sample_peers(PUSHED_PEERS) if self._datagrams else [])

    async def beat(self) -> None:
        """End what has run out, and pass on what is evacuated."""
        self._apply(NOT_CONFIRMED)
        if self._in_force or self._clock() < self._tell_until_s:
            self._send(self._membership.gossip_targets())

    def _apply(self, source: str) -> bool:
        """Put in force what is known, and return whether that changed anything."""
        before, after = self._in_force, self._table.domains()
        if before == after:
            return False
        self._in_force = after
        self._tell_until_s = self._clock() + TELL_END_S
        self._registry.set_evacuated_domains(after)
        self._changed()
        for domain in sorted(after - before):
            logs.event("domain.evacuated", failure_domain=domain, source=source)
        for domain in sorted(before - after):
            logs.event("domain.restored", failure_domain=domain, source=source)
        return True

    def _send(self, addresses: list[str]) -> None:
        """Tell peers what this node knows."""
        if self._datagrams is not None and addresses:
            self._datagrams.send(Kind.EVACUATIONS, reading_rows(self._table.reading()), addresses)

    def _take(self, rows: list, sender: str) -> None:
        """Take in what a peer tells, and pass it on at once if it is news."""
        told = read_reading(rows)
        known = self._table.reading()
        self._table.take(told)
        if self._apply(sender):
            self._send(self._membership.gossip_targets())
        elif told.stamp < known.stamp and told.evacuated != known.evacuated:
            self._send([sender])


def reading_rows(reading: EvacuationReading) -> list:
    """Return the rows of a reading."""
    lost = [[domain, round(for_s, 1)] for domain, for_s in reading.lost_for_s]
    return [reading.stamp, sorted(reading.evacuated), lost]


def read_reading(rows: list) -> EvacuationReading:
    """Return the reading of rows.

    Raises:
      ValueError, TypeError: No node sends such rows.
    """
    stamp, evacuated, lost = rows
    lost_for_s = tuple((text(domain), number(for_s)) for domain, for_s in lost)
    return EvacuationReading(whole(stamp), frozenset(texts(evacuated)), lost_for_s)
