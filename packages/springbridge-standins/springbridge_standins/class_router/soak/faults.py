"""The faults that the soak injects into nodes, the platform and engines."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from springbridge_standins.class_router.soak.state import Soak

Fault = Callable[[Soak, float], Awaitable[None]]


async def kill(soak: Soak, seconds: float) -> None:
    """Kill a node and start another one after some seconds."""
    node = soak.pick_node()
    if node is not None:
        await soak.world.kill(node)
        await asyncio.sleep(seconds)
        await soak.add_node()


async def freeze(soak: Soak, seconds: float) -> None:
    """Freeze a node for some seconds."""
    node = soak.pick_node()
    if node is not None:
        soak.world.freeze(node)
        await asyncio.sleep(seconds)
        soak.world.thaw(node)


async def replace(soak: Soak, seconds: float) -> None:
    """Start a replacement for a node, then stop the node gracefully."""
    node = soak.pick_node()
    if node is None:
        return
    soak.busy.add(node.name)
    await soak.add_node()
    await asyncio.sleep(seconds)
    node.process.terminate()
    status = await node.process.wait()
    if status != 0:
        soak.findings.append(f"{node.name} exited with status {status} after a planned stop")


async def cut_from_table(soak: Soak, seconds: float) -> None:
    """Cut one node off from the platform for some seconds."""
    node = soak.pick_node()
    relay = soak.relays.get(node.name) if node is not None else None
    if relay is not None:
        relay.disconnect()
        await asyncio.sleep(seconds)
        relay.restore()


def _platform_fault(on: dict, off: dict, duration_factor: float = 1.0) -> Fault:
    """Return a fault of the platform; off is empty for a fault that ends by itself."""

    async def inject(soak: Soak, seconds: float) -> None:
        await soak.world.set_faults(soak.world.platform, **on)
        await asyncio.sleep(duration_factor * seconds)
        if off:
            await soak.world.set_faults(soak.world.platform, **off)

    return inject


def _engine_fault(on: dict, off: dict) -> Fault:
    """Return a fault of one engine that is set with on and cleared with off."""
    return lambda soak, seconds: _inject_engine_fault(soak, seconds, on, off)


async def garbling_engine(soak: Soak, seconds: float) -> None:
    """Let an engine corrupt its streams in one of four ways."""
    kind = soak.rng.choice(["gap", "foreign", "repeat", "cut"])
    await _inject_engine_fault(soak, seconds, {"garble": kind}, {"garble": ""})


async def crashed_engine(soak: Soak, seconds: float) -> None:
    """Crash an engine, which restarts without jobs after some seconds."""
    await _inject_engine_fault(soak, seconds + 1.0, {"crash": seconds}, {})


async def _inject_engine_fault(soak: Soak, seconds: float, on: dict, off: dict) -> None:
    """Set and clear a fault of an engine; a crashed engine is skipped, as it can't be reached."""
    cells = soak.rng.choice(list(soak.world.endpoints("model").values()))
    with contextlib.suppress(OSError):
        await soak.world.set_faults(cells["address"], **on)
        await asyncio.sleep(seconds)
        await soak.world.set_faults(cells["address"], **off)


# Faults are drawn by position, so that another order changes the run of a seed.
FAULTS: tuple[tuple[str, Fault], ...] = (
    ("kill", kill),
    ("freeze", freeze),
    ("replace", replace),
    ("cut_from_table", cut_from_table),
    ("table_out", _platform_fault({"out": True}, {"out": False}, duration_factor=2.0)),
    ("table_slow", _platform_fault({"slow_s": 0.5}, {"slow_s": 0.0})),
    ("lost_replies", _platform_fault({"lose_replies": 2}, {})),
    ("late_write", _platform_fault({"late_writes": 1}, {})),
    ("slow_engine", _engine_fault({"slow": 5.0}, {"slow": 1.0})),
    ("frozen_engine", _engine_fault({"frozen": True}, {"frozen": False})),
    ("refusing_engine", _engine_fault({"refuse": True}, {"refuse": False})),
    ("garbling_engine", garbling_engine),
    ("crashed_engine", crashed_engine),
)
