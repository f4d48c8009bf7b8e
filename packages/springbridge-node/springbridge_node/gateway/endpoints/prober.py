"""Tries unreachable endpoints again, so that no request has to wait for the attempt."""

import asyncio

from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.endpoint_state import EndpointState

from springbridge_node import logs
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.http_connection import ConnectFailedError

# Seconds between two rounds. Short beside the seconds that an endpoint takes to come back, at one
# connection attempt each.
PROBE_INTERVAL_S = 0.25


class EndpointProber:
    """Connects to unreachable endpoints until they answer; the connection is kept for a request."""

    def __init__(self, registry: EndpointRegistry, pool: ConnectionPool) -> None:
        """Keep the registry and the pool."""
        self._registry = registry
        self._pool = pool

    async def step(self) -> None:
        """Try every unreachable endpoint once."""
        await asyncio.gather(
            *(self._try(state) for state in self._registry.unreachable_endpoints())
        )

    async def _try(self, state: EndpointState) -> None:
        """Try one endpoint."""
        try:
            await self._pool.warm(state.entry)
        except ConnectFailedError:
            # No line: its first failure was logged, and the next round tries it again.
            return
        self._registry.mark_reachable(state)
        logs.event("engine.reached", engine=state.entry.endpoint_id)
