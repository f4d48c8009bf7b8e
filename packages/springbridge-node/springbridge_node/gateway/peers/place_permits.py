"""Requests places at brittle endpoints from their granters, and grants them as the granter.

A request, its reply and the end of the place are a datagram each. Without a reply in time there is
no place: the endpoint would be at risk.
"""

import asyncio
import itertools
from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.rates.granters import HANDOVER_S
from springbridge.rates.grants import Grant
from springbridge.rates.places import PlaceGrants, allowed_rejections
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointIncarnation

from springbridge_node.gateway.peers import place_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.place_rows import PlaceEnd, PlaceReply, PlaceRequest


class PlacePermits:
    """Client and granter side of places."""

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        granters: GranterSet,
        clock: Callable[[], float],
    ) -> None:
        """Start without places granted."""
        self._membership = membership
        self._registry = registry
        self._granters = granters
        self._grants = PlaceGrants(clock)
        self._pending: PendingReplies[PlaceReply] = PendingReplies()
        self._numbers = itertools.count()
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending and answering requests for places."""
        self._datagrams = datagrams
        datagrams.handle(Kind.PLACE_REQUEST, self._handle_request)
        datagrams.handle(Kind.PLACE_REPLY, self._receive_reply)
        datagrams.handle(Kind.PLACE_END, self._receive_end)

    def new_lease(self) -> str:
        """Return an id for a place that is unique in the fleet."""
        return f"{self._membership.me.incarnation}/{next(self._numbers)}"

    async def request(
        self, entry: EndpointEntry, lease: str, stated: float, timeout_s: float
    ) -> Grant | None:
        """Request a place; see PlaceRequest for the arguments.

        Args:
          timeout_s: How long to wait for the granter's reply, in seconds.

        Returns:
          None if no granter replied in time.
        """
        granter = self._granters.responsive(entry)
        if granter is None:
            return None
        if self._granters.is_me(granter) or self._datagrams is None:
            return self._decide(entry.incarnation, lease, stated)

        def send(number: int) -> None:
            row = place_rows.request_row(PlaceRequest(number, lease, stated, entry.incarnation))
            self._datagrams.send(Kind.PLACE_REQUEST, row, [granter.peer_address])

        try:
            reply = await self._pending.request(send, timeout_s)
        except asyncio.CancelledError:
            self.end(entry, lease, rejected=False)
            raise
        if reply is None:
            self._granters.mark_silent(granter)
            # It may have been granted all the same.
            self.end(entry, lease, rejected=False)
            return None
        return Grant(reply.granted, reply.wait_s)

    def end(self, entry: EndpointEntry, lease: str, rejected: bool) -> None:
        """Report the end of a request that had a place, to the granter and its substitute."""
        for granter in self._granters.ranked(entry):
            if self._granters.is_me(granter) or self._datagrams is None:
                self._grants.end(entry.incarnation, lease, rejected)
                continue
            row = place_rows.end_row(PlaceEnd(lease, rejected, entry.incarnation))
            self._datagrams.send(Kind.PLACE_END, row, [granter.peer_address])

    def keep_only(self, incarnations: set[EndpointIncarnation]) -> None:
        """Drop the places of all endpoints but the given ones."""
        self._grants.keep_only(incarnations)

    def _decide(self, incarnation: EndpointIncarnation, lease: str, stated: float) -> Grant:
        """Decide on a place as the granter."""
        state = self._registry.find(incarnation.endpoint_id)
        tenure_s = self._granters.tenure_s(state.entry) if state else 0.0
        share = self._membership.reached_share()
        allowed = allowed_rejections(stated, share, tenure_s >= HANDOVER_S)
        return self._grants.request(incarnation, lease, allowed)

    def _handle_request(self, row: list, sender: str) -> None:
        """Answer a peer's request."""
        request = place_rows.read_request(row)
        grant = self._decide(request.incarnation, request.lease, request.stated)
        reply = PlaceReply(request.number, grant.granted, grant.wait_s)
        self._datagrams.send(Kind.PLACE_REPLY, place_rows.reply_row(reply), [sender])

    def _receive_reply(self, row: list, sender: str) -> None:
        """Pass a reply to the request that awaits it."""
        reply = place_rows.read_reply(row)
        self._pending.resolve(reply.number, reply)

    def _receive_end(self, row: list, sender: str) -> None:
        """Record the end of a peer's request."""
        end = place_rows.read_end(row)
        self._grants.end(end.incarnation, end.lease, end.rejected)
