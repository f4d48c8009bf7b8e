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
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import typer

from springbridge_standins.free_addresses import loopback_network
from springbridge_standins.gateway.crowd.target import NodeLimits
from springbridge_standins.gateway.soak import continuations, departures, odd_rows, versions
from springbridge_standins.gateway.soak.alone import leave_alone_forever
from springbridge_standins.gateway.soak.callers import call_forever
from springbridge_standins.gateway.soak.checks import check_duties, check_record, check_served
from springbridge_standins.gateway.soak.configuration import soak_configuration
from springbridge_standins.gateway.soak.continuations import (
    ContinuedStreams,
    running_continued_streams,
)
from springbridge_standins.gateway.soak.crashes import check_poison, send_poison_forever
from springbridge_standins.gateway.soak.crowds import (
    MAX_FDS,
    MEMORY_MB,
    crowd_forever,
    running_crowd_engine,
)
from springbridge_standins.gateway.soak.departures import (
    Departures,
    depart_forever,
    running_departures,
)
from springbridge_standins.gateway.soak.faults import check_faults
from springbridge_standins.gateway.soak.harms import copy_forever, inject_faults_forever
from springbridge_standins.gateway.soak.lateness import measure_delays_forever
from springbridge_standins.gateway.soak.odd_answers import OddAnswers
from springbridge_standins.gateway.soak.odd_rows import OddRows, check_odd_rows, running_odd_rows
from springbridge_standins.gateway.soak.parts import PartHarm, check_parts, send_prompts_forever
from springbridge_standins.gateway.soak.paths import cut_paths_forever
from springbridge_standins.gateway.soak.rates import EngineRates, check_rates, name_rates_forever
from springbridge_standins.gateway.soak.start import start_engines, start_nodes
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import (
    EngineStatements,
    check_statements,
    make_statements_forever,
)
from springbridge_standins.gateway.soak.versions import (
    Rollouts,
    check_versions,
    roll_out_forever,
    running_rollouts,
)
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running
from springbridge_standins.soak_report import print_report

# A soak on a machine too busy to reach enough in its time may take this many times as long.
MAX_LENGTH_FACTOR = 6


@dataclass(frozen=True)
class Harms:
    """The harms of a soak beside those that each soak has.

    Attributes:
      parts: Prompts with a part that crashes engines are sent too.
      alone: One node after another is left alone, by the loss of all others.
      odd: Engines send bytes without end, and what is no rest of a stream.
      departures: Engines leave or crash within streams that state no length.
      odd_rows: Another writer leaves odd rows in the store.
      crowds: Crowds of clients that misbehave stand at the nodes, which have small machines.
    """

    parts: bool = False
    alone: bool = False
    odd: bool = False
    departures: bool = False
    odd_rows: bool = False
    crowds: bool = False


NO_MORE_HARMS = Harms()


@dataclass(frozen=True)
class Setup:
    """What runs in a soak beside its nodes, engines and callers."""

    soak: Soak
    statements: EngineStatements
    part_harm: PartHarm
    rollouts: Rollouts
    streams: ContinuedStreams
    departures: Departures | None
    odd_rows: OddRows | None


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    nodes: int = 4,
    callers: int = 8,
    enough: Callable[[], bool] = lambda: True,
    counts: Counter | None = None,
    harms: Harms = NO_MORE_HARMS,
) -> Soak:
    """Run a soak and return its state with the violations; the nodes log into the folder.

    Args:
      enough: Returns whether the soak has exercised what it is for; if not, it is extended, up to
        MAX_LENGTH_FACTOR times its length.
      counts: Gets the counts of the soak while it runs.
    """
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(random.Random(seed), StoreStandIn())
        soak.counts = soak.counts if counts is None else counts
        setup = await _start(stack, soak, seed, harms)
        network = stack.enter_context(loopback_network(seed))
        ips = [f"{network}.{number + 1}" for number in range(nodes)]
        limits = NodeLimits(MEMORY_MB, MAX_FDS) if harms.crowds else None
        await start_nodes(soak, stack, folder, ips, limits)
        work = [*_usual_work(setup, seed, callers), *_harmful_work(setup, seed, harms)]
        await _run_until_enough(work, seconds, enough)
        soak.stop_background()
        _check(setup, folder)
        _write_stamps(soak, folder / "stamps.jsonl")
        return soak


async def _start(stack: contextlib.AsyncExitStack, soak: Soak, seed: int, harms: Harms) -> Setup:
    """Start the platform's store, the receiver of duties and all engines."""
    await stack.enter_async_context(running(soak.store))
    await stack.enter_async_context(running(soak.duties))
    statements = EngineStatements(soak, EngineRates(soak))
    part_harm = PartHarm(soak)
    odd_answers = OddAnswers(soak, _rng(seed, "odd"), soak.counts) if harms.odd else None
    await start_engines(soak, statements, part_harm, stack, seed, odd_answers)
    rollouts = await stack.enter_async_context(running_rollouts(soak, _rng(seed, "versions")))
    rng = _rng(seed, "continued streams")
    streams = ContinuedStreams(soak, rng, OddAnswers(soak, rng, soak.counts))
    if harms.odd:
        await stack.enter_async_context(running_continued_streams(streams))
    leavers = None
    if harms.departures:
        leavers = await stack.enter_async_context(
            running_departures(soak, _rng(seed, "departures"))
        )
    rows = None
    if harms.odd_rows:
        rows = await stack.enter_async_context(running_odd_rows(soak, _rng(seed, "odd rows")))
    if harms.crowds:
        await stack.enter_async_context(running_crowd_engine(soak))
    await soak.store.put("op", "config", soak_configuration(soak.version))
    return Setup(soak, statements, part_harm, rollouts, streams, leavers, rows)


def _rng(seed: int, purpose: str) -> random.Random:
    """Return a random generator for one purpose, so that the draws for others stay the same."""
    return random.Random(f"{seed} {purpose}")


def _usual_work(setup: Setup, seed: int, callers: int) -> Iterator[Coroutine[Any, Any, None]]:
    """Yield the callers and the fault injection that each soak has."""
    soak = setup.soak
    for number in range(callers):
        yield call_forever(soak, number, _rng(seed, f"{number} older"))
    yield inject_faults_forever(soak)
    yield copy_forever(soak)
    yield send_poison_forever(soak, _rng(seed, "ender"))
    yield name_rates_forever(soak, setup.statements.rates, _rng(seed, "rates"))
    yield make_statements_forever(soak, setup.statements, _rng(seed, "statements"))
    yield measure_delays_forever(soak)
    yield cut_paths_forever(soak, _rng(seed, "paths"))
    yield roll_out_forever(setup.rollouts)
    for number in range(versions.CALLERS):
        yield versions.stream_forever(setup.rollouts, number)


def _harmful_work(setup: Setup, seed: int, harms: Harms) -> Iterator[Coroutine[Any, Any, None]]:
    """Yield the callers and the fault injection of further harms."""
    if harms.parts:
        yield send_prompts_forever(setup.part_harm, _rng(seed, "parts"))
    if harms.odd:
        for number in range(continuations.CALLERS):
            yield continuations.ask_forever(setup.streams, number)
    if setup.departures is not None:
        yield depart_forever(setup.departures)
        for number in range(departures.CALLERS):
            yield departures.ask_forever(setup.departures, number)
    if setup.odd_rows is not None:
        yield odd_rows.leave_odd_rows_forever(setup.odd_rows)
        yield odd_rows.exchange_engines_forever(setup.odd_rows)
        for _ in range(odd_rows.CALLERS):
            yield odd_rows.ask_forever(setup.odd_rows)
    if harms.crowds:
        yield crowd_forever(setup.soak, _rng(seed, "crowds"))
    if harms.alone:
        yield leave_alone_forever(setup.soak, _rng(seed, "alone"))


async def _run_until_enough(
    work: list[Coroutine[Any, Any, None]], seconds: float, enough: Callable[[], bool]
) -> None:
    """Run coroutines that do not end by themselves for some seconds, or longer; see run_soak().

    Raises:
      Exception: One of them has failed.
    """
    tasks = [asyncio.ensure_future(each) for each in work]
    for _ in range(MAX_LENGTH_FACTOR):
        done, _ = await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        if done or enough():
            break
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


def _check(setup: Setup, folder: Path) -> None:
    """Check what callers, engines and the receiver of duties saw, and the logs of the nodes."""
    soak = setup.soak
    check_served(soak)
    check_record(soak)
    check_poison(soak)
    check_parts(setup.part_harm)
    check_duties(soak)
    check_rates(soak, setup.statements.rates)
    check_statements(soak, setup.statements)
    check_versions(setup.rollouts)
    if setup.odd_rows is not None:
        check_odd_rows(setup.odd_rows)
    check_faults(soak, folder)


def _write_stamps(soak: Soak, path: Path) -> None:
    """Write what the soak did and saw, in the order of time, one JSON object a line."""
    names = {
        proxy.address: name
        for name, proxy in zip(sorted(soak.engines), soak.engine_proxies, strict=True)
    }
    lines = [{"event": "links to engines", "names": names}, *soak.stamps]
    path.write_bytes(b"".join(orjson.dumps(line) + b"\n" for line in lines))


def main(
    seed: int = 1,
    minutes: float = 1.0,
    seeds: int = 1,
    nodes: int = 4,
    parts: bool = True,
    alone: bool = True,
    odd: bool = True,
    departing: bool = True,
    rows: bool = True,
    crowds: bool = True,
) -> None:
    """Run soaks with consecutive seeds; exit with 1 if one finds a violation."""
    failed = False
    for number in range(seed, seed + seeds):
        began_s = time.monotonic()
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        harms = Harms(parts, alone, odd, departing, rows, crowds)
        soak = asyncio.run(run_soak(number, minutes * 60, folder, nodes, harms=harms))
        failed = failed or bool(soak.violations)
        took_s = time.monotonic() - began_s
        summary = f"seed {number}, {len(soak.sent)} requests, {took_s:.0f} s"
        print_report(summary, soak.violations, soak.counts)
        if soak.violations:
            typer.echo(f"  logs kept in {folder}")
        else:
            shutil.rmtree(folder)
    raise SystemExit(failed)
