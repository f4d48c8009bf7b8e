"""Faults that the soak injects into nodes, links, the store and engines; they overlap."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Iterator

from springbridge_standins.gateway.duties import DutyFault
from springbridge_standins.gateway.soak.configuration import soak_configuration
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.store import StoreFault
from springbridge_standins.proxy import ConnectionFault, LoopbackProxy

# Shortest time for a node process to start and find its peers. A process that takes longer, on a
# busy machine, is waited for: otherwise harms would end most processes before they serve.
NODE_START_S = 2.0
# Grace period of a planned stop, graceS in the nodes' settings.
GRACE_S = 6.0
# Margin beyond the grace period for a process to exit.
EXIT_MARGIN_S = 2.0
# Interval between two copies of the store, and how many copies back it goes at most.
COPY_INTERVAL_S = 1.0
MAX_COPIES_BACK = 4
# Longest time until operators and endpoints have rewritten what the store lost.
MAX_REWRITE_DELAY_S = 2.0
# Longest pause between the beginnings of two faults; faults last longer, so they overlap.
MAX_PAUSE_S = 1.2
# Longest duration of a fault that ends by itself.
MAX_FAULT_S = 3
# Share of the store's faults that also truncate the history of its feed.
HISTORY_LOST_SHARE = 0.3
# Number of versions and reload signals in quick succession, with no time to settle between.
CHANGES_IN_SERIES = 5


async def inject_faults_forever(soak: Soak) -> None:
    """Inject random faults until cancelled; they overlap."""
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
            await asyncio.sleep(soak.rng.random() * MAX_PAUSE_S)


async def _harm_engine_link(soak: Soak) -> None:
    await _harm_link(soak, soak.engine_proxies)


async def _harm_store_link(soak: Soak) -> None:
    await _harm_link(soak, soak.store_proxies)


async def _harm_link(soak: Soak, proxies: list[LoopbackProxy]) -> None:
    """Inject a fault into one link for a while."""
    proxy = soak.rng.choice(proxies)
    proxy.fault = soak.rng.choice(
        [harm for harm in ConnectionFault if harm is not ConnectionFault.NONE]
    )
    soak.stamp("link harmed", link=proxy.address, fault=proxy.fault.value)
    await asyncio.sleep(soak.rng.random() * MAX_FAULT_S)
    proxy.fault = ConnectionFault.NONE
    soak.stamp("link mended", link=proxy.address)


async def _harm_store(soak: Soak) -> None:
    """Let the store fail for all nodes for a while."""
    soak.store.fault = soak.rng.choice(
        [fault for fault in StoreFault if fault is not StoreFault.NONE]
    )
    soak.stamp("store harmed", fault=soak.store.fault.value)
    if soak.rng.random() < HISTORY_LOST_SHARE:
        soak.store.history_lost_before = soak.store.version
    await asyncio.sleep(soak.rng.random() * MAX_FAULT_S)
    soak.store.fault = StoreFault.NONE
    soak.stamp("store mended")


async def _kill_node(soak: Soak) -> None:
    """Kill a node and restart it."""
    async with _reserve_node(soak) as node:
        if node is not None:
            node.signal(signal.SIGKILL)
            await node.wait_exit()
            await asyncio.sleep(soak.rng.random())
            await node.start()
            await node.wait_started(NODE_START_S)


async def _freeze_node(soak: Soak) -> None:
    """Freeze a node for a while."""
    async with _reserve_node(soak) as node:
        if node is not None:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.random() * MAX_FAULT_S)
            node.signal(signal.SIGCONT)


async def _stop_node(soak: Soak) -> None:
    """Stop a node with SIGTERM and restart it; it has to exit within the grace period."""
    async with _reserve_node(soak) as node:
        if node is None:
            return
        node.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + EXIT_MARGIN_S):
                status = await node.wait_exit()
            if status and not _was_still_starting(node, status):
                soak.violated("a planned stop exits with status 0", f"{node.name} status {status}")
        except TimeoutError:
            detail = f"{node.name}, last logged {', '.join(node.last_events())}"
            soak.violated("a planned stop ends within its grace period", detail)
            node.signal(signal.SIGKILL)
            await node.wait_exit()
        await node.start()
        await node.wait_started(NODE_START_S)


def _was_still_starting(node: NodeProcess, status: int) -> bool:
    """Return whether the signal ended a process that did not serve requests yet.

    On a busy machine the interpreter may take longer than MAX_START_S to start, and the signal
    then arrives before the program has installed its handler.
    """
    return status == -signal.SIGTERM and not node.had_started()


async def _reload_node(soak: Soak) -> None:
    """Rewrite a settings file, half of the time with a reload signal."""
    node = soak.rng.choice(soak.nodes)
    node.touch_settings()
    if soak.rng.random() < 0.5 and not node.busy:
        node.signal(signal.SIGHUP)


async def _change_configuration(soak: Soak) -> None:
    """Write a new version of the configuration with the same content."""
    soak.version += soak.rng.randint(1, 3)
    await soak.store.put("op", "config", soak_configuration(soak.version))


async def _change_in_series(soak: Soak) -> None:
    """Write versions and reload settings in quick succession."""
    for _ in range(CHANGES_IN_SERIES):
        await _change_configuration(soak)
        await _reload_node(soak)
        await asyncio.sleep(soak.rng.random() * 0.2)


async def _stop_nodes_in_turn(soak: Soak) -> None:
    """Stop one node after another, each while the one before may still be stopping."""
    async with asyncio.TaskGroup() as group:
        for _ in soak.nodes:
            group.create_task(_stop_node(soak))
            await asyncio.sleep(soak.rng.random() * 1.5)


async def _drain_engine(soak: Soak) -> None:
    """List an engine as draining, then as ready again."""
    name = soak.rng.choice(sorted(soak.engines))
    await soak.list_engine(name, "draining")
    await asyncio.sleep(1 + soak.rng.random() * 2)
    await soak.list_engine(name, "ready")


async def copy_forever(soak: Soak) -> None:
    """Take copies of the store, from which it may be restored, until cancelled.

    The platform removes the entries of ended engines again that a copy has brought back.
    """
    while True:
        soak.store.take_copy()
        await soak.unlist_ended()
        await asyncio.sleep(COPY_INTERVAL_S)


async def _store_from_older_copy(soak: Soak) -> None:
    """Restore the store from a copy some seconds old; the lost rows are rewritten later."""
    lost = await soak.store.restore_older_copy(-soak.rng.randint(1, MAX_COPIES_BACK))
    soak.stamp("store went back", lost=[row.key for row in lost])
    restored = {(row.table, row.key): soak.store.value_of(row.table, row.key) for row in lost}
    await asyncio.sleep(soak.rng.random() * MAX_REWRITE_DELAY_S)
    for row in lost:
        # Skip rows that have been written since.
        if soak.store.value_of(row.table, row.key) == restored[row.table, row.key]:
            await soak.store.put_content(row.table, row.key, row.value)


async def _harm_duties(soak: Soak) -> None:
    """Let calls to the platform for duties fail for a while."""
    faults = [fault for fault in DutyFault if fault is not DutyFault.NONE]
    soak.duties.fault = soak.rng.choice(faults)
    await asyncio.sleep(soak.rng.random() * MAX_FAULT_S)
    soak.duties.fault = DutyFault.NONE


@contextlib.asynccontextmanager
async def _reserve_node(soak: Soak) -> AsyncIterator[NodeProcess | None]:
    """Reserve a node that no other fault affects; None unless two others are left."""
    free = [node for node in soak.nodes if not node.busy]
    if len(free) < 3:
        yield None
        return
    with reserved(soak, soak.rng.choice(free)) as node:
        yield node


@contextlib.contextmanager
def reserved(soak: Soak, node: NodeProcess) -> Iterator[NodeProcess]:
    """Reserve a node during the block, so that no other fault affects it."""
    node.busy = True
    soak.stamp("node harmed", node=node.name)
    try:
        yield node
    finally:
        node.busy = False
        node.released_s = time.monotonic()
        soak.stamp("node released", node=node.name)
