"""A request of the soak that ends each engine which runs it, sent again and again at any node.

It draws from a source of chance of its own, so that it changes nothing of what a seed means for the
other harms.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.crashing import POISON_MARK
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import start_anew

# Seconds between two sends.
PAUSE_S = 0.7
# Seconds that an engine is down: from, to.
DOWN_S = (0.8, 2.0)
# Seconds for which a request runs before its engine ends.
RUNS_S = 0.05
# Seconds after the third end in which nodes may not know of it, and the retries that engines may
# get of the request after that: the users' rule.
IN_TOUCH_S, MOST_RETRIES = 3.0, 3
# What the request is sent to.
PATH = "/safe/x"


async def send_poison_forever(soak: Soak, rng: random.Random) -> None:
    """Send the request that ends engines at random nodes, whatever comes of it."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_send(soak, rng.choice(soak.nodes).callers))
            await asyncio.sleep(PAUSE_S)


async def _send(soak: Soak, address: str) -> None:
    """Send it once."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        connection = await CallerConnection.open(address)
        try:
            got = await connection.ask(PATH, method="POST", body=POISON_MARK)
            soak.counts[f"poison {got.status}"] += 1
        finally:
            connection.close()


async def end_engine(soak: Soak, name: str, ended: Callable[[str], None]) -> None:
    """End an engine under the request that runs there, and start it anew after a while.

    Args:
      ended: Called with the name of an engine that ends.
    """
    soak.poison_arrived_s.append(time.monotonic())
    await asyncio.sleep(RUNS_S)
    engine, proxy = soak.engines[name], soak.proxy_of(name)
    if not proxy.is_listening:
        return
    proxy.stop()
    engine.stop()
    ended(name)
    soak.ended_s.append(time.monotonic())
    soak.background(_start_anew(soak, name))


async def _start_anew(soak: Soak, name: str) -> None:
    """Start an engine again under its id and at its address, with another start in its entry."""
    await asyncio.sleep(random.Random(len(soak.ended_s)).uniform(*DOWN_S))
    await start_anew(soak, name)


def check_poison(soak: Soak) -> None:
    """Check that few engines got the request once it had ended three of them."""
    if len(soak.ended_s) < 3:
        return
    known_s = sorted(soak.ended_s)[2] + IN_TOUCH_S
    late = sum(at_s > known_s for at_s in soak.poison_arrived_s)
    if late > MOST_RETRIES:
        soak.violated("a request that ends engines is kept from them", f"{late} sends more")
