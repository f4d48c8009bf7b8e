"""A randomized soak: real node processes, harmed from outside, with the promises checked all along.

What is checked is what callers and engines see: whole answers that belong to their request, nothing
run twice that may not be, nothing run that was reported not run, nothing run that nobody asked for,
the right customer, and every engine gets what it says it wants: no more than its rate, rest, and
nothing new once it leaves. All random draws come from
the seed; the timing of processes does not.
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

from springbridge_standins.free_addresses import free_ports, loopback_network
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.fleet import configuration
from springbridge_standins.gateway.soak.callers import call_forever
from springbridge_standins.gateway.soak.checks import check_duties, check_record
from springbridge_standins.gateway.soak.crashes import (
    check_poison,
    end_engine,
    send_poison_forever,
)
from springbridge_standins.gateway.soak.engine import SoakScript
from springbridge_standins.gateway.soak.harms import START_S, copy_forever, harm_forever
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.soak.rates import (
    EngineRates,
    check_rates,
    name_rates_forever,
)
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import (
    EngineStatements,
    check_statements,
    say_forever,
)
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running
from springbridge_standins.proxy import LoopbackProxy
from springbridge_standins.soak_report import print_report

# How many times as long a soak may go on, on a machine too busy to reach enough in its time.
LONGEST = 6


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
      enough: Returns whether the soak has reached what it is for; on a busy machine it goes on
        until then, up to LONGEST times as long.
    """
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(random.Random(seed), StoreStandIn())
        await stack.enter_async_context(running(soak.store))
        await stack.enter_async_context(running(soak.duties))
        says = EngineStatements(soak, EngineRates(soak))
        await _start_engines(soak, says, stack)
        await soak.store.put("op", "config", configuration(soak.version))
        net = stack.enter_context(loopback_network(seed))
        await _start_nodes(soak, stack, folder, [f"{net}.{number + 1}" for number in range(nodes)])
        tasks = _start_tasks(soak, says, seed, callers)
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
        soak.stop_background()
        check_record(soak)
        check_poison(soak)
        check_duties(soak)
        check_rates(soak, says.rates)
        check_statements(soak, says)
        return soak


def _start_tasks(soak: Soak, says: EngineStatements, seed: int, callers: int) -> list[asyncio.Task]:
    """Start the callers and everything that does harm."""
    work = [
        *(call_forever(soak, number) for number in range(callers)),
        harm_forever(soak),
        copy_forever(soak),
        send_poison_forever(soak, random.Random(f"{seed} ender")),
        name_rates_forever(soak, says.rates, random.Random(f"{seed} rates")),
        say_forever(soak, says, random.Random(f"{seed} statements")),
    ]
    return [asyncio.ensure_future(each) for each in work]


async def _start_engines(
    soak: Soak, says: EngineStatements, stack: contextlib.AsyncExitStack
) -> None:
    """Start engines, each behind a proxy."""
    names = ["i-desk-1", "i-desk-2", "i-desk-3", "i-model-1", "i-model-2", "i-model-3"]
    for name in names:
        script = SoakScript(
            name, soak.record, soak.rng, lambda one: end_engine(soak, one, says.ended), says
        )
        engine = EngineStandIn(name, script)
        await stack.enter_async_context(running(engine))
        proxy = LoopbackProxy(engine.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.engines[name] = engine
        soak.engine_proxies.append(proxy)
    for name in names:
        await soak.list_engine(name, "ready")


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
        node = NodeProcess(number, ip, ports, proxy.address, soak.duties.address, folder, seeds)
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
        took_s = time.monotonic() - began_s
        summary = f"seed {number}, {len(soak.asked)} requests, {took_s:.0f} s"
        print_report(summary, soak.violations, soak.counts)
        if soak.violations:
            typer.echo(f"  logs kept in {folder}")
        else:
            shutil.rmtree(folder)
    raise SystemExit(failed)
