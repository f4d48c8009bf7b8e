"""Probes unreachable endpoints and lost paths in the background, so that no request waits."""

import asyncio
import random

from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.paths import PathTable

from springbridge_node import logs
from springbridge_node.gateway.endpoints.connector import EndpointConnector
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.http_connection import ConnectFailedError, NoDescriptorError

# Seconds between two rounds of probes, each one connection attempt for an endpoint. Short compared
# with the seconds that an endpoint takes to come back.
PROBE_INTERVAL_S = 0.25
# Endpoints probed in a round for each reason. Bounds the connections that an instance opens at once
# when many endpoints or paths are back.
MAX_PROBES = 16


class EndpointProber:
    """Connects to unreachable endpoints until one attempt succeeds, and keeps that connection."""

    def __init__(
        self,
        registry: EndpointRegistry,
        pool: ConnectionPool,
        connector: EndpointConnector,
        paths: PathTable,
    ) -> None:
        """Keep the parts."""
        self._registry = registry
        self._pool = pool
        self._connector = connector
        self._paths = paths

    async def step(self) -> None:
        """Probe the unreachable endpoints and the lost paths that are due, MAX_PROBES of each."""
        probes = [self._probe(state) for state in _some(self._registry.unreachable_endpoints())]
        probes += [self._verify(state) for state in _some(self._registry.reported_unreachable())]
        due = [self._registry.find(each.endpoint_id) for each in self._paths.due()[:MAX_PROBES]]
        probes += [self._probe_path(state) for state in due if state is not None]
        # Each is awaited to its end, whatever another one meets.
        results = await asyncio.gather(*probes, return_exceptions=True)
        for exc in results:
            if isinstance(exc, Exception):
                logs.fault(exc, "probe")

    async def _probe(self, state: EndpointState) -> None:
        """Probe an unreachable endpoint, and mark it as reached if a connection comes up."""
        try:
            await self._pool.warm(state.entry)
        except ConnectFailedError:
            # Not logged: its first failure was, and the next round probes it again.
            return
        self._registry.mark_reachable(state)
        logs.event("engine.reached", engine=state.entry.endpoint_id)

    async def _verify(self, state: EndpointState) -> None:
        """Verify a peer's report that an endpoint is unreachable."""
        try:
            await self._pool.warm(state.entry)
        except NoDescriptorError:
            # Nothing is known; the next round verifies the report again.
            return
        except ConnectFailedError:
            # Not logged: the report was.
            self._registry.mark_unreachable(state)
            return
        self._registry.mark_reachable(state)

    async def _probe_path(self, state: EndpointState) -> None:
        """Connect directly to an endpoint whose path is lost."""
        try:
            conn = await self._connector.connect_directly(state.entry)
        except ConnectFailedError:
            # Not logged: the loss was, and the path is probed again.
            return
        self._pool.add_idle(state.entry.incarnation, conn)


def _some(states: list[EndpointState]) -> list[EndpointState]:
    """Return MAX_PROBES of some endpoints, chosen at random."""
    return random.sample(states, min(MAX_PROBES, len(states)))
