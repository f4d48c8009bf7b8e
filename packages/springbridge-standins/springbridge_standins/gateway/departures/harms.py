"""Ways in which the runs of engines end while they stream; each harm ends one run, or a few."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from springbridge_standins.gateway.departures.rig import NODE_START_S, Rig

# Time for which a leaving engine serves on, in seconds: drainMs of the nodes and a little more.
DRAIN_S = 2.5
# Time for which an engine without an entry serves on, in seconds.
UNLISTED_S = 1.0
# Time after which the entry of an engine that crashed goes, in seconds.
LAPSE_S = 2.0
# Time between an engine's end and the next run at its address, in seconds.
NEXT_RUN_S = 0.1
# Time for which a node is frozen, and from its beginning to the engine's end, in seconds.
FROZEN_S, END_AFTER_S = 1.4, 0.3

# Time for which all nodes run between two restarts, in seconds.
FLEET_LIFE_S = 3.0

Harm = Callable[[Rig], Awaitable[None]]


async def calm(rig: Rig) -> None:
    """Do nothing."""


async def planned_end(rig: Rig) -> None:
    """An engine leaves, and ends as planned; another one takes its place."""
    engine = rig.take_engine()
    await rig.add_engine()
    await rig.list_engine(engine, "draining")
    engine.send_signal(signal.SIGUSR1)
    await asyncio.sleep(DRAIN_S)
    await engine.end(signal.SIGTERM)
    await rig.unlist(engine)


async def killed_while_leaving(rig: Rig) -> None:
    """An engine has just begun to leave when its process is killed, as one of spot machines."""
    engine = rig.take_engine()
    await rig.add_engine()
    await rig.list_engine(engine, "draining")
    engine.send_signal(signal.SIGUSR1)
    await asyncio.sleep(rig.rng.uniform(0.2, 1.5))
    await engine.end(signal.SIGKILL)
    await rig.unlist(engine)


async def unlisted_end(rig: Rig) -> None:
    """The entry of an engine goes, and the engine ends a little later."""
    engine = rig.take_engine()
    await rig.add_engine()
    await rig.unlist(engine)
    await asyncio.sleep(UNLISTED_S)
    await engine.end(signal.SIGTERM)


async def crash(rig: Rig) -> None:
    """An engine is killed; another one is listed meanwhile."""
    engine = rig.take_engine()
    await engine.end(signal.SIGKILL)
    await rig.add_engine()
    await asyncio.sleep(LAPSE_S)
    await rig.unlist(engine)


async def restart(rig: Rig) -> None:
    """An engine is killed, and a new run has its address right afterwards."""
    engine = rig.take_engine()
    await engine.end(signal.SIGKILL)
    await asyncio.sleep(NEXT_RUN_S)
    await rig.add_engine(engine.address)
    await rig.unlist(engine)


async def restart_under_frozen_node(rig: Rig) -> None:
    """A node stands still while an engine is killed and a new run takes its address."""
    node, engine = rig.rng.choice(rig.nodes), rig.take_engine()
    node.signal(signal.SIGSTOP)
    thawed = asyncio.create_task(asyncio.sleep(FROZEN_S))
    await asyncio.sleep(END_AFTER_S)
    await engine.end(signal.SIGKILL)
    await rig.add_engine(engine.address)
    await thawed
    node.signal(signal.SIGCONT)
    await rig.unlist(engine)


async def node_restart(rig: Rig) -> None:
    """A node is killed and started again, and an engine crashes."""
    node = rig.rng.choice(rig.nodes)
    node.signal(signal.SIGKILL)
    await node.wait_exit()
    await node.start()
    await node.wait_started(NODE_START_S)
    await crash(rig)


async def fleet_restart(rig: Rig) -> None:
    """All nodes are killed at once and started again; the engines run on."""
    await asyncio.sleep(FLEET_LIFE_S)
    for node in rig.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.gather(*(node.wait_exit() for node in rig.nodes))
    await asyncio.gather(*(node.start() for node in rig.nodes))
    await asyncio.gather(*(node.wait_started(NODE_START_S) for node in rig.nodes))


HARMS: dict[str, Harm] = {
    each.__name__: each
    for each in (
        calm,
        planned_end,
        killed_while_leaving,
        unlisted_end,
        crash,
        restart,
        restart_under_frozen_node,
        node_restart,
        fleet_restart,
    )
}
