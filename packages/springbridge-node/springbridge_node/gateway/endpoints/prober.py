"""Tries engines to which no connection came up, so that no request has to wait for the attempt."""

import asyncio

from springbridge.routing.endpoint_registry import EngineBoard
from springbridge.routing.endpoint_state import EngineState

from springbridge_node import logs
from springbridge_node.gateway.endpoints.pool import EnginePool
from springbridge_node.gateway.http.http_connection import ConnectFailedError

INTERVAL_S = 0.25


class EngineProber:
    """Connects to unreachable engines until they answer; the connection is kept for a request."""

    def __init__(self, board: EngineBoard, pool: EnginePool) -> None:
        """Keep the board and the pool."""
        self._board = board
        self._pool = pool

    async def step(self) -> None:
        """Try every unreachable engine once."""
        await asyncio.gather(*(self._try(state) for state in self._board.unreachable_engines()))
        await asyncio.sleep(INTERVAL_S)

    async def _try(self, state: EngineState) -> None:
        """Try one engine."""
        try:
            await self._pool.warm(state.entry)
        except ConnectFailedError:
            return
        self._board.reached(state)
        logs.event("engine.reached", engine=state.entry.engine_id)
