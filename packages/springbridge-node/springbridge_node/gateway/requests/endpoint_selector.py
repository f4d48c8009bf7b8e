"""Selects the endpoint of an attempt: at this instance, or by asking a coordinator that knows more.

An instance that hears of all requests for a service weighs their cost. One that does not asks a
coordinator, and if none answers, it goes by the prompt's shared part, which needs no knowledge of
the others' requests. The rules are in `springbridge.routing`; this module picks the one that suits.
"""

from collections.abc import Collection

from springbridge.routing.endpoint_choice import by_shared_prompt, by_token_cost
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection, select

from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.peers.selection_client import SelectionClient


class EndpointSelector:
    """Selects endpoints for the requests of this instance."""

    def __init__(
        self,
        registry: EndpointRegistry,
        loads: LoadSharing,
        coordinators: CoordinatorSet,
        client: SelectionClient,
    ) -> None:
        """Keep the parts."""
        self._registry = registry
        self._loads = loads
        self._coordinators = coordinators
        self._client = client

    async def select(
        self, demand: Demand, tried: Collection[str], held_back: Collection[str] = ()
    ) -> Selection:
        """Return the endpoint for the next attempt, or why there is none.

        Args:
          tried: Ids of the endpoints that no further attempt goes to.
          held_back: Ids of the endpoints whose rate is spent for this instance.
        """
        if self._coordinators.includes_self(demand.service):
            return select(self._registry, demand, tried, by_token_cost, held_back=held_back)
        # Without a prompt only the requests in flight count, so no coordinator is asked.
        if demand.prompt_parts:
            attempt_id = self._loads.new_attempt_id()
            selection = await self._client.select(demand, tried, attempt_id, held_back)
            if selection is not None:
                return selection
        return select(self._registry, demand, tried, by_shared_prompt, held_back=held_back)
