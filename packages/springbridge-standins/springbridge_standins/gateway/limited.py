"""Stand-in endpoints (engines) that announce a limit of their request rate in their answers."""

import asyncio
import time
from bisect import bisect_right

from springbridge_standins.gateway.engine import Script
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    event,
    stream_head,
)

# Time per answer, so that several requests are in progress at once.
WORK_S = 0.03
# Id of the single event of a stream.
ONLY_EVENT = 1


class LimitedEngines:
    """Engines of one service, their limits, and the arrivals at each.

    Attributes:
      rates: Limit that each engine announces now, in requests per second, by its number; without an
        entry it announces none.
      arrived_s: When requests arrived at each engine, on the monotonic clock.
      first_named_s: When each engine first announced a limit, on the same clock.
    """

    def __init__(self, service: str, count: int) -> None:
        """Start without any limit."""
        self.rates: dict[int, float | str] = {}
        self.arrived_s: list[list[float]] = [[] for _ in range(count)]
        self.first_named_s: dict[int, float] = {}
        self._service = service

    def scripts(self) -> dict[str, tuple[str, Script]]:
        """Return the engines' scripts by name, to start a fleet with."""
        names = [f"i-{self._service}-{number + 1}" for number in range(len(self.arrived_s))]
        return {name: (self._service, self._script(number)) for number, name in enumerate(names)}

    def arrived_after(self, number: int, seconds: float) -> list[float]:
        """Return the arrivals at an engine from some seconds after its first limit on."""
        first_s = self.first_named_s.get(number, float("inf"))
        return [at_s for at_s in self.arrived_s[number] if at_s >= first_s + seconds]

    def _script(self, number: int) -> Script:
        """Return the script of one engine."""

        async def script(request: RawRequest, connection: Connection) -> None:
            self.arrived_s[number].append(time.monotonic())
            await asyncio.sleep(WORK_S)
            rate = self.rates.get(number)
            headers = {}
            if rate is not None:
                headers["Server_Limit"] = str(rate)
                self.first_named_s.setdefault(number, time.monotonic())
            if request.target.startswith(("/stream/", "/single/")):
                await connection.send(stream_head(request.request_id, **headers))
                await connection.send(chunk(event(ONLY_EVENT)))
                await connection.send(chunk(b""))
            else:
                await connection.send(answer(request.request_id, b"whole", **headers))

        return script


def max_in_window(arrived_s: list[float], seconds: float) -> int:
    """Return the largest number of arrivals within any span of seconds; the times are sorted."""
    return max(
        (
            bisect_right(arrived_s, first_s + seconds) - number
            for number, first_s in enumerate(arrived_s)
        ),
        default=0,
    )
