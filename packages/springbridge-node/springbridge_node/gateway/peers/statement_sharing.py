"""Tells peers which endpoints name a rate or leave, and takes in what they tell.

The instance that gets an answer with something new tells up to PUSHED_PEERS at once; each that
hears of it first tells some more, so that a fleet of hundreds knows within a few round trips. All
pass it on at their beats for a short time, which makes up for lost datagrams. Of a rate, only the
granter of the endpoint goes on after that. Peers that start are told by a few nodes. While no
endpoint names a rate, leaves or asks for rest nothing is sent. A rest is told once: it is a hint to
the others, and its loss does no harm.
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
from springbridge_node.gateway.peers.gossip import PUSHED_PEERS
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.greeting import Greeting
from springbridge_node.gateway.peers.statement_changes_log import ANSWER, log_change, log_leaving
from springbridge_node.gateway.peers.statement_rows import ToldStatements

# Seconds for which a node passes on what came or ended. Six beats, as for news of crashes.
NEWS_S = 1.5
# Rows in one datagram; with about 60 bytes each it stays under 1 kB.
ROWS_PER_DATAGRAM = 16
# Shortest rest in seconds that is told. A shorter one is mostly over when the last peer hears of
# it.
LEAST_TOLD_REST_S = 1.0
# Seconds over which the instances return to an endpoint that has rested, so that they do not come
# at the same moment.
RETURN_SPREAD_S = 1.0


class StatementSharing:
    """Keeps this node and its peers informed of the statements of endpoints."""

    def __init__(
        self,
        table: RateTable,
        membership: Membership,
        registry: EndpointRegistry,
        granters: GranterSet,
        clock: Callable[[], float],
    ) -> None:
        """Keep the parts."""
        self._table = table
        self._membership = membership
        self._registry = registry
        self._granters = granters
        self._clock = clock
        self._datagrams: PeerDatagrams | None = None
        self._news_until_s: dict[EndpointIncarnation, float] = {}
        self._greeting = Greeting(membership)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to tell peers and to take in what they tell."""
        self._datagrams = datagrams
        datagrams.handle(Kind.RATES, self._take)

    def heard(self, incarnation: EndpointIncarnation, statement: Statement) -> None:
        """Take in what an answer said, and tell peers if a rate came, changed or ended."""
        if not self._merge(incarnation, statement, ANSWER):
            return
        if self._is_news(incarnation):
            self._send([incarnation], self._pushed_peers())
        else:
            self._tell_granter(incarnation)

    def heard_leaving(self, incarnation: EndpointIncarnation) -> None:
        """Tell peers that an endpoint leaves, as it has just said to this node.

        If a peer has told of it before, the others know as well.
        """
        said = self._registry.statements.find(incarnation)
        if said is not None and said.leaving.told_s is None:
            self._news_until_s[incarnation] = self._clock() + NEWS_S
            self._send([incarnation], self._pushed_peers())

    def heard_rest(self, incarnation: EndpointIncarnation, rest_s: float) -> None:
        """Tell peers of a rest that an endpoint asked this node for, unless one has told of it.

        Args:
          rest_s: The rest in seconds.
        """
        if rest_s < LEAST_TOLD_REST_S:
            return
        if self._registry.statements.told_rest(incarnation, rest_s, 0.0):
            self._send([incarnation], self._pushed_peers())

    def merge(self, told: ToldStatements, sender: str) -> None:
        """Take in what a peer tells, in a message of its own or in another one."""
        rate_is_new = self._merge(told.incarnation, told.statement, sender)
        leaving_is_new = told.leaves and self._told_leaving(told.incarnation, sender)
        rest_is_new = told.rest_s > 0.0 and self._told_rest(told)
        if leaving_is_new or rest_is_new or (rate_is_new and self._is_news(told.incarnation)):
            self._send([told.incarnation], self._membership.gossip_targets())

    def told(self, incarnation: EndpointIncarnation) -> ToldStatements:
        """Return what this node knows of an endpoint's statements."""
        known = self._table.statement(incarnation)
        if known is None:
            # Older than anything that another node may know.
            known = Statement(None, 0.0, 0.0)
        said = self._registry.statements.find(incarnation)
        if said is None:
            return ToldStatements(incarnation, known)
        rest_s = max(0.0, said.peers_rest_until_s - self._clock())
        return ToldStatements(incarnation, known, said.leaving.is_known, rest_s)

    async def beat(self) -> None:
        """Pass on what came or ended lately and what this node is the granter of."""
        self._granters.look()
        new_peers = self._greeting.new_peers()
        if new_peers:
            known = self._registry.known_incarnations()
            leaving = known.intersection(self._registry.statements.leaving())
            self._send({*self._table.named(), *leaving}, new_peers)
        if not self._news_until_s and not self._table.named():
            return
        now_s = self._clock()
        self._news_until_s = {
            each: until_s for each, until_s in self._news_until_s.items() if until_s > now_s
        }
        mine = [each for each in self._table.named() if self._grants(each)]
        told = {*self._news_until_s, *mine}
        if told:
            self._send(told, self._membership.gossip_targets())

    def _merge(self, incarnation: EndpointIncarnation, statement: Statement, source: str) -> bool:
        """Take in a statement, and return whether a rate came, changed or ended."""
        was_limited = incarnation in self._table.named()
        change = self._table.take(incarnation, statement)
        if change is None:
            return False
        log_change(change, source, self._clock() - statement.received_s)
        if was_limited != (change.after is not None):
            self._news_until_s[incarnation] = self._clock() + NEWS_S
        return True

    def _told_rest(self, told: ToldStatements) -> bool:
        """Take in that an endpoint rests from a peer, and return whether that is new."""
        if not self._is_listed(told.incarnation):
            return False
        spread_s = RETURN_SPREAD_S * random.random()
        return self._registry.statements.told_rest(told.incarnation, told.rest_s, spread_s)

    def _is_listed(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether something is kept of an endpoint.

        Of others nothing is: a faulty peer could tell of any number.
        """
        state = self._registry.find(incarnation.endpoint_id)
        return state is not None and state.entry.incarnation == incarnation

    def _told_leaving(self, incarnation: EndpointIncarnation, sender: str) -> bool:
        """Take in that an endpoint leaves, and return whether that is new."""
        if not self._is_listed(incarnation):
            return False
        if not self._registry.statements.told_leaving(incarnation):
            return False
        log_leaving(incarnation.endpoint_id, sender)
        self._news_until_s[incarnation] = self._clock() + NEWS_S
        return True

    def _is_news(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether something came or ended lately that all nodes have to know."""
        return incarnation in self._news_until_s

    def _grants(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether this node is the granter of an endpoint."""
        state = self._registry.find(incarnation.endpoint_id)
        return state is not None and self._granters.tenure_s(state.entry) > 0.0

    def _tell_granter(self, incarnation: EndpointIncarnation) -> None:
        """Tell the granter of another figure; nobody else needs it."""
        state = self._registry.find(incarnation.endpoint_id)
        if state is None:
            return
        granter = self._granters.of(state.entry)
        if not self._granters.is_me(granter):
            self._send([incarnation], [granter.peer_address])

    def _pushed_peers(self) -> list[str]:
        """Return the peers that are told at once."""
        return self._datagrams.sample_peers(PUSHED_PEERS) if self._datagrams else []

    def _send(self, incarnations: Iterable[EndpointIncarnation], receivers: list[str]) -> None:
        """Send statements to peers."""
        if self._datagrams is None or not receivers:
            return
        now_s = self._clock()
        rows = [statement_rows.told_row(self.told(each), now_s) for each in incarnations]
        for start in range(0, len(rows), ROWS_PER_DATAGRAM):
            self._datagrams.send(Kind.RATES, rows[start : start + ROWS_PER_DATAGRAM], receivers)

    def _take(self, rows: list, sender: str) -> None:
        """Take in what a peer tells."""
        now_s = self._clock()
        for row in rows:
            self.merge(statement_rows.read_told(row, now_s), sender)
