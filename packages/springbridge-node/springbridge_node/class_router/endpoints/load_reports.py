"""Polls the load that endpoints report, which lags; used by the least-load baseline only."""

import asyncio
from collections.abc import Callable

from springbridge.classes.entities import Endpoint, EndpointKind, Table

from springbridge_node.class_router.endpoints.model_client import ModelClient

# Interval of polling load reports.
POLL_INTERVAL_S = 0.5


class LoadReports:
    """The last load report of each endpoint."""

    def __init__(self, client: ModelClient, table: Callable[[], Table]):
        """Start without reports."""
        self._client = client
        self._table = table
        self._loads: dict[str, float] = {}

    def load(self, endpoint: Endpoint) -> float:
        """Return the last reported load of an endpoint, 0 before the first report."""
        return self._loads.get(endpoint.name, 0.0)

    async def run(self) -> None:
        """Poll the reports until cancelled."""
        while True:
            endpoints = self._table().endpoints.values()
            models = [endpoint for endpoint in endpoints if endpoint.kind is EndpointKind.MODEL]
            await asyncio.gather(*(self._read(endpoint) for endpoint in models))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read(self, endpoint: Endpoint) -> None:
        try:
            self._loads[endpoint.name] = await self._client.reported_load(endpoint)
        except Exception:
            # An endpoint that does not report counts as full until it does. Not logged: that would
            # be a line for each unavailable endpoint, twice a second, and only for a baseline.
            self._loads[endpoint.name] = float("inf")
