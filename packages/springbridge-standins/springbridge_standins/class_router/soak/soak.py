"""The long randomised run: ``make soak SEED=n MINUTES=m``.

Nodes and stand-ins run as processes under mixed load while faults are drawn at random, up to two at
a time. Invariants are asserted inside the nodes, which stop at a violation; after the run this
program checks what no single node can see. It prints violations, faults and results, and exits 1
on any violation.
"""

import asyncio
import random
import sys
from collections import Counter
from contextlib import AsyncExitStack
from time import monotonic
from typing import Annotated

import typer
from springbridge.classes.invariants import ABORT_STATUS
from springbridge.classes.table.changes import Edit
from springbridge.codes import Code

from springbridge_standins.class_router.soak.faults import FAULTS
from springbridge_standins.class_router.soak.load import Load
from springbridge_standins.class_router.soak.state import NODES, Soak
from springbridge_standins.class_router.world import NO_REPLY, running_world
from springbridge_standins.soak_report import print_report

# Not measured; chosen so that faults of the last moments are mended before the verdict.
SETTLE_S = 10.0
# Longer than the longest answer takes on a slow engine.
DRAIN_S = 150.0
# How often the versions and invariants of all nodes are looked at.
WATCH_S = 0.3
# Shortest and longest pause before a fault; two series run side by side.
QUIET_S = (0.5, 3.0)
# Shortest and longest fault: from less than the time to suspicion of a node to well beyond it.
FAULT_S = (1.0, 6.0)
# Shortest and longest pause of an operator between two edits.
EDIT_PAUSE_S = (0.2, 2.0)
# Rows that both operators edit; few, so that their edits collide.
RACED_ROWS = 3


async def draw_faults(soak: Soak, end_s: float) -> None:
    """Draw one fault after another until the time is over; two of these run side by side."""
    while monotonic() < end_s:
        await asyncio.sleep(soak.rng.uniform(*QUIET_S))
        name, fault = soak.rng.choice(FAULTS)
        soak.counts[f"fault {name}"] += 1
        await fault(soak, soak.rng.uniform(*FAULT_S))


async def race_edits(soak: Soak, end_s: float) -> None:
    """Let two operators edit the same few rows through any nodes."""
    rows = [key for key in sorted(soak.world.rows) if key.startswith("share/")][:RACED_ROWS]
    known = {row: dict(soak.world.rows[row]) for row in rows}
    while monotonic() < end_s:
        await asyncio.sleep(soak.rng.uniform(*EDIT_PAUSE_S))
        nodes = [node for node in soak.world.nodes.values() if node.running and not node.frozen]
        row = soak.rng.choice(rows)
        after = {**known[row], "weight": f"{soak.rng.randrange(1, 90) / 10}"}
        soak.edits += 1
        change_id = f"edit-{soak.edits}"
        edit = Edit(row, known[row], after)
        version = await soak.world.edit(soak.rng.choice(nodes), change_id, [edit])
        if version > 0:
            soak.accepted.append(version)
            known[row] = after
        elif -version == Code.EDIT_UNKNOWN or version == NO_REPLY:
            soak.unknown.add(change_id)
        if version < 0:
            await _look_again(soak, known, rows)


async def _look_again(soak: Soak, known: dict, rows: list[str]) -> None:
    """Read the rows again, as an operator does after a conflict."""
    for node in soak.world.nodes.values():
        if node.running and not node.frozen:
            found = await soak.world.table(node)
            if found:
                known.update({row: found["rows"][row] for row in rows})
                return


async def watch(soak: Soak) -> None:
    """Follow the versions in force and the invariants of all nodes."""
    while True:
        await asyncio.sleep(WATCH_S)
        for node in list(soak.world.nodes.values()):
            if not node.running or node.frozen:
                continue
            state = await soak.world.status(node)
            if state:
                _check_state(soak, state)


def _check_state(soak: Soak, state: dict) -> None:
    name = state["me"]["incarnation"]
    before = soak.versions.get(name, 0)
    if state["version"] < before:
        soak.findings.append(f"{name} fell from version {before} to {state['version']}")
    soak.versions[name] = max(before, state["version"])
    for invariant, count in state["violations"].items():
        soak.findings.append(f"{name} violated '{invariant}' {count} times")


async def judge(soak: Soak, load: Load) -> None:
    """Check what no single node can see: executions, endings and the audit trail."""
    executions = Counter()
    for cells in soak.world.endpoints().values():
        executions.update((await soak.world.counters(cells["address"]))["started"])
    fixed = {
        key.removeprefix("class/")
        for key, cells in soak.world.rows.items()
        if key.startswith("class/") and cells["repeatable"] == "no"
    }
    for record in load.records:
        for request_id, fate in record.fates.items():
            count = executions[request_id]
            if record.request_class in fixed and count > 1:
                soak.findings.append(f"{request_id} ran {count} times")
            if record.request_class in fixed and fate == "not run" and count:
                soak.findings.append(f"{request_id} was reported not run and ran")
        if record.reply.code is None:
            soak.findings.append(f"{record.request_class} {record.request_id} has no ending")
        if record.reply.code is Code.OK and not record.reply.whole:
            soak.findings.append(f"{record.request_id} succeeded and is not whole")
    await _judge_trail(soak)
    for node in soak.world.nodes.values():
        if node.process.returncode == ABORT_STATUS:
            soak.findings.append(f"{node.name} stopped at a violated invariant")


def _judge_progress(soak: Soak, load: Load) -> None:
    """Check that every class got answers."""
    served = Counter(record.request_class for record in load.records if record.reply.whole)
    for name in {record.request_class for record in load.records}:
        if not served[name]:
            soak.findings.append(f"class {name} got no answer")


async def _judge_trail(soak: Soak) -> None:
    """Check that the trail has exactly one row for each accepted change, in order."""
    node = next(node for node in soak.world.nodes.values() if node.running)
    trail = await soak.world.audit(node)
    versions = [change["version"] for change in trail]
    names = [change["change_id"] for change in trail]
    if versions != list(range(1, len(trail) + 1)):
        soak.findings.append("the trail's versions do not follow each other")
    if len(set(names)) != len(names):
        soak.findings.append("a change stands twice in the trail")
    if not set(soak.accepted) <= set(versions):
        soak.findings.append("an accepted change is missing from the trail")
    strays = len(trail) - 1 - len(soak.accepted) - len(soak.unknown & set(names))
    if strays:
        soak.findings.append(f"{strays} rows of the trail belong to no accepted change")


async def soak_run(seed: int, seconds: float, progress: bool = True) -> Soak:
    """Run a soak and judge it; a short one leaves the progress of the classes out."""
    async with running_world("findwell.csv", NODES) as world, AsyncExitStack() as stack:
        soak = Soak(world, random.Random(seed), {}, stack)
        load = Load(world, random.Random(seed + 1))
        watcher = asyncio.create_task(watch(soak))
        end_s = monotonic() + seconds
        await asyncio.gather(
            load.run(seconds),
            draw_faults(soak, end_s),
            draw_faults(soak, end_s),
            race_edits(soak, end_s),
            race_edits(soak, end_s),
        )
        await asyncio.sleep(SETTLE_S)
        await load.finish(DRAIN_S)
        watcher.cancel()
        await judge(soak, load)
        if progress:
            _judge_progress(soak, load)
        soak.counts.update(f"result {record.reply.code!s}" for record in load.records)
        soak.counts["edits"] = soak.edits
        soak.counts["edits accepted"] = len(soak.accepted)
        soak.counts["edits with unknown outcome"] = len(soak.unknown)
        return soak


def main(
    seed: Annotated[int, typer.Option(help="Seed of faults and load.")] = 1,
    minutes: Annotated[float, typer.Option(help="Length of the run in minutes.")] = 2.0,
) -> None:
    """Run the soak and exit 1 on any violation."""
    soak = asyncio.run(soak_run(seed, 60 * minutes))
    print_report(f"seed {seed}", soak.findings, soak.counts)
    sys.exit(1 if soak.findings else 0)
