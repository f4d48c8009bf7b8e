"""The faults that a soak draws."""

import asyncio
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
        relay.cut()
        await asyncio.sleep(seconds)
        relay.mend()


async def table_out(soak: Soak, seconds: float) -> None:
    """Take the platform's table away from everybody."""
    await soak.world.fault(soak.world.platform, out=True)
    await asyncio.sleep(2 * seconds)
    await soak.world.fault(soak.world.platform, out=False)


async def table_slow(soak: Soak, seconds: float) -> None:
    """Slow the platform's table down."""
    await soak.world.fault(soak.world.platform, slow_s=0.5)
    await asyncio.sleep(seconds)
    await soak.world.fault(soak.world.platform, slow_s=0.0)


async def lost_replies(soak: Soak, seconds: float) -> None:
    """Lose the replies of the next writes."""
    await soak.world.fault(soak.world.platform, lose_replies=2)
    await asyncio.sleep(seconds)


async def late_write(soak: Soak, seconds: float) -> None:
    """Let the next write take effect after its writer has given up."""
    await soak.world.fault(soak.world.platform, late_writes=1)
    await asyncio.sleep(seconds)


async def _engine_fault(soak: Soak, seconds: float, on: dict, off: dict) -> None:
    cells = soak.rng.choice(list(soak.world.endpoints("model").values()))
    try:
        await soak.world.fault(cells["address"], **on)
        await asyncio.sleep(seconds)
        await soak.world.fault(cells["address"], **off)
    except OSError:
        return


async def slow_engine(soak: Soak, seconds: float) -> None:
    """Slow an engine to a fifth."""
    await _engine_fault(soak, seconds, {"slow": 5.0}, {"slow": 1.0})


async def frozen_engine(soak: Soak, seconds: float) -> None:
    """Freeze an engine."""
    await _engine_fault(soak, seconds, {"frozen": True}, {"frozen": False})


async def refusing_engine(soak: Soak, seconds: float) -> None:
    """Let an engine turn everything away."""
    await _engine_fault(soak, seconds, {"refuse": True}, {"refuse": False})


async def garbling_engine(soak: Soak, seconds: float) -> None:
    """Let an engine spoil its streams."""
    kind = soak.rng.choice(["gap", "foreign", "repeat", "cut"])
    await _engine_fault(soak, seconds, {"garble": kind}, {"garble": ""})


async def crashed_engine(soak: Soak, seconds: float) -> None:
    """Crash an engine, which comes back empty."""
    await _engine_fault(soak, seconds + 1.0, {"crash": seconds}, {})


FAULTS: tuple[Fault, ...] = (
    kill,
    freeze,
    replace,
    cut_from_table,
    table_out,
    table_slow,
    lost_replies,
    late_write,
    slow_engine,
    frozen_engine,
    refusing_engine,
    garbling_engine,
    crashed_engine,
)
