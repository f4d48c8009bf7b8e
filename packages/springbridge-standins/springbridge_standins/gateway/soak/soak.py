"""Randomized soak of the gateway: real node processes under injected faults, with checked results.

The checks cover what callers and engines see: answers are complete and belong to their request, a
request that may not be repeated runs at most once, a request reported as not run does not run,
nothing runs that no caller sent, and the customer is right. An engine gets no more than its rate,
no requests while it asks for rest, and no new ones once it leaves. No node meets an unforeseen
exception. All random draws come from the seed; the timing of processes does not.
"""

import asyncio
import contextlib
import random
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path

import orjson
import typer

from springbridge_standins.free_addresses import free_ports, loopback_network
from springbridge_standins.gateway.crashing import POISON_MARK
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.soak.alone import leave_alone_forever
from springbridge_standins.gateway.soak.callers import call_forever
from springbridge_standins.gateway.soak.checks import check_duties, check_record, check_served
from springbridge_standins.gateway.soak.configuration import soak_configuration
from springbridge_standins.gateway.soak.continuations import CALLERS as STREAM_CALLERS
from springbridge_standins.gateway.soak.continuations import (
    ContinuedStreams,
    ask_forever,
    running_continued_streams,
)
from springbridge_standins.gateway.soak.crashes import (
    check_poison,
    crash_engine,
    send_poison_forever,
)
from springbridge_standins.gateway.soak.engine import SoakScript
from springbridge_standins.gateway.soak.faults import check_faults
from springbridge_standins.gateway.soak.harms import (
    NODE_START_S,
    copy_forever,
    inject_faults_forever,
)
from springbridge_standins.gateway.soak.lateness import measure_delays_forever
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.soak.odd_answers import OddAnswers
from springbridge_standins.gateway.soak.parts import (
    PartHarm,
    check_parts,
    has_poison_part,
    send_prompts_forever,
)
from springbridge_standins.gateway.soak.paths import cut_paths_forever
from springbridge_standins.gateway.soak.rates import (
    EngineRates,
    check_rates,
    name_rates_forever,
)
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import (
    EngineStatements,
    check_statements,
    make_statements_forever,
)
from springbridge_standins.gateway.soak.unframed import UnframedAnswers, end_process
from springbridge_standins.gateway.soak.versions import CALLERS as VERSION_CALLERS
from springbridge_standins.gateway.soak.versions import (
    Rollouts,
    check_versions,
    roll_out_forever,
    running_rollouts,
    stream_forever,
)
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running
from springbridge_standins.http_wire import RawRequest
from springbridge_standins.proxy import LoopbackProxy
from springbridge_standins.soak_report import print_report

# A soak on a machine too busy to reach enough in its time may take this many times as long.
MAX_LENGTH_FACTOR = 6


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    nodes: int = 4,
    callers: int = 8,
    enough: Callable[[], bool] = lambda: True,
    counts: Counter | None = None,
    parts: bool = False,
    alone: bool = False,
    odd: bool = False,
) -> Soak:
    """Run a soak and return its state with the violations; the nodes log into the folder.

    Args:
      enough: Returns whether the soak has exercised what it is for; if not, it is extended, up to
        MAX_LENGTH_FACTOR times its length.
      counts: Gets the counts of the soak while it runs.
      parts: Whether prompts with a part that crashes engines are sent too.
      alone: Whether one node after another is left alone, by the loss of all others.
      odd: Whether engines send bytes without end, and what is no rest of a stream.
    """
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(random.Random(seed), StoreStandIn())
        soak.counts = soak.counts if counts is None else counts
        await stack.enter_async_context(running(soak.store))
        await stack.enter_async_context(running(soak.duties))
        statements = EngineStatements(soak, EngineRates(soak))
        part_harm = PartHarm(soak)
        rng = random.Random(f"{seed} odd")
        odd_answers = OddAnswers(soak, rng, soak.counts) if odd else None
        await _start_engines(soak, statements, part_harm, stack, seed, odd_answers)
        rng = random.Random(f"{seed} versions")
        rollouts = await stack.enter_async_context(running_rollouts(soak, rng))
        rng = random.Random(f"{seed} continued streams")
        streams = ContinuedStreams(soak, rng, OddAnswers(soak, rng, soak.counts))
        if odd:
            await stack.enter_async_context(running_continued_streams(streams))
        await soak.store.put("op", "config", soak_configuration(soak.version))
        net = stack.enter_context(loopback_network(seed))
        await _start_nodes(soak, stack, folder, [f"{net}.{number + 1}" for number in range(nodes)])
        tasks = _start_tasks(soak, statements, rollouts, seed, callers)
        if parts:
            rng = random.Random(f"{seed} parts")
            tasks.append(asyncio.ensure_future(send_prompts_forever(part_harm, rng)))
        if odd:
            work = (ask_forever(streams, number) for number in range(STREAM_CALLERS))
            tasks += map(asyncio.ensure_future, work)
        if alone:
            rng = random.Random(f"{seed} alone")
            tasks.append(asyncio.ensure_future(leave_alone_forever(soak, rng)))
        for _ in range(MAX_LENGTH_FACTOR):
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
        check_served(soak)
        check_record(soak)
        check_poison(soak)
        check_parts(part_harm)
        check_duties(soak)
        check_rates(soak, statements.rates)
        check_statements(soak, statements)
        check_versions(rollouts)
        check_faults(soak, folder)
        _write_stamps(soak, folder / "stamps.jsonl")
        return soak


def _write_stamps(soak: Soak, path: Path) -> None:
    """Write what the soak did and saw, in the order of time, one JSON object a line."""
    names = {
        proxy.address: name
        for name, proxy in zip(sorted(soak.engines), soak.engine_proxies, strict=True)
    }
    lines = [{"event": "links to engines", "names": names}, *soak.stamps]
    path.write_bytes(b"".join(orjson.dumps(line) + b"\n" for line in lines))


def _start_tasks(
    soak: Soak, statements: EngineStatements, rollouts: Rollouts, seed: int, callers: int
) -> list[asyncio.Task]:
    """Start the callers and the fault injection."""
    work = [
        *(
            call_forever(soak, number, random.Random(f"{seed} {number} older"))
            for number in range(callers)
        ),
        inject_faults_forever(soak),
        copy_forever(soak),
        send_poison_forever(soak, random.Random(f"{seed} ender")),
        name_rates_forever(soak, statements.rates, random.Random(f"{seed} rates")),
        make_statements_forever(soak, statements, random.Random(f"{seed} statements")),
        measure_delays_forever(soak),
        cut_paths_forever(soak, random.Random(f"{seed} paths")),
        roll_out_forever(rollouts),
        *(stream_forever(rollouts, number) for number in range(VERSION_CALLERS)),
    ]
    return [asyncio.ensure_future(each) for each in work]


async def _start_engines(
    soak: Soak,
    statements: EngineStatements,
    part_harm: PartHarm,
    stack: contextlib.AsyncExitStack,
    seed: int,
    odd_answers: OddAnswers | None,
) -> None:
    """Start engines, each behind a proxy."""

    async def crash_if_poison(request: RawRequest, name: str) -> bool:
        if request.body.startswith(POISON_MARK):
            await crash_engine(soak, name, statements.on_end)
            return True
        if has_poison_part(request):
            await part_harm.crash(name, statements.on_end)
            return True
        return False

    names = ["i-desk-1", "i-desk-2", "i-desk-3", "i-model-1", "i-model-2", "i-model-3"]
    for name in names:
        script = SoakScript(
            name,
            soak.record,
            soak.rng,
            crash_if_poison,
            statements,
            UnframedAnswers(
                random.Random(f"{seed} {name} unframed"),
                soak.counts,
                partial(end_process, soak, statements, name),
            ),
            odd_answers,
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
    """Start nodes, each with its own proxy to the store."""
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
    await asyncio.gather(*(node.wait_started(NODE_START_S) for node in soak.nodes))


def main(
    seed: int = 1,
    minutes: float = 1.0,
    seeds: int = 1,
    nodes: int = 4,
    parts: bool = True,
    alone: bool = True,
    odd: bool = True,
) -> None:
    """Run soaks with consecutive seeds; exit with 1 if one finds a violation."""
    failed = False
    for number in range(seed, seed + seeds):
        began_s = time.monotonic()
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        harms = {"parts": parts, "alone": alone, "odd": odd}
        soak = asyncio.run(run_soak(number, minutes * 60, folder, nodes, **harms))
        failed = failed or bool(soak.violations)
        took_s = time.monotonic() - began_s
        summary = f"seed {number}, {len(soak.sent)} requests, {took_s:.0f} s"
        print_report(summary, soak.violations, soak.counts)
        if soak.violations:
            typer.echo(f"  logs kept in {folder}")
        else:
            shutil.rmtree(folder)
    raise SystemExit(failed)
