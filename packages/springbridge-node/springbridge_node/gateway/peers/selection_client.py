"""Asking node's side of remote selection: asks a coordinator for an endpoint.

A node outside the coordinators sees its own requests only, so it asks one of them. It waits for the
reply no longer than ANSWER_S; without one it chooses alone and leaves that coordinator out for a
moment. What the node itself knows of an endpoint comes first: one that it cannot use is not taken.
"""

from collections.abc import Collection

from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection

from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest


class SelectionClient:
    """Asks coordinators for endpoints."""

    def __init__(self, registry: EndpointRegistry, coordinators: CoordinatorSet) -> None:
        """Keep the parts.

        Args:
          registry: Has what this node knows of each endpoint.
        """
        self._registry = registry
        self._coordinators = coordinators
        self._pending: PendingReplies[SelectionReply] = PendingReplies()
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to ask."""
        self._datagrams = datagrams
        datagrams.handle(Kind.SELECTION_REPLY, self._take_reply)

    async def ask(
        self,
        demand: Demand,
        tried: Collection[str],
        attempt_id: str,
        held_back: Collection[str] = (),
    ) -> Selection | None:
        """Return what a coordinator selects, or None if this node has to choose alone.

        Args:
          held_back: Ids of the endpoints whose rate is spent for this node.
        """
        address = self._coordinators.first(demand.service)
        if address is None or self._datagrams is None:
            return None
        avoided = {*self._registry.avoided(demand.service), *held_back}
        reply = await self._reply(address, demand, tried, attempt_id, sorted(avoided))
        if reply is None:
            self._coordinators.avoid(address)
            return None
        if reply.overload is not None:
            return Selection(None, reply.overload)
        usable = self._registry.candidates(demand.service, {*tried, *held_back})
        state = next((each for each in usable if each.entry.endpoint_id == reply.endpoint_id), None)
        if state is None:
            return None
        source = self._registry.find(reply.source_id) if reply.source_id else None
        return Selection(Choice(state, source, reply.fetched_tokens, attempt_id, address))

    async def _reply(
        self,
        address: str,
        demand: Demand,
        tried: Collection[str],
        attempt_id: str,
        avoided: list[str],
    ) -> SelectionReply | None:
        """Return a coordinator's reply, or None if it does not come in time."""

        def send(number: int) -> None:
            request = SelectionRequest(number, attempt_id, list(tried), avoided, demand)
            self._datagrams.send(Kind.SELECTION_REQUEST, codec.request_row(request), [address])

        return await self._pending.ask(send)

    def _take_reply(self, row: list, sender: str) -> None:
        """Hand a reply to the request that waits for it."""
        reply = codec.read_reply(row)
        self._pending.take(reply.number, reply)
