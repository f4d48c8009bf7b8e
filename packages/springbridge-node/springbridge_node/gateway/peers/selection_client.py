"""Asking node's side of remote selection: asks a coordinator for an endpoint.

A node outside the coordinators sees its own requests only, so it asks one of them. It waits for the
reply no longer than ANSWER_S; without one it chooses alone and leaves that coordinator out for a
moment. What the node itself knows of an endpoint comes first: one that it cannot use is not taken.
"""

import asyncio
import itertools
from collections.abc import Collection

from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection

from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest

# Seconds to wait for a coordinator's reply. Measured with 40 ms on a fleet of 71 nodes whose 11
# engines crashed: 119 requests in 40 ms wrongly found two live coordinators silent.
ANSWER_S = 0.08


class SelectionClient:
    """Asks coordinators for endpoints."""

    def __init__(self, registry: EndpointRegistry, coordinators: CoordinatorSet) -> None:
        """Keep the parts.

        Args:
          registry: Has what this node knows of each endpoint.
        """
        self._registry = registry
        self._coordinators = coordinators
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[SelectionReply]] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to ask."""
        self._datagrams = datagrams
        datagrams.handle(Kind.SELECTION_REPLY, self._take_reply)

    async def ask(
        self, demand: Demand, tried: Collection[str], attempt_id: str
    ) -> Selection | None:
        """Return what a coordinator selects, or None if this node has to choose alone."""
        address = self._coordinators.first(demand.service)
        if address is None or self._datagrams is None:
            return None
        reply = await self._reply(address, demand, tried, attempt_id)
        if reply is None:
            self._coordinators.avoid(address)
            return None
        if reply.overload is not None:
            return Selection(None, reply.overload)
        usable = self._registry.candidates(demand.service, tried)
        state = next((each for each in usable if each.entry.endpoint_id == reply.endpoint_id), None)
        if state is None:
            return None
        source = self._registry.find(reply.source_id) if reply.source_id else None
        return Selection(Choice(state, source, reply.fetched_tokens, attempt_id, address))

    async def _reply(
        self, address: str, demand: Demand, tried: Collection[str], attempt_id: str
    ) -> SelectionReply | None:
        """Return a coordinator's reply, or None if it does not come in time."""
        number = next(self._numbers)
        avoided = self._registry.avoided(demand.service)
        request = SelectionRequest(number, attempt_id, list(tried), avoided, demand)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        self._datagrams.send(Kind.SELECTION_REQUEST, codec.request_row(request), [address])
        try:
            async with asyncio.timeout(ANSWER_S):
                return await fut
        except TimeoutError:
            # No line here: the caller leaves the coordinator out, and that is logged.
            return None
        finally:
            del self._waiting[number]

    def _take_reply(self, row: list, sender: str) -> None:
        """Hand a reply to the request that waits for it; a late one is of no use."""
        reply = codec.read_reply(row)
        fut = self._waiting.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(reply)
