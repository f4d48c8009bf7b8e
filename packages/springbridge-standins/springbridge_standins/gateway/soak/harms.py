"""What the soak does to nodes, links, store and engines; the harms overlap."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator

from springbridge_standins.gateway.duties import DutyFault
from springbridge_standins.gateway.fleet import configuration
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.store import StoreFault
from springbridge_standins.proxy import ConnectionFault, LoopbackProxy

# Time that a node process takes to start and find its peers, with room for a busy machine.
START_S = 2.0
# The grace of a planned stop in the nodes' settings.
GRACE_S = 6.0
# Room beyond the grace for a process to end.
END_S = 2.0
# Seconds between two copies, and how many of them back the store comes at most.
COPY_S = 1.0
OLDEST_COPIES = 4
# Seconds within which operators and endpoints have written again what the store lost.
WRITTEN_AGAIN_S = 2.0
# Longest pause between the beginnings of two harms; they last longer, so they overlap.
LONGEST_PAUSE_S = 1.2
# Longest time of a harm that ends by itself.
LONGEST_HARM_S = 3
# Share of the store's faults after which the feed no longer reaches back.
HISTORY_LOST_SHARE = 0.3
# Versions and reload signals that follow each other without a pause to settle.
CHANGES_IN_SERIES = 5


async def harm_forever(soak: Soak) -> None:
    """Do harm again and again; the harms overlap."""
    harms = (
        _harm_engine_link,
        _harm_store_link,
        _harm_store,
        _kill_node,
        _freeze_node,
        _stop_node,
        _reload_node,
        _change_configuration,
        _change_in_series,
        _stop_nodes_in_turn,
        _drain_engine,
        _store_from_older_copy,
        _harm_duties,
    )
    async with asyncio.TaskGroup() as group:
        while True:
            harm = soak.rng.choice(harms)
            soak.counts[f"harm {harm.__name__.strip('_')}"] += 1
            group.create_task(harm(soak))
            await asyncio.sleep(soak.rng.random() * LONGEST_PAUSE_S)


async def _harm_engine_link(soak: Soak) -> None:
    await _harm_link(soak, soak.engine_proxies)


async def _harm_store_link(soak: Soak) -> None:
    await _harm_link(soak, soak.store_proxies)


async def _harm_link(soak: Soak, proxies: list[LoopbackProxy]) -> None:
    """Harm one link for a while."""
    proxy = soak.rng.choice(proxies)
    proxy.fault = soak.rng.choice(
        [harm for harm in ConnectionFault if harm is not ConnectionFault.NONE]
    )
    await asyncio.sleep(soak.rng.random() * LONGEST_HARM_S)
    proxy.fault = ConnectionFault.NONE


async def _harm_store(soak: Soak) -> None:
    """Let the store fail for all."""
    soak.store.fault = soak.rng.choice(
        [fault for fault in StoreFault if fault is not StoreFault.NONE]
    )
    if soak.rng.random() < HISTORY_LOST_SHARE:
        soak.store.history_lost_before = soak.store.version
    await asyncio.sleep(soak.rng.random() * LONGEST_HARM_S)
    soak.store.fault = StoreFault.NONE


async def _kill_node(soak: Soak) -> None:
    """Kill a node and start it again."""
    async with _free_node(soak) as node:
        if node is not None:
            node.signal(signal.SIGKILL)
            await node.ended()
            await asyncio.sleep(soak.rng.random())
            await node.start()
            await asyncio.sleep(START_S)


async def _freeze_node(soak: Soak) -> None:
    """Freeze a node and let it go on."""
    async with _free_node(soak) as node:
        if node is not None:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.random() * LONGEST_HARM_S)
            node.signal(signal.SIGCONT)


async def _stop_node(soak: Soak) -> None:
    """Stop a node as planned work does; it has to end by itself within the grace."""
    async with _free_node(soak) as node:
        if node is None:
            return
        node.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + END_S):
                status = await node.ended()
            if status and not _was_still_starting(node, status):
                soak.violated("a planned stop ends well", f"{node.name} status {status}")
        except TimeoutError:
            soak.violated("a planned stop ends in its grace", node.name)
            node.signal(signal.SIGKILL)
            await node.ended()
        await node.start()
        await asyncio.sleep(START_S)


def _was_still_starting(node: NodeProcess, status: int) -> bool:
    """Return whether the signal ended a process that had nothing to cut off yet.

    On a busy machine an interpreter takes longer to start than the harms wait; the signal comes
    before the program can handle it.
    """
    return status == -signal.SIGTERM and not node.had_started()


async def _reload_node(soak: Soak) -> None:
    """Change a settings file, with a signal or without."""
    node = soak.rng.choice(soak.nodes)
    node.touch_settings()
    if soak.rng.random() < 0.5 and not node.busy:
        node.signal(signal.SIGHUP)


async def _change_configuration(soak: Soak) -> None:
    """Write a new version that allows the same."""
    soak.version += soak.rng.randint(1, 3)
    await soak.store.put("op", "config", configuration(soak.version))


async def _change_in_series(soak: Soak) -> None:
    """Write versions and send reload signals in quick succession."""
    for _ in range(CHANGES_IN_SERIES):
        await _change_configuration(soak)
        await _reload_node(soak)
        await asyncio.sleep(soak.rng.random() * 0.2)


async def _stop_nodes_in_turn(soak: Soak) -> None:
    """Stop one node after another, the next while the one before still ends."""
    async with asyncio.TaskGroup() as group:
        for _ in soak.nodes:
            group.create_task(_stop_node(soak))
            await asyncio.sleep(soak.rng.random() * 1.5)


async def _drain_engine(soak: Soak) -> None:
    """Let an engine say that it leaves, and come back."""
    name = soak.rng.choice(sorted(soak.engines))
    await soak.list_engine(name, "draining")
    await asyncio.sleep(1 + soak.rng.random() * 2)
    await soak.list_engine(name, "ready")


async def copy_forever(soak: Soak) -> None:
    """Take copies that the store may come back from."""
    while True:
        soak.store.take_copy()
        await asyncio.sleep(COPY_S)


async def _store_from_older_copy(soak: Soak) -> None:
    """Let the store come back from a copy some seconds old; others write again what they wrote."""
    lost = await soak.store.restore_older_copy(-soak.rng.randint(1, OLDEST_COPIES))
    older = {(row.table, row.key): soak.store.value_of(row.table, row.key) for row in lost}
    await asyncio.sleep(soak.rng.random() * WRITTEN_AGAIN_S)
    for row in lost:
        # Unless somebody has written something newer there meanwhile.
        if soak.store.value_of(row.table, row.key) == older[row.table, row.key]:
            await soak.store.put_content(row.table, row.key, row.value)


async def _harm_duties(soak: Soak) -> None:
    """Let duty calls fail for a while."""
    faults = [fault for fault in DutyFault if fault is not DutyFault.NONE]
    soak.duties.fault = soak.rng.choice(faults)
    await asyncio.sleep(soak.rng.random() * LONGEST_HARM_S)
    soak.duties.fault = DutyFault.NONE


@contextlib.asynccontextmanager
async def _free_node(soak: Soak) -> AsyncIterator[NodeProcess | None]:
    """Give a node that no other harm holds, as long as two others are well; else None."""
    free = [node for node in soak.nodes if not node.busy]
    if len(free) < 3:
        yield None
        return
    node = soak.rng.choice(free)
    node.busy = True
    try:
        yield node
    finally:
        node.busy = False
        node.freed_s = time.monotonic()
