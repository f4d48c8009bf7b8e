"""Shares with peers which endpoints are brittle: how many rejections a second each can stand.

A new or ended statement goes to up to MAX_PUSHED_PEERS peers at once and is forwarded by those to
which it is new; it is resent with the heartbeats for RESEND_S. While no endpoint is brittle nothing
is sent.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.rates.rate_table import RateTable
from springbridge.rates.statements import Statement
from springbridge.routing.records import EndpointIncarnation

from springbridge_node import logs
from springbridge_node.gateway.peers import place_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import MAX_PUSHED_PEERS
from springbridge_node.gateway.peers.statement_changes_log import ANSWER
from springbridge_node.gateway.peers.statement_sharing import RESEND_S, ROWS_PER_DATAGRAM


class BrittleSharing:
    """Merges statements of brittle endpoints and forwards new ones."""

    def __init__(
        self, table: RateTable, membership: Membership, clock: Callable[[], float]
    ) -> None:
        """Start without peers.

        Args:
          table: The rejections a second that each endpoint can stand, in place of rates.
        """
        self._table = table
        self._membership = membership
        self._clock = clock
        self._resend_until_s: dict[EndpointIncarnation, float] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending statements to peers and receiving theirs."""
        self._datagrams = datagrams
        datagrams.handle(Kind.BRITTLE, self._receive)

    def on_statement(self, incarnation: EndpointIncarnation, statement: Statement) -> None:
        """Merge the statement of an answer, and send it to peers if it is new."""
        if self._merge(incarnation, statement, ANSWER) and self._datagrams is not None:
            self._send([incarnation], self._datagrams.sample_peers(MAX_PUSHED_PEERS))

    async def beat(self) -> None:
        """Resend recent statements; to be called at each heartbeat."""
        now_s = self._clock()
        self._resend_until_s = {
            each: until_s for each, until_s in self._resend_until_s.items() if until_s > now_s
        }
        if self._resend_until_s:
            self._send(list(self._resend_until_s), self._membership.gossip_targets())

    def _merge(self, incarnation: EndpointIncarnation, statement: Statement, source: str) -> bool:
        """Merge a statement, and return whether it changes anything."""
        change = self._table.take(incarnation, statement)
        if change is None:
            return False
        logs.event(
            "engine.brittle",
            engine=incarnation.endpoint_id,
            before=change.before,
            rejections_per_s=change.after,
            source=source,
        )
        self._resend_until_s[incarnation] = self._clock() + RESEND_S
        return True

    def _send(self, incarnations: list[EndpointIncarnation], receivers: list[str]) -> None:
        """Send what is known of endpoints to peers."""
        if self._datagrams is None or not receivers:
            return
        now_s = self._clock()
        known = [(each, self._table.statement(each)) for each in incarnations]
        rows = [place_rows.statement_row(each, said, now_s) for each, said in known if said]
        for start in range(0, len(rows), ROWS_PER_DATAGRAM):
            self._datagrams.send(Kind.BRITTLE, rows[start : start + ROWS_PER_DATAGRAM], receivers)

    def _receive(self, rows: list, sender: str) -> None:
        """Merge a peer's statements, and forward those that are new."""
        now_s = self._clock()
        known = [place_rows.read_statement(row, now_s) for row in rows]
        new = [each for each, said in known if self._merge(each, said, sender)]
        if new:
            self._send(new, self._membership.gossip_targets())
