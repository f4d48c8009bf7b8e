"""A randomized soak: real node processes, harmed from outside, with the promises checked all along.

What is checked is what callers and engines see: whole answers that belong to their request, nothing
run twice that may not be, nothing run that was told "not run", nothing that nobody asked, the right
customer. Every chance comes from the seed; the moments at which processes act do not.
"""

import asyncio
import contextlib
import random
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import typer

from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.fleet import configuration, free_ports
from springbridge_standins.gateway.soak.callers import call_forever
from springbridge_standins.gateway.soak.checks import check_record
from springbridge_standins.gateway.soak.engine import SoakScript
from springbridge_standins.gateway.soak.harms import START_S, harm_forever
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.soak.state import Soak, list_engine
from springbridge_standins.gateway.store import StoreStandIn, running_store
from springbridge_standins.proxy import LoopbackProxy

LONGEST = 6
FIRST_NET = 2
NETS = 200


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    nodes: int = 4,
    callers: int = 8,
    enough: Callable[[], bool] = lambda: True,
) -> Soak:
    """Run a soak and return what it found; the nodes' logs are in the folder then.

    Args:
      enough: Returns whether all that the soak is meant to reach was reached; on a busy machine it
        goes on for that, up to LONGEST times as long.
    """
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(random.Random(seed), StoreStandIn())
        await stack.enter_async_context(running_store(soak.store))
        await _start_engines(soak, stack)
        await soak.store.put("op", "config", configuration(soak.version))
        net = f"127.{FIRST_NET + seed % NETS}.0"
        await _start_nodes(soak, stack, folder, [f"{net}.{number + 1}" for number in range(nodes)])
        tasks = [asyncio.ensure_future(call_forever(soak, number)) for number in range(callers)]
        tasks.append(asyncio.ensure_future(harm_forever(soak)))
        for _ in range(LONGEST):
            done, _ = await asyncio.wait(
                tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION
            )
            if done or enough():
                break
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()
        check_record(soak)
        return soak


async def _start_engines(soak: Soak, stack: contextlib.AsyncExitStack) -> None:
    """Start engines, each behind a proxy."""
    names = ["i-desk-1", "i-desk-2", "i-desk-3", "i-model-1", "i-model-2", "i-model-3"]
    for name in names:
        script = SoakScript(name, soak.record, soak.rng)
        engine = EngineStandIn(name, script)
        await engine.start("127.0.0.1")
        stack.callback(engine.stop)
        proxy = LoopbackProxy(engine.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.engines[name] = engine
        soak.engine_proxies.append(proxy)
    for name in names:
        await list_engine(soak, name, "ready")


async def _start_nodes(
    soak: Soak, stack: contextlib.AsyncExitStack, folder: Path, ips: list[str]
) -> None:
    """Start nodes, each with a proxy of its own to the store."""
    ports = Ports(*free_ports(5))
    seeds = [f"{ip}:{ports.peers}" for ip in ips[:3]]
    for number, ip in enumerate(ips):
        proxy = LoopbackProxy(soak.store.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.store_proxies.append(proxy)
        node = NodeProcess(number, ip, ports, proxy.address, folder, seeds)
        await node.start()
        stack.push_async_callback(node.end)
        soak.nodes.append(node)
    await asyncio.sleep(START_S)


def main(seed: int = 1, minutes: float = 1.0, seeds: int = 1, nodes: int = 4) -> None:
    """Run soaks with one seed after another and fail if a promise was broken."""
    failed = False
    for number in range(seed, seed + seeds):
        began_s = time.monotonic()
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        soak = asyncio.run(run_soak(number, minutes * 60, folder, nodes))
        failed = failed or bool(soak.violations)
        requests = len(soak.asked)
        harms = sum(count for name, count in soak.counts.items() if name.startswith("harm"))
        typer.echo(
            f"seed {number}: {len(soak.violations)} violations, {requests} requests, "
            f"{harms} harms, {time.monotonic() - began_s:.0f} s"
        )
        for line in soak.violations[:20]:
            typer.echo(f"  {line}")
        if soak.violations:
            typer.echo(f"  logs kept in {folder}")
        else:
            shutil.rmtree(folder)
        for name, count in sorted(soak.counts.items()):
            typer.echo(f"  {count:6} {name}")
    raise SystemExit(failed)
