"""Who chooses the endpoint of an attempt: this node, or a coordinator that knows more."""

from collections.abc import Collection

from springbridge.routing.endpoint_choice import Chooser, by_shared_prompt, by_token_cost
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection, select

from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.peers.selection_client import SelectionClient


class EndpointSelector:
    """Selects endpoints: by the load of all nodes where this node or a coordinator knows that."""

    def __init__(
        self,
        registry: EndpointRegistry,
        loads: LoadSharing,
        coordinators: CoordinatorSet,
        client: SelectionClient,
        chooser: Chooser | None = None,
    ) -> None:
        """Keep the parts.

        Args:
          chooser: Decides at this node whatever it knows; left out, what suits the knowledge.
        """
        self._registry = registry
        self._loads = loads
        self._coordinators = coordinators
        self._client = client
        self._chooser = chooser

    async def select(self, demand: Demand, tried: Collection[str]) -> Selection:
        """Return the endpoint for the next attempt, or why there is none."""
        if self._chooser is not None:
            return select(self._registry, demand, tried, self._chooser)
        if self._coordinators.includes_me(demand.service):
            return select(self._registry, demand, tried, by_token_cost)
        if demand.prompt_parts:
            attempt_id = self._loads.new_attempt_id()
            told = await self._client.ask(demand, tried, attempt_id)
            if told is not None:
                return told
        return select(self._registry, demand, tried, by_shared_prompt)
