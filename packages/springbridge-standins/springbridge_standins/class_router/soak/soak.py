"""The long randomised run: ``make soak SEED=n MINUTES=m``.

Nodes and stand-ins run as processes under mixed load while faults are drawn at random, up to two at
a time. Invariants are asserted inside the nodes, which stop at a violation; after the run this
program checks what no single node can see. It prints violations, faults and results, and exits 1
on any violation.
"""

import asyncio
import random
import sys
from contextlib import AsyncExitStack
from time import monotonic
from typing import Annotated

import typer
from springbridge.classes.table.changes import Edit
from springbridge.codes import Code

from springbridge_standins.class_router.soak.checks import judge, judge_progress, watch
from springbridge_standins.class_router.soak.faults import FAULTS
from springbridge_standins.class_router.soak.load import Load
from springbridge_standins.class_router.soak.state import NODES, Soak
from springbridge_standins.class_router.world import NO_REPLY, running_world
from springbridge_standins.soak_report import print_report

# Not measured; chosen so that nodes settle after the last fault before the verdict.
SETTLE_S = 10.0
# Derived: twice what the longest answer, 150 steps of 0.1 s, takes on an engine slowed to a fifth.
DRAIN_S = 150.0
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
            judge_progress(soak, load)
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
