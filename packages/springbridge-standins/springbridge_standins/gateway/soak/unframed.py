"""Answers of the soak's engines that state no length: whole, or broken off at drawn bytes.

They have their own random generator, so that the other faults of a seed stay the same.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum, auto

from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import EngineStatements, restart_engine
from springbridge_standins.http_wire import Connection, unframed_head

# Share of answers that state no length, and of these the share that is broken off.
UNFRAMED_SHARE, BROKEN_SHARE = 0.25, 0.5
# Share of the answers that are broken off which end with the process of their engine.
PROCESS_SHARE = 0.1
# Longest piece that is sent at once, in bytes, and longest pause between two, in seconds.
MAX_PIECE_BYTES = 40
MAX_PAUSE_S = 0.01
# Seconds after which the last piece has surely come through the proxy of the engine.
ARRIVED_S = 0.02
# Shortest and longest time for which an engine is down whose process has ended.
DOWN_S = (0.3, 1.0)


class Ending(Enum):
    """How an answer that states no length ends.

    WHOLE: In order, after all of it. RESET: With a reset, anywhere. INSIDE_EVENT: In order, within
    an event of a stream. PROCESS: In order, anywhere, with all connections of its engine.
    """

    WHOLE = auto()
    RESET = auto()
    INSIDE_EVENT = auto()
    PROCESS = auto()


class UnframedAnswers:
    """Draws which answers of an engine state no length, and sends them."""

    def __init__(
        self, rng: random.Random, counts: Counter, end_process: Callable[[], Awaitable[bool]]
    ) -> None:
        """Keep the parts.

        Args:
          counts: Gets the number of answers by their ending.
          end_process: Ends the engine's process, and returns whether it did.
        """
        self._rng = rng
        self._counts = counts
        self._end_process = end_process

    def draw(self, is_stream: bool) -> Ending | None:
        """Return how the next answer ends, None for one that states its length or has chunks."""
        if self._rng.random() >= UNFRAMED_SHARE:
            return None
        if self._rng.random() >= BROKEN_SHARE:
            return Ending.WHOLE
        if self._rng.random() < PROCESS_SHARE:
            return Ending.PROCESS
        return Ending.INSIDE_EVENT if is_stream else Ending.RESET

    async def send(
        self,
        connection: Connection,
        request_id: str,
        parts: Sequence[bytes],
        ending: Ending,
        headers: dict[str, str],
    ) -> None:
        """Send an answer, in pieces of any size.

        Args:
          parts: The events of a stream, or the body.
        """
        self._counts[f"answers without a length, {ending.name}"] += 1
        body = b"".join(parts)
        stop = self._stop(parts, ending)
        await connection.send(unframed_head(request_id, **headers))
        sent = 0
        while sent < stop:
            size = min(self._rng.randint(1, MAX_PIECE_BYTES), stop - sent)
            await connection.send(body[sent : sent + size])
            sent += size
            await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)
        await asyncio.sleep(ARRIVED_S)
        if ending is Ending.PROCESS and await self._end_process():
            return
        if ending in (Ending.RESET, Ending.PROCESS):
            connection.reset()
        else:
            connection.close()

    def _stop(self, parts: Sequence[bytes], ending: Ending) -> int:
        """Return how many bytes of an answer are sent."""
        length = sum(map(len, parts))
        if ending is Ending.WHOLE:
            return length
        if ending is Ending.INSIDE_EVENT:
            torn = self._rng.randrange(len(parts))
            inside = self._rng.randint(1, len(parts[torn]) - 1)
            return sum(map(len, parts[:torn])) + inside
        return self._rng.randrange(length)


async def end_process(soak: Soak, statements: EngineStatements, name: str) -> bool:
    """End the process of an engine as the kernel does, and restart it after a while.

    Returns:
      False if the engine is down already, or leaves: then its end is as planned.
    """
    engine, proxy = soak.engines[name], soak.proxy_of(name)
    drains = soak.drains_until_s.get(name, 0.0) > time.monotonic()
    if not proxy.is_listening or name in statements.leaving or drains:
        return False
    proxy.end_in_order()
    engine.stop()
    statements.on_end(name)
    soak.counts["harm end_process"] += 1
    soak.stamp("process ended", run=f"{name}/{soak.starts[name]}")
    down_s = random.Random(soak.counts["harm end_process"]).uniform(*DOWN_S)
    soak.start_background(_restart_later(soak, name, down_s))
    return True


async def _restart_later(soak: Soak, name: str, down_s: float) -> None:
    """Restart an engine after some seconds."""
    await asyncio.sleep(down_s)
    await restart_engine(soak, name)
