"""Client side of remote selection: asks a coordinator to select an endpoint.

A node that is no coordinator sees the load of its own requests only, so it asks a coordinator. If
no reply comes within REPLY_TIMEOUT_S, the node selects an endpoint itself and skips that
coordinator for a short time. The node's own knowledge of an endpoint takes precedence: a selected
endpoint that this node cannot use is not taken.
"""

from collections.abc import Collection

from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection

from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest


class SelectionClient:
    """Asks coordinators to select endpoints."""

    def __init__(self, registry: EndpointRegistry, coordinators: CoordinatorSet) -> None:
        """Create a client that selects nothing until connect() is called.

        Args:
          registry: The state of each endpoint as this node knows it.
        """
        self._registry = registry
        self._coordinators = coordinators
        self._pending: PendingReplies[SelectionReply] = PendingReplies()
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending requests over these datagrams."""
        self._datagrams = datagrams
        datagrams.handle(Kind.SELECTION_REPLY, self._receive_reply)

    async def select(
        self,
        demand: Demand,
        tried: Collection[str],
        attempt_id: str,
        held_back: Collection[str] = (),
    ) -> Selection | None:
        """Return a coordinator's selection, or None if this node has to select by itself.

        Args:
          tried: Ids of the endpoints that have had the request already.
          held_back: Ids of the endpoints whose rate limit is exhausted for this node.
        """
        address = self._coordinators.preferred(demand.service)
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
        source = self._source(reply, state)
        fetched_tokens = reply.fetched_tokens if source else 0
        return Selection(Choice(state, source, fetched_tokens, attempt_id, address))

    def _source(self, reply: SelectionReply, state: EndpointState) -> EndpointState | None:
        """Return the endpoint to fetch from, None if it is unknown or of another version.

        Coordinators of older builds know no versions.
        """
        source = self._registry.find(reply.source_id) if reply.source_id else None
        if source is None or source.entry.version != state.entry.version:
            return None
        return source

    async def _reply(
        self,
        address: str,
        demand: Demand,
        tried: Collection[str],
        attempt_id: str,
        avoided: list[str],
    ) -> SelectionReply | None:
        """Return a coordinator's reply, or None if none comes within REPLY_TIMEOUT_S."""

        def send(number: int) -> None:
            request = SelectionRequest(number, attempt_id, list(tried), avoided, demand)
            self._datagrams.send(Kind.SELECTION_REQUEST, codec.request_row(request), [address])

        return await self._pending.request(send)

    def _receive_reply(self, row: list, sender: str) -> None:
        """Pass a reply to the request that awaits it."""
        reply = codec.read_reply(row)
        self._pending.resolve(reply.number, reply)
