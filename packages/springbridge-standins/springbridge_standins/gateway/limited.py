"""Stand-in engines that name in their answers the rate of requests that they take."""

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

# Seconds that an answer takes, so that several requests are under way at a time.
WORK_S = 0.03
# Number of the one event that a stream has.
ONLY_EVENT = 1


class LimitedEngines:
    """Engines of one service, and what arrived at each.

    Attributes:
      rates: The rate that an engine names now, in requests a second, by its number; it names none
        without an entry.
      arrived_s: When requests arrived at each engine, on the monotonic clock.
      named_s: When each engine first named a rate, on the same clock.
    """

    def __init__(self, service: str, count: int) -> None:
        """Start without a rate."""
        self.rates: dict[int, float | str] = {}
        self.arrived_s: list[list[float]] = [[] for _ in range(count)]
        self.named_s: dict[int, float] = {}
        self._service = service

    def scripts(self) -> dict[str, tuple[str, Script]]:
        """Return the scripts of the fleet; the service's usual engines are among them."""
        names = [f"i-{self._service}-{number + 1}" for number in range(len(self.arrived_s))]
        return {name: (self._service, self._script(number)) for number, name in enumerate(names)}

    def arrived_after(self, number: int, seconds: float) -> list[float]:
        """Return when requests arrived that came so long after an engine first named a rate."""
        first_s = self.named_s.get(number, float("inf"))
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
                self.named_s.setdefault(number, time.monotonic())
            if request.target.startswith(("/stream/", "/single/")):
                await connection.send(stream_head(request.request_id, **headers))
                await connection.send(chunk(event(ONLY_EVENT)))
                await connection.send(chunk(b""))
            else:
                await connection.send(answer(request.request_id, b"whole", **headers))

        return script


def most_in_window(arrived_s: list[float], seconds: float) -> int:
    """Return the most arrivals in any span of some seconds; they are in order."""
    return max(
        (
            bisect_right(arrived_s, first_s + seconds) - number
            for number, first_s in enumerate(arrived_s)
        ),
        default=0,
    )
