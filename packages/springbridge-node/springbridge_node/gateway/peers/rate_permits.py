"""Requests permits to use an endpoint from its granter, and grants them as the granter.

A request and its reply are one datagram each. Both carry what the sender knows of the endpoint's
rate limit, so that the newer statement decides. Without a reply in time there is no permit: two
granters that both grant would double the rate.
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

# Seconds after its start during which a node grants no permits to itself: it may not know the other
# members yet and take itself for the granter of every endpoint. Peers that request permits from it
# know it as a member, so they are answered.
SETTLE_S = 2.0
# Seconds for which the share of instances that this node reaches is cached, equal to the heartbeat
# interval. Computing it visits every member.
SHARE_CACHE_S = 0.25


class RatePermits:
    """Client and granter side of permit requests."""

    def __init__(
        self,
        table: RateTable,
        membership: Membership,
        registry: EndpointRegistry,
        granters: GranterSet,
        sharing: StatementSharing,
        clock: Callable[[], float],
    ) -> None:
        """Start without permits granted."""
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
        """Start sending and answering permit requests."""
        self._datagrams = datagrams
        datagrams.handle(Kind.PERMIT_REQUEST, self._handle_request)
        datagrams.handle(Kind.PERMIT_REPLY, self._receive_reply)
        datagrams.handle(Kind.PERMIT_BACK, self._receive_return)

    async def request(self, entry: EndpointEntry, priority: int, timeout_s: float) -> Grant | None:
        """Request a permit to send one request to an endpoint.

        Args:
          priority: Rank of the request, 0 most urgent.
          timeout_s: How long to wait for the granter's reply, in seconds.

        Returns:
          None if no granter is available or the granter did not reply in time.
        """
        incarnation = entry.incarnation
        granter = self._granters.responsive(entry)
        if granter is None:
            return None
        if self._granters.is_me(granter) or self._datagrams is None:
            return self._grant_to_self(incarnation, priority)

        def send(number: int) -> None:
            request = PermitRequest(number, priority, self._sharing.report(incarnation))
            row = statement_rows.request_row(request, self._clock())
            self._datagrams.send(Kind.PERMIT_REQUEST, row, [granter.peer_address])

        reply = await self._pending.request(send, timeout_s)
        if reply is None:
            self._granters.mark_silent(granter)
            return None
        self._sharing.merge(reply.report, granter.peer_address)
        return Grant(reply.answer is not PermitAnswer.SPENT, reply.wait_s)

    def give_back(self, entry: EndpointEntry) -> None:
        """Return a permit whose request certainly did not reach the endpoint."""
        granter = self._granters.of(entry)
        if self._granters.is_me(granter) or self._datagrams is None:
            self._grants.return_permit(entry.incarnation)
            return
        row = statement_rows.incarnation_row(entry.incarnation)
        self._datagrams.send(Kind.PERMIT_BACK, row, [granter.peer_address])

    def forget_gone(self) -> None:
        """Drop the state of endpoints that no longer have a rate limit."""
        limited = set(self._table.limited())
        self._grants.keep_only(limited)
        self._granters.keep_only({each.endpoint_id for each in limited})

    def _grant_to_self(self, incarnation: EndpointIncarnation, priority: int) -> Grant:
        """Decide on a permit for this node as the granter; refuse for SETTLE_S after the start."""
        settling_s = self._settled_s - self._clock()
        if settling_s > 0.0:
            return Grant(False, settling_s)
        return self._decide(incarnation, priority)

    def _decide(self, incarnation: EndpointIncarnation, priority: int) -> Grant:
        """Decide on a permit as the granter."""
        per_s = self._table.per_s(incarnation)
        if per_s is None:
            return Grant(True)
        part = granted_share(self._tenure_s(incarnation), self._reached_share())
        return self._grants.request(incarnation, per_s * part, priority)

    def _tenure_s(self, incarnation: EndpointIncarnation) -> float:
        """Return for how many seconds this node has been an endpoint's granter, 0 if it is not."""
        state = self._registry.find(incarnation.endpoint_id)
        return self._granters.tenure_s(state.entry) if state else 0.0

    def _reached_share(self) -> float:
        """Return the share of the instances that this node reaches, cached for SHARE_CACHE_S."""
        now_s = self._clock()
        if now_s >= self._share_until_s:
            self._share = self._membership.reached_share()
            self._share_until_s = now_s + SHARE_CACHE_S
        return self._share

    def _handle_request(self, row: list, sender: str) -> None:
        """Answer a peer's permit request."""
        request = statement_rows.read_request(row, self._clock())
        self._sharing.merge(request.report, sender)
        incarnation = request.report.incarnation
        grant = self._decide(incarnation, request.priority)
        reply = PermitReply(
            request.number,
            self._answer_for(grant, incarnation),
            grant.wait_s,
            self._sharing.report(incarnation),
        )
        self._datagrams.send(
            Kind.PERMIT_REPLY, statement_rows.reply_row(reply, self._clock()), [sender]
        )

    def _answer_for(self, grant: Grant, incarnation: EndpointIncarnation) -> PermitAnswer:
        if not grant.granted:
            return PermitAnswer.SPENT
        if self._table.per_s(incarnation) is None:
            return PermitAnswer.NO_RATE
        return PermitAnswer.GRANTED

    def _receive_reply(self, row: list, sender: str) -> None:
        """Pass a reply to the request that awaits it."""
        reply = statement_rows.read_reply(row, self._clock())
        self._pending.resolve(reply.number, reply)

    def _receive_return(self, row: list, sender: str) -> None:
        """Take back a permit that a peer did not use."""
        self._grants.return_permit(statement_rows.read_incarnation(row))
