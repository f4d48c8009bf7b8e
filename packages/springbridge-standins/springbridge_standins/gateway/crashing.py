"""Engines that end as soon as they run a marked request, and come back after a while.

As on the platform, an engine that ends leaves its entry on the list for a moment, every request
that it has breaks with it, and the next one at its address has an id of its own.
"""

import asyncio
import time
from dataclasses import dataclass, field

from springbridge_standins.gateway.engine import EngineStandIn, Script
from springbridge_standins.gateway.fleet import Fleet
from springbridge_standins.http_wire import Connection, RawRequest

# Beginning of the body of a request that ends the engines that run it.
MARK = b"ends engines"
# Seconds from the arrival of such a request to the end of its engine.
RUNS_S = 0.05
# Seconds for which the entry of an engine that ended stays on the list.
LISTED_S = 0.3
# Seconds until another engine runs at the address.
DOWN_S = 0.6


@dataclass
class CrashingEngines:
    """The engines of one service of a fleet.

    Attributes:
      answers: How they answer other requests.
      arrived_s: When marked requests arrived at engines, on the monotonic clock.
      ended_s: When engines ended, on the same clock.
    """

    service: str
    answers: Script
    arrived_s: list[float] = field(default_factory=list)
    ended_s: list[float] = field(default_factory=list)
    fleet: Fleet | None = None
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def scripts(self, count: int) -> dict[str, tuple[str, Script]]:
        """Return the scripts of so many engines."""
        return {
            f"i-{self.service}-{number}": (self.service, self.respond)
            for number in range(1, count + 1)
        }

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Answer a request, or end under it."""
        if not request.body.startswith(MARK):
            await self.answers(request, connection)
            return
        self.arrived_s.append(time.monotonic())
        await asyncio.sleep(RUNS_S)
        self.end(request.headers["expected-instance"])

    def end(self, name: str) -> None:
        """End an engine, and let another one start at its address."""
        engine = self.fleet.engines.pop(name, None)
        if engine is None:
            return
        engine.stop()
        self.ended_s.append(time.monotonic())
        task = asyncio.ensure_future(self._start_anew(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_anew(self, old: EngineStandIn) -> None:
        """Take an engine from the list, and start the next one at its address."""
        await asyncio.sleep(LISTED_S)
        await self.fleet.store.remove("servers", old.endpoint_id)
        await asyncio.sleep(DOWN_S - LISTED_S)
        name, _, starts = old.endpoint_id.partition("+")
        engine = EngineStandIn(f"{name}+{int(starts or 0) + 1}", self.respond)
        engine.address = old.address
        await engine.start()
        self.fleet.engines[engine.endpoint_id] = engine
        await self.fleet.list_engine(engine.endpoint_id, self.service)

    def stop(self) -> None:
        """Start no further engines."""
        for task in self._tasks:
            task.cancel()
        for engine in self.fleet.engines.values():
            engine.stop()
