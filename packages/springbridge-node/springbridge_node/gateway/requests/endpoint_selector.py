"""Who chooses the engine of an attempt: this node, or a scheduler that knows more."""

from collections.abc import Collection

from springbridge.routing.endpoint_choice import Chooser, by_shared_prompt, by_token_cost
from springbridge.routing.endpoint_registry import EngineBoard
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection, select

from springbridge_node.gateway.peers.coordinator_set import SchedulerSet
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.peers.remote_selection import AssignmentClient


class EngineSelector:
    """Selects engines: by the load of all nodes where this node or a scheduler knows that."""

    def __init__(
        self,
        board: EngineBoard,
        loads: LoadSharing,
        schedulers: SchedulerSet,
        client: AssignmentClient,
        chooser: Chooser | None = None,
    ) -> None:
        """Keep the parts.

        Args:
          chooser: Decides at this node whatever it knows; left out, what suits the knowledge.
        """
        self._board = board
        self._loads = loads
        self._schedulers = schedulers
        self._client = client
        self._chooser = chooser

    async def select(self, demand: Demand, tried: Collection[str]) -> Selection:
        """Return the engine for the next attempt, or why there is none."""
        if self._chooser is not None:
            return select(self._board, demand, tried, self._chooser)
        if self._schedulers.includes_me(demand.service):
            return select(self._board, demand, tried, by_token_cost)
        if demand.prompt_parts:
            attempt_id = self._loads.new_attempt_id()
            told = await self._client.ask(demand, tried, attempt_id)
            if told is not None:
                return told
        return select(self._board, demand, tried, by_shared_prompt)
