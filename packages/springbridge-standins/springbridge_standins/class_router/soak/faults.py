"""The faults that a soak draws."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from springbridge_standins.class_router.soak.state import Soak

Fault = Callable[[Soak, float], Awaitable[None]]


async def kill(soak: Soak, seconds: float) -> None:
    """Kill a node and replace it after a while."""
    node = soak.pick_node()
    if node is not None:
        await soak.world.kill(node)
        await asyncio.sleep(seconds)
        await soak.add_node()


async def freeze(soak: Soak, seconds: float) -> None:
    """Freeze a node and let it go on."""
    node = soak.pick_node()
    if node is not None:
        soak.world.freeze(node)
        await asyncio.sleep(seconds)
        soak.world.thaw(node)


async def replace(soak: Soak, seconds: float) -> None:
    """Stop a node as planned while its replacement is there already."""
    node = soak.pick_node()
    if node is None:
        return
    soak.busy.add(node.name)
    await soak.add_node()
    await asyncio.sleep(seconds)
    node.process.terminate()
    status = await node.process.wait()
    if status != 0:
        soak.findings.append(f"{node.name} ended with status {status} after a planned stop")


async def cut_from_table(soak: Soak, seconds: float) -> None:
    """Cut one node off from the platform."""
    node = soak.pick_node()
    relay = soak.relays.get(node.name) if node is not None else None
    if relay is not None:
        relay.disconnect()
        await asyncio.sleep(seconds)
        relay.restore()


def _platform(on: dict, off: dict, times: float = 1.0) -> Fault:
    """Return a fault of the platform; one that ends by itself needs nothing to switch it off."""

    async def play(soak: Soak, seconds: float) -> None:
        await soak.world.fault(soak.world.platform, **on)
        await asyncio.sleep(times * seconds)
        if off:
            await soak.world.fault(soak.world.platform, **off)

    return play


def _engine(on: dict, off: dict) -> Fault:
    """Return a fault of one engine."""
    return lambda soak, seconds: _fault_engine(soak, seconds, on, off)


async def garbling_engine(soak: Soak, seconds: float) -> None:
    """Let an engine spoil its streams."""
    kind = soak.rng.choice(["gap", "foreign", "repeat", "cut"])
    await _fault_engine(soak, seconds, {"garble": kind}, {"garble": ""})


async def crashed_engine(soak: Soak, seconds: float) -> None:
    """Crash an engine, which comes back empty."""
    await _fault_engine(soak, seconds + 1.0, {"crash": seconds}, {})


async def _fault_engine(soak: Soak, seconds: float, on: dict, off: dict) -> None:
    """Switch a fault of an engine on and off; one that has crashed can't be switched."""
    cells = soak.rng.choice(list(soak.world.endpoints("model").values()))
    with contextlib.suppress(OSError):
        await soak.world.fault(cells["address"], **on)
        await asyncio.sleep(seconds)
        await soak.world.fault(cells["address"], **off)


# The order is part of what a seed means.
FAULTS: tuple[tuple[str, Fault], ...] = (
    ("kill", kill),
    ("freeze", freeze),
    ("replace", replace),
    ("cut_from_table", cut_from_table),
    ("table_out", _platform({"out": True}, {"out": False}, times=2.0)),
    ("table_slow", _platform({"slow_s": 0.5}, {"slow_s": 0.0})),
    ("lost_replies", _platform({"lose_replies": 2}, {})),
    ("late_write", _platform({"late_writes": 1}, {})),
    ("slow_engine", _engine({"slow": 5.0}, {"slow": 1.0})),
    ("frozen_engine", _engine({"frozen": True}, {"frozen": False})),
    ("refusing_engine", _engine({"refuse": True}, {"refuse": False})),
    ("garbling_engine", garbling_engine),
    ("crashed_engine", crashed_engine),
)
