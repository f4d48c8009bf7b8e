"""Selects the endpoint of an attempt, at this instance or through a coordinator of the service.

A coordinator receives the load of all requests for its service and selects by their token cost. Any
other instance sends the selection to a coordinator. If none answers, it selects by the prompt's
shared part, which needs no knowledge of other instances' requests. The rules are in
`springbridge.routing`; this module picks the one that applies.
"""

from collections.abc import Collection
from functools import partial

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
        self,
        demand: Demand,
        tried: Collection[str],
        held_back: Collection[str] = (),
        version: str | None = None,
    ) -> Selection:
        """Return the endpoint for the next attempt, or why there is none.

        Args:
          tried: Ids of the endpoints that no further attempt goes to.
          held_back: Ids of the endpoints whose rate limit is exhausted for this instance.
          version: Version at which a stream has to go on; None for a request that any may serve.
        """
        choose = partial(select, self._registry, demand, tried, held_back=held_back)
        if self._coordinators.includes_self(demand.service):
            return choose(by_token_cost, version=version)
        # A request without a prompt is selected by requests in flight, which needs no coordinator;
        # coordinators of older builds know no versions, so none is asked for one.
        if demand.prompt_parts and version is None:
            attempt_id = self._loads.new_attempt_id()
            selection = await self._client.select(demand, tried, attempt_id, held_back)
            if selection is not None:
                return selection
        return choose(by_shared_prompt, version=version)
