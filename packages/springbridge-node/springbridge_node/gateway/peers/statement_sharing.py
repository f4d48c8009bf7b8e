"""Shares with peers which endpoints state a rate limit, leave or ask for rest.

The instance that receives an answer with a new statement sends it to up to MAX_PUSHED_PEERS peers
at once; each node to which it is new forwards it to a few more, so that a fleet of hundreds knows
it within a few round trips. All nodes resend it with their heartbeats for RESEND_S, which makes up
for lost datagrams. After that only the granter of the endpoint keeps sending a rate limit. A few
nodes send all current statements to a peer that starts. While no endpoint states a rate limit,
leaves or asks for rest, nothing is sent. A rest is sent once: it is a hint to the other nodes, so a
lost datagram does no harm.
"""

import random
from collections.abc import Callable, Iterable

from springbridge.membership import Membership
from springbridge.rates.rate_table import RateTable
from springbridge.rates.statements import Statement
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.gateway.peers import statement_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import MAX_PUSHED_PEERS
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.new_peers import NewPeers
from springbridge_node.gateway.peers.statement_changes_log import ANSWER, log_change, log_leaving
from springbridge_node.gateway.peers.statement_rows import StatementReport

# Seconds for which a node resends a statement that is new or has ended. Six heartbeat intervals, as
# for crash records.
RESEND_S = 1.5
# Maximum number of rows in one datagram. At about 60 bytes each it stays under 1 kB.
ROWS_PER_DATAGRAM = 16
# Shortest rest in seconds that is sent to peers. A shorter one is mostly over when it reaches the
# last peer.
MIN_SHARED_REST_S = 1.0
# Seconds of jitter with which instances return to an endpoint after its rest, so that they do not
# all return at the same moment.
RETURN_SPREAD_S = 1.0


class StatementSharing:
    """Merges the statements of endpoints and forwards new ones to peers."""

    def __init__(
        self,
        table: RateTable,
        membership: Membership,
        registry: EndpointRegistry,
        granters: GranterSet,
        clock: Callable[[], float],
    ) -> None:
        """Start without peers; nothing is sent until connect() is called."""
        self._table = table
        self._membership = membership
        self._registry = registry
        self._granters = granters
        self._clock = clock
        self._datagrams: PeerDatagrams | None = None
        self._resend_until_s: dict[EndpointIncarnation, float] = {}
        self._new_peers = NewPeers(membership)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending statements to peers and receiving theirs."""
        self._datagrams = datagrams
        datagrams.handle(Kind.RATES, self._receive)

    def on_statement(self, incarnation: EndpointIncarnation, statement: Statement) -> None:
        """Merge the rate statement of an answer, and send it if a rate was set, changed or ended.

        A new or ended rate goes to many peers, a changed figure to the granter only.
        """
        if not self._merge_rate(incarnation, statement, ANSWER):
            return
        if self._is_recent(incarnation):
            self._send([incarnation], self._push_targets())
        else:
            self._notify_granter(incarnation)

    def on_leaving(self, incarnation: EndpointIncarnation) -> None:
        """Send to peers that an endpoint leaves, as it has just stated to this node.

        Nothing is sent if a peer has reported it before, since the other nodes know it as well.
        """
        said = self._registry.statements.find(incarnation)
        if said is not None and said.leaving.told_s is None:
            self._resend_until_s[incarnation] = self._clock() + RESEND_S
            self._send([incarnation], self._push_targets())

    def on_rest(self, incarnation: EndpointIncarnation, rest_s: float) -> None:
        """Send to peers a rest that an endpoint asked this node for, unless a peer reported it.

        Args:
          rest_s: The rest in seconds.
        """
        if rest_s < MIN_SHARED_REST_S:
            return
        if self._registry.statements.told_rest(incarnation, rest_s, 0.0):
            self._send([incarnation], self._push_targets())

    def merge(self, report: StatementReport, sender: str) -> None:
        """Merge a peer's report, received on its own or within another message."""
        rate_is_new = self._merge_rate(report.incarnation, report.statement, sender)
        leaving_is_new = report.leaves and self._merge_leaving(report.incarnation, sender)
        rest_is_new = report.rest_s > 0.0 and self._merge_rest(report)
        if leaving_is_new or rest_is_new or (rate_is_new and self._is_recent(report.incarnation)):
            self._send([report.incarnation], self._membership.gossip_targets())

    def report(self, incarnation: EndpointIncarnation) -> StatementReport:
        """Return a report of what this node knows of an endpoint's statements."""
        known = self._table.statement(incarnation)
        if known is None:
            # Older than any statement that another node may have.
            known = Statement(None, 0.0, 0.0)
        said = self._registry.statements.find(incarnation)
        if said is None:
            return StatementReport(incarnation, known)
        rest_s = max(0.0, said.peers_rest_until_s - self._clock())
        return StatementReport(incarnation, known, said.leaving.is_known, rest_s)

    async def beat(self) -> None:
        """Resend recent changes, and the rates of endpoints whose granter this node is."""
        self._granters.refresh()
        new_peers = self._new_peers.detect()
        if new_peers:
            known = self._registry.known_incarnations()
            leaving = known.intersection(self._registry.statements.leaving())
            self._send({*self._table.named(), *leaving}, new_peers)
        if not self._resend_until_s and not self._table.named():
            return
        now_s = self._clock()
        self._resend_until_s = {
            each: until_s for each, until_s in self._resend_until_s.items() if until_s > now_s
        }
        mine = [each for each in self._table.named() if self._is_granter(each)]
        current = {*self._resend_until_s, *mine}
        if current:
            self._send(current, self._membership.gossip_targets())

    def _merge_rate(
        self, incarnation: EndpointIncarnation, statement: Statement, source: str
    ) -> bool:
        """Merge a rate statement, and return whether a rate was set, changed or ended."""
        was_limited = incarnation in self._table.named()
        change = self._table.take(incarnation, statement)
        if change is None:
            return False
        log_change(change, source, self._clock() - statement.received_s)
        if was_limited != (change.after is not None):
            self._resend_until_s[incarnation] = self._clock() + RESEND_S
        return True

    def _merge_rest(self, report: StatementReport) -> bool:
        """Merge a peer's report that an endpoint rests, and return whether that is new."""
        if not self._is_listed(report.incarnation):
            return False
        spread_s = RETURN_SPREAD_S * random.random()
        return self._registry.statements.told_rest(report.incarnation, report.rest_s, spread_s)

    def _is_listed(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether the registry lists an endpoint in this incarnation.

        Nothing is stored for others: a faulty peer could report any number of them.
        """
        state = self._registry.find(incarnation.endpoint_id)
        return state is not None and state.entry.incarnation == incarnation

    def _merge_leaving(self, incarnation: EndpointIncarnation, sender: str) -> bool:
        """Merge a peer's report that an endpoint leaves, and return whether that is new."""
        if not self._is_listed(incarnation):
            return False
        if not self._registry.statements.told_leaving(incarnation):
            return False
        log_leaving(incarnation, sender)
        self._resend_until_s[incarnation] = self._clock() + RESEND_S
        return True

    def _is_recent(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether a recent change of an endpoint has to reach all nodes."""
        return incarnation in self._resend_until_s

    def _is_granter(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether this node is the granter of an endpoint."""
        state = self._registry.find(incarnation.endpoint_id)
        return state is not None and self._granters.tenure_s(state.entry) > 0.0

    def _notify_granter(self, incarnation: EndpointIncarnation) -> None:
        """Send a changed rate to the endpoint's granter; other nodes do not need it."""
        state = self._registry.find(incarnation.endpoint_id)
        if state is None:
            return
        granter = self._granters.of(state.entry)
        if not self._granters.is_me(granter):
            self._send([incarnation], [granter.peer_address])

    def _push_targets(self) -> list[str]:
        """Return the peers to which new statements are sent at once."""
        return self._datagrams.sample_peers(MAX_PUSHED_PEERS) if self._datagrams else []

    def _send(self, incarnations: Iterable[EndpointIncarnation], receivers: list[str]) -> None:
        """Send reports on endpoints to peers."""
        if self._datagrams is None or not receivers:
            return
        now_s = self._clock()
        rows = [statement_rows.report_row(self.report(each), now_s) for each in incarnations]
        for start in range(0, len(rows), ROWS_PER_DATAGRAM):
            self._datagrams.send(Kind.RATES, rows[start : start + ROWS_PER_DATAGRAM], receivers)

    def _receive(self, rows: list, sender: str) -> None:
        """Merge a peer's reports."""
        now_s = self._clock()
        for row in rows:
            self.merge(statement_rows.read_report(row, now_s), sender)
