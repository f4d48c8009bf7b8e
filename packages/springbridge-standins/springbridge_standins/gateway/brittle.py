"""Stand-in endpoints (engines) that are brittle: they crash if they reject too many requests."""

import asyncio
import time
from collections import deque

from springbridge_standins.gateway.engine import Script
from springbridge_standins.gateway.fleet import Fleet
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    event,
    stream_head,
)

# Seconds over which rejections are counted, and for which an engine is down after a crash.
WINDOW_S = 1.0
DOWN_S = 1.0
# Id of the single event of a stream.
ONLY_EVENT = 1


class BrittleEngines:
    """Engines of one service that say how many rejections a second they can stand.

    Attributes:
      places: Requests that each engine takes at once; fewer than the list says.
      crashes: How often each engine has crashed, by its number.
      busy_s: Seconds of work that all engines have done.
    """

    def __init__(
        self, service: str, count: int, rejections: int, places: int, work_s: float
    ) -> None:
        """Create engines that are brittle from the start."""
        self.places = places
        self.crashes = [0] * count
        self.busy_s = 0.0
        self.fleet: Fleet | None = None
        self._service = service
        self._rejections = rejections
        self._work_s = work_s
        self._running = [0] * count
        self._rejected_s: list[deque[float]] = [deque() for _ in range(count)]
        self._starts = [0] * count

    def scripts(self) -> dict[str, tuple[str, Script]]:
        """Return the engines' scripts by name, to start a fleet with."""
        return {
            self._name(number): (self._service, self._script(number))
            for number in range(len(self._running))
        }

    def _name(self, number: int) -> str:
        return f"i-{self._service}-{number + 1}"

    def _script(self, number: int) -> Script:
        """Return the script of one engine."""

        async def script(request: RawRequest, connection: Connection) -> None:
            if self._running[number] >= self.places:
                await self._reject(number, request, connection)
                return
            self._running[number] += 1
            began_s = time.monotonic()
            try:
                await asyncio.sleep(self._work_s)
                await self._answer(request, connection)
            finally:
                self._running[number] -= 1
                self.busy_s += time.monotonic() - began_s

        return script

    async def _answer(self, request: RawRequest, connection: Connection) -> None:
        """Answer a request, as a stream or plainly."""
        headers = {"Server_Brittle": str(self._rejections)}
        if request.target.startswith(("/stream/", "/single/")):
            await connection.send(stream_head(request.request_id, **headers))
            await connection.send(chunk(event(ONLY_EVENT)))
            await connection.send(chunk(b""))
        else:
            await connection.send(answer(request.request_id, b"whole", **headers))

    async def _reject(self, number: int, request: RawRequest, connection: Connection) -> None:
        """Reject a request for want of room, and crash if that was one too many."""
        now_s = time.monotonic()
        rejected_s = self._rejected_s[number]
        rejected_s.append(now_s)
        while rejected_s[0] < now_s - WINDOW_S:
            rejected_s.popleft()
        if len(rejected_s) > self._rejections:
            rejected_s.clear()
            self.crashes[number] += 1
            asyncio.ensure_future(self._crash(number))
            return
        headers = {"Not_Executed": "1", "Server_Brittle": str(self._rejections)}
        await connection.send(answer(request.request_id, b"", 503, signature="", **headers))

    async def _crash(self, number: int) -> None:
        """Be down for DOWN_S, then start anew."""
        engine = self.fleet.engines[self._name(number)]
        engine.stop()
        await asyncio.sleep(DOWN_S)
        self._starts[number] += 1
        await engine.start()
        await self.fleet.list_engine(
            self._name(number), self._service, slots=8, born=self._starts[number]
        )
