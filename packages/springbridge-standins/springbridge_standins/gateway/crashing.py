"""Stand-in endpoints (engines) that crash when they run a poison request, and are replaced later.

A request is poison by its body, or by a part of its prompt, whatever else it holds.

As on the platform, the entry of a crashed engine stays in the list for a moment, all its requests
fail with it, and its replacement at the same address has a new id.
"""

import asyncio
import time
from dataclasses import dataclass, field

from springbridge_standins.gateway.engine import EngineStandIn, Script
from springbridge_standins.gateway.fleet import Fleet
from springbridge_standins.http_wire import Connection, RawRequest, stream_head

# First bytes of the body of a poison request.
POISON_MARK = b"ends engines"
# Header with the parts of a request's prompt, of which the last is the request's own.
PROMPT_HEADER = "prefix-hash"
# Time from the arrival of a poison request to the crash of its engine.
CRASH_DELAY_S = 0.05
# Time for which the entry of a crashed engine stays in the list.
LISTED_S = 0.3
# Time from the crash until the replacement runs, unless a test sets another one.
RESTART_DELAY_S = 0.6


@dataclass
class CrashingEngines:
    """The engines of one service of a fleet, and when they crashed.

    Attributes:
      answers: Script that answers all other requests.
      arrived_s: When poison requests arrived at engines, on the monotonic clock.
      crashed_s: When engines crashed, on the same clock.
      fleet: The running fleet, to be set before the first crash.
      poison_parts: Ids of the parts of prompts that crash each engine which begins to answer them.
      sends_head: Whether an engine sends the head of an answer before it crashes.
      restart_s: Time from the crash of an engine until its replacement runs.
    """

    service: str
    answers: Script
    arrived_s: list[float] = field(default_factory=list)
    crashed_s: list[float] = field(default_factory=list)
    fleet: Fleet | None = None
    poison_parts: frozenset[str] = frozenset()
    sends_head: bool = False
    restart_s: float = RESTART_DELAY_S
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def scripts(self, count: int) -> dict[str, tuple[str, Script]]:
        """Return the scripts of count engines, by name."""
        return {
            f"i-{self.service}-{number}": (self.service, self.respond)
            for number in range(1, count + 1)
        }

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Answer a request, or crash the engine if it is a poison request."""
        if not self._is_poison(request):
            await self.answers(request, connection)
            return
        self.arrived_s.append(time.monotonic())
        if self.sends_head:
            await connection.send(stream_head(request.request_id))
        await asyncio.sleep(CRASH_DELAY_S)
        self.crash(request.headers["expected-instance"])

    def _is_poison(self, request: RawRequest) -> bool:
        """Return whether a request crashes the engine that runs it."""
        parts = request.headers.get(PROMPT_HEADER, "").split(",")[:-1]
        ids = {part.partition(":")[0] for part in parts}
        return request.body.startswith(POISON_MARK) or not self.poison_parts.isdisjoint(ids)

    def crash(self, name: str) -> None:
        """Crash an engine, and start a replacement at its address after restart_s."""
        engine = self.fleet.engines.pop(name, None)
        if engine is None:
            return
        engine.stop()
        self.crashed_s.append(time.monotonic())
        task = asyncio.ensure_future(self._start_replacement(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_replacement(self, old: EngineStandIn) -> None:
        """Remove the entry of a crashed engine, then start and list its replacement."""
        await asyncio.sleep(LISTED_S)
        await self.fleet.store.remove("servers", old.endpoint_id)
        await asyncio.sleep(self.restart_s - LISTED_S)
        name, _, starts = old.endpoint_id.partition("+")
        engine = EngineStandIn(f"{name}+{int(starts or 0) + 1}", self.respond)
        engine.address = old.address
        await engine.start()
        self.fleet.engines[engine.endpoint_id] = engine
        await self.fleet.list_engine(engine.endpoint_id, self.service)

    def stop(self) -> None:
        """Cancel pending replacements and stop all engines."""
        for task in self._tasks:
            task.cancel()
        for engine in self.fleet.engines.values():
            engine.stop()
