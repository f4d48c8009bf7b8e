"""Measures the policy against baselines: ``make bench``.

Drives real node processes with both fleets' mixes through the scenarios below, for the chosen
policy and two baselines side by side in the same run, and writes bench/results.json and a picture.
"""

import asyncio
import json
import random
import sys
from asyncio.subprocess import PIPE
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from time import monotonic
from typing import Annotated

import typer

from springbridge_standins.bench_rows import (
    LOAD_S,
    Row,
    Run,
    processor_s,
    rows_of,
)
from springbridge_standins.load import (
    MOST_TRIES,
    Load,
    Stream,
    customers_of,
    fleet_streams,
)
from springbridge_standins.world import World, running_world

ROOT = Path(__file__).parents[3]
RESULTS = ROOT / "bench" / "results.json"
PICTURE = ROOT / "docs" / "bench.svg"
POLICIES = ("springbridge", "round-robin", "least-load")
FLEETS = ("findwell.csv", "archive.csv")
NODES = 4
SEED = 20
DRAIN_S = 60.0
FAULT_AT_S = 5.0
BURST_S = 6.0
BURST_RATE_PER_S = 35.0
SLOW_FACTOR = 5.0
DOWN_S = 5.0

Fault = Callable[[World, Load], Awaitable[None]]


async def steady(world: World, load: Load) -> None:
    """Do nothing to the fleet."""


async def burst(world: World, load: Load) -> None:
    """Let one large customer send three times what the engines can take for a while."""
    middle = {"claim": "item-descriptions", "sheet": "catalogue-lookup"}
    name = next(name for start, name in middle.items() if _has_class(world, start))
    customer, _ = max(customers_of(world), key=lambda pair: pair[1])
    stream = Stream(name, BURST_RATE_PER_S, (40, 240), tries=MOST_TRIES, customer=customer)
    await load.run([stream], BURST_S)


def _has_class(world: World, start: str) -> bool:
    return any(key.startswith(f"class/{start}") for key in world.rows)


def _first_engine(world: World) -> str:
    return next(iter(world.engines("model").values()))["address"]


async def slow_engine(world: World, load: Load) -> None:
    """Slow one engine to a fifth of its speed."""
    await world.fault(_first_engine(world), slow=SLOW_FACTOR)


async def crashed_engine(world: World, load: Load) -> None:
    """Crash one engine, which comes back empty."""
    await world.fault(_first_engine(world), crash=DOWN_S)


async def restarted_nodes(world: World, load: Load) -> None:
    """Replace half of the nodes, one after the other."""
    for node in list(world.nodes.values())[: NODES // 2]:
        fresh = await world.start_node(f"{node.name}-new", node.place)
        await world.ready([fresh], 1)
        await world.stop_node(node)


SCENARIOS: dict[str, Fault] = {
    "steady": steady,
    "burst": burst,
    "slow-engine": slow_engine,
    "crashed-engine": crashed_engine,
    "restarted-nodes": restarted_nodes,
}


async def run_apart(scenario: str, policy: str, fleet: str, limit: asyncio.Semaphore) -> list[Row]:
    """Run one scenario in a process of its own, so that the callers do not slow each other."""
    arguments = [scenario, policy, fleet]
    async with limit:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "springbridge_standins.bench_run", *arguments, stdout=PIPE
        )
        out, _ = await process.communicate()
    return [Row(**fields) for fields in json.loads(out)]


async def run_one(scenario: str, policy: str, fleet: str) -> list[Row]:
    """Run one scenario under one policy for one fleet."""
    async with running_world(fleet, NODES, policy) as world:
        load = Load(world, customers_of(world), random.Random(SEED))
        idle_s = processor_s(world)
        started_s = monotonic()
        offered = asyncio.create_task(load.run(fleet_streams(fleet), LOAD_S))
        await asyncio.sleep(FAULT_AT_S)
        await SCENARIOS[scenario](world, load)
        await offered
        await load.finish(DRAIN_S)
        run = Run(scenario, policy, fleet, monotonic() - started_s, idle_s)
        return await rows_of(world, load, run)


def print_table(scenario: str, rows: list[Row]) -> None:
    """Print the table of one scenario."""
    print(f"\n== {scenario}")
    print(
        f"{'fleet':9}{'class':22}{'tier':9}{'policy':14}{'n':>5}{'attained':>9}{'goodput':>9}"
        f"{'wasted':>8}{'refused':>8}{'failed':>7}{'none':>5}{'longest':>9}{'p95 ms':>8}"
        f"{'cpu ms':>8}{'B/s':>8}"
    )
    for row in rows:
        print(
            f"{row.fleet:9}{row.request_class:22}{row.tier:9}{row.policy:14}{row.requests:5}"
            f"{row.attainment:9.3f}{row.goodput_tokens_per_s:9.1f}{row.wasted_share:8.3f}"
            f"{row.refused:8}{row.failed:7}{row.unanswered:5}{row.longest_wait_s:9.2f}"
            f"{row.p95_first_ms:8.0f}{row.cpu_ms_per_request:8.1f}"
            f"{row.control_bytes_per_node_s:8.0f}"
        )


async def bench(scenarios: list[str], policies: list[str], at_once: int) -> list[Row]:
    """Run all scenarios and return their rows; results of the same scenario run side by side."""
    found = []
    limit = asyncio.Semaphore(at_once)
    for scenario in scenarios:
        runs = [
            run_apart(scenario, policy, fleet, limit) for fleet in FLEETS for policy in policies
        ]
        rows = [row for result in await asyncio.gather(*runs) for row in result]
        rows.sort(key=lambda row: (row.fleet, row.request_class, POLICIES.index(row.policy)))
        print_table(scenario, rows)
        found += rows
    return found


def main(
    scenario: Annotated[
        list[str] | None, typer.Option(help="Scenario to run; all if left out.")
    ] = None,
    policy: Annotated[list[str] | None, typer.Option(help="Policy; all if left out.")] = None,
    at_once: Annotated[int, typer.Option(help="Worlds that run side by side.")] = 6,
) -> None:
    """Measure, print, and write the results of a full run."""
    rows = asyncio.run(bench(scenario or list(SCENARIOS), policy or list(POLICIES), at_once))
    if scenario is None and policy is None:
        from springbridge_standins.bench_picture import draw

        RESULTS.write_text(json.dumps([_as_json(row) for row in rows], indent=1) + "\n")
        draw(RESULTS, PICTURE)


def _as_json(row: Row) -> dict:
    """Return a row under the names that readers of the results expect."""
    fields = asdict(row)
    return {"class" if name == "request_class" else name: value for name, value in fields.items()}


if __name__ == "__main__":
    typer.run(main)
