"""A poison request of the soak: it crashes each engine that runs it and is resent to random nodes.

It has its own random generator, so that the other faults of a seed stay the same.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.crashing import POISON_MARK
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import restart_engine

# Pause between two sends.
PAUSE_S = 0.7
# Shortest and longest time for which a crashed engine is down.
DOWN_S = (0.8, 2.0)
# Time for which the request runs before its engine crashes.
RUN_S = 0.05
# Time after the third crash in which nodes may not know of it yet, and the number of times that
# engines may get the request after that: the users' rule.
PROPAGATION_S, MAX_RETRIES = 3.0, 3
# Path of the request.
PATH = "/safe/x"


async def send_poison_forever(soak: Soak, rng: random.Random) -> None:
    """Send the poison request to random nodes until cancelled, whatever the answers."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_send(soak, rng.choice(soak.nodes).caller_address))
            await asyncio.sleep(PAUSE_S)


async def _send(soak: Soak, address: str) -> None:
    """Send the poison request once; errors are ignored."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        connection = await CallerConnection.open(address)
        try:
            response = await connection.ask(PATH, method="POST", body=POISON_MARK)
            soak.counts[f"poison {response.status}"] += 1
        finally:
            connection.close()


async def crash_engine(soak: Soak, name: str, on_end: Callable[[str], None]) -> None:
    """Crash an engine while it runs the request, and restart it after a while.

    Args:
      on_end: Called with the name of the engine when it crashes.
    """
    soak.poison_arrived_s.append(time.monotonic())
    soak.stamp("poison arrived", run=f"{name}/{soak.starts[name]}")
    await asyncio.sleep(RUN_S)
    if crash_and_restart(soak, name, on_end, len(soak.crashed_s) + 1):
        soak.crashed_s.append(time.monotonic())


def crash_and_restart(soak: Soak, name: str, on_end: Callable[[str], None], drawn_by: int) -> bool:
    """Crash an engine, and restart it later; return whether it was up.

    Args:
      on_end: Called with the name of the engine when it crashes.
      drawn_by: Seed of the time until it is restarted.
    """
    engine, proxy = soak.engines[name], soak.proxy_of(name)
    if not proxy.is_listening:
        return False
    proxy.stop()
    engine.stop()
    on_end(name)
    soak.stamp("poison crashed", run=f"{name}/{soak.starts[name]}")
    soak.start_background(_restart_later(soak, name, drawn_by))
    return True


async def _restart_later(soak: Soak, name: str, drawn_by: int) -> None:
    """Restart an engine after a random time."""
    await asyncio.sleep(random.Random(drawn_by).uniform(*DOWN_S))
    await restart_engine(soak, name)


def check_poison(soak: Soak) -> None:
    """Check that few engines got the request once it had crashed three of them."""
    if len(soak.crashed_s) < 3:
        return
    known_s = sorted(soak.crashed_s)[2] + PROPAGATION_S
    late = sum(at_s > known_s for at_s in soak.poison_arrived_s)
    if late > MAX_RETRIES:
        soak.violated(
            "a request that crashes engines is quarantined",
            f"{late} sends after the third crash was known",
        )
