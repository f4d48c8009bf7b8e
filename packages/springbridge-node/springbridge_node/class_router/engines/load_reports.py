"""The engines' own load reports, which lag; only the least-load baseline uses them."""

import asyncio
from collections.abc import Callable

from springbridge.classes.entities import Engine, EngineKind, Table

from springbridge_node.class_router.engines.engine_http import ModelClient

POLL_S = 0.5


class LoadReports:
    """The last load report of each engine."""

    def __init__(self, client: ModelClient, table: Callable[[], Table]):
        """Start with no report."""
        self._client = client
        self._table = table
        self._loads: dict[str, float] = {}

    def load(self, engine: Engine) -> float:
        """Return the last reported load of an engine; 0 where none came yet."""
        return self._loads.get(engine.name, 0.0)

    async def run(self) -> None:
        """Read the reports until cancelled."""
        while True:
            engines = self._table().engines.values()
            models = [engine for engine in engines if engine.kind is EngineKind.MODEL]
            await asyncio.gather(*(self._read(engine) for engine in models))
            await asyncio.sleep(POLL_S)

    async def _read(self, engine: Engine) -> None:
        try:
            self._loads[engine.name] = await self._client.reported_load(engine)
        except Exception:
            self._loads[engine.name] = float("inf")
