"""Asks the granter of an endpoint for a permit to send it a request, or answers as the granter.

A question and its answer are one datagram each, and carry what either node knows of the rate, so
that the newer statement decides. Without an answer in time there is no permit: two granters that
both grant would double the rate.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.rates.granters import granted_share
from springbridge.rates.grants import Grant, RateGrants
from springbridge.rates.rate_table import RateTable
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointIncarnation

from springbridge_node.gateway.peers import statement_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.statement_rows import PermitAnswer, PermitReply, PermitRequest
from springbridge_node.gateway.peers.statement_sharing import StatementSharing

# Seconds from its start in which a node does not grant to itself: it may not know yet who else is
# there, and take itself for the granter of everything. Peers that ask it know of it.
SETTLE_S = 2.0
# Seconds for which the part of the instances that this node reaches is kept, the interval of the
# heartbeats: to work it out takes a look at every member.
SHARE_KEPT_S = 0.25


class RatePermits:
    """Both sides of the question."""

    def __init__(
        self,
        table: RateTable,
        membership: Membership,
        registry: EndpointRegistry,
        granters: GranterSet,
        sharing: StatementSharing,
        clock: Callable[[], float],
    ) -> None:
        """Keep the parts; nothing is granted yet."""
        self._table = table
        self._membership = membership
        self._registry = registry
        self._granters = granters
        self._sharing = sharing
        self._clock = clock
        self._grants = RateGrants(clock)
        self._settled_s = clock() + SETTLE_S
        self._pending: PendingReplies[PermitReply] = PendingReplies()
        self._datagrams: PeerDatagrams | None = None
        self._share = 1.0
        self._share_until_s = float("-inf")

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to ask and to answer."""
        self._datagrams = datagrams
        datagrams.handle(Kind.PERMIT_REQUEST, self._answer)
        datagrams.handle(Kind.PERMIT_REPLY, self._take_reply)
        datagrams.handle(Kind.PERMIT_BACK, self._take_back)

    async def ask(self, entry: EndpointEntry, priority: int, longest_s: float) -> Grant | None:
        """Return whether a request may be sent to an endpoint, None if its granter is silent.

        Args:
          longest_s: How long to wait for the granter, in seconds.
        """
        incarnation = entry.incarnation
        granter = self._granters.to_ask(entry)
        if granter is None:
            return None
        if self._granters.is_me(granter) or self._datagrams is None:
            return self._ask_myself(incarnation, priority)

        def send(number: int) -> None:
            request = PermitRequest(number, priority, self._sharing.told(incarnation))
            row = statement_rows.request_row(request, self._clock())
            self._datagrams.send(Kind.PERMIT_REQUEST, row, [granter.peer_address])

        reply = await self._pending.ask(send, longest_s)
        if reply is None:
            self._granters.silent(granter)
            return None
        self._sharing.merge(reply.told, granter.peer_address)
        return Grant(reply.answer is not PermitAnswer.SPENT, reply.wait_s)

    def give_back(self, entry: EndpointEntry) -> None:
        """Give back a permit whose request surely did not reach the endpoint."""
        granter = self._granters.of(entry)
        if self._granters.is_me(granter) or self._datagrams is None:
            self._grants.return_permit(entry.incarnation)
            return
        row = statement_rows.incarnation_row(entry.incarnation)
        self._datagrams.send(Kind.PERMIT_BACK, row, [granter.peer_address])

    def forget_gone(self) -> None:
        """Forget the permits of endpoints that have no rate any more."""
        limited = set(self._table.limited())
        self._grants.keep_only(limited)
        self._granters.forget_all_but({each.endpoint_id for each in limited})

    def _ask_myself(self, incarnation: EndpointIncarnation, priority: int) -> Grant:
        """Grant a permit to this node or not."""
        settling_s = self._settled_s - self._clock()
        if settling_s > 0.0:
            return Grant(False, settling_s)
        return self._decide(incarnation, priority)

    def _decide(self, incarnation: EndpointIncarnation, priority: int) -> Grant:
        """Grant a permit or not, as the granter."""
        per_s = self._table.per_s(incarnation)
        if per_s is None:
            return Grant(True)
        part = granted_share(self._tenure_s(incarnation), self._reached_share())
        return self._grants.request(incarnation, per_s * part, priority)

    def _tenure_s(self, incarnation: EndpointIncarnation) -> float:
        """Return for how many seconds this node has been the granter of an endpoint."""
        state = self._registry.find(incarnation.endpoint_id)
        return self._granters.tenure_s(state.entry) if state else 0.0

    def _reached_share(self) -> float:
        """Return the part of the rate that this node may grant."""
        now_s = self._clock()
        if now_s >= self._share_until_s:
            self._share = self._membership.reached_share()
            self._share_until_s = now_s + SHARE_KEPT_S
        return self._share

    def _answer(self, row: list, sender: str) -> None:
        """Answer a node's question."""
        request = statement_rows.read_request(row, self._clock())
        self._sharing.merge(request.told, sender)
        incarnation = request.told.incarnation
        grant = self._decide(incarnation, request.priority)
        reply = PermitReply(
            request.number,
            self._answer_of(grant, incarnation),
            grant.wait_s,
            self._sharing.told(incarnation),
        )
        self._datagrams.send(
            Kind.PERMIT_REPLY, statement_rows.reply_row(reply, self._clock()), [sender]
        )

    def _answer_of(self, grant: Grant, incarnation: EndpointIncarnation) -> PermitAnswer:
        if not grant.granted:
            return PermitAnswer.SPENT
        if self._table.per_s(incarnation) is None:
            return PermitAnswer.NO_RATE
        return PermitAnswer.GRANTED

    def _take_reply(self, row: list, sender: str) -> None:
        """Hand a reply to the request that waits for it."""
        reply = statement_rows.read_reply(row, self._clock())
        self._pending.take(reply.number, reply)

    def _take_back(self, row: list, sender: str) -> None:
        """Take back a permit."""
        self._grants.return_permit(statement_rows.read_incarnation(row))
