"""Randomised soak of the class router: ``make soak SEED=n MINUTES=m``.

Nodes and stand-ins run as processes under mixed load while faults are injected at random, up to two
at a time. The nodes check their invariants and abort on a violation; after the run this program
checks what no single node can see. It prints violations, faults and results, and exits with 1 on
any violation.
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

from springbridge_standins.class_router.soak.checks import check_progress, check_results, watch
from springbridge_standins.class_router.soak.faults import FAULTS
from springbridge_standins.class_router.soak.load import Load
from springbridge_standins.class_router.soak.state import NODES, Soak
from springbridge_standins.class_router.world import NO_REPLY, running_world
from springbridge_standins.soak_report import print_report

# Time for the nodes to recover from the last fault before the results are checked.
SETTLE_S = 10.0
# Twice the time of the longest answer, 150 steps of 0.1 s, on an engine slowed to a fifth.
DRAIN_S = 150.0
# Shortest and longest pause before a fault; two series of faults run concurrently.
FAULT_PAUSE_S = (0.5, 3.0)
# Shortest and longest fault: from below the time to suspect a node to well beyond it.
FAULT_DURATION_S = (1.0, 6.0)
# Shortest and longest pause of an operator before an edit.
EDIT_PAUSE_S = (0.2, 2.0)
# Number of rows that both operators edit; few, so that their edits conflict.
CONTENDED_ROWS = 3


async def inject_faults(soak: Soak, end_s: float) -> None:
    """Inject one random fault after another until end_s; two of these run concurrently."""
    while monotonic() < end_s:
        await asyncio.sleep(soak.rng.uniform(*FAULT_PAUSE_S))
        name, fault = soak.rng.choice(FAULTS)
        soak.counts[f"fault {name}"] += 1
        await fault(soak, soak.rng.uniform(*FAULT_DURATION_S))


async def send_racing_edits(soak: Soak, end_s: float) -> None:
    """Edit a few rows through random nodes, as one of two operators with the same rows."""
    rows = [key for key in sorted(soak.world.rows) if key.startswith("share/")][:CONTENDED_ROWS]
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
            await _reread_rows(soak, known, rows)


async def _reread_rows(soak: Soak, known: dict, rows: list[str]) -> None:
    """Reread the rows, as an operator does after a conflict."""
    for node in soak.world.nodes.values():
        if node.running and not node.frozen:
            found = await soak.world.table(node)
            if found:
                known.update({row: found["rows"][row] for row in rows})
                return


async def run_soak(seed: int, seconds: float, progress: bool = True) -> Soak:
    """Run a soak and check its results; a short one skips the progress of the classes."""
    async with running_world("findwell.csv", NODES) as world, AsyncExitStack() as stack:
        soak = Soak(world, random.Random(seed), {}, stack)
        load = Load(world, random.Random(seed + 1))
        watcher = asyncio.create_task(watch(soak))
        end_s = monotonic() + seconds
        await asyncio.gather(
            load.run(seconds),
            inject_faults(soak, end_s),
            inject_faults(soak, end_s),
            send_racing_edits(soak, end_s),
            send_racing_edits(soak, end_s),
        )
        await asyncio.sleep(SETTLE_S)
        await load.finish(DRAIN_S)
        watcher.cancel()
        await check_results(soak, load)
        if progress:
            check_progress(soak, load)
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
    soak = asyncio.run(run_soak(seed, 60 * minutes))
    print_report(f"seed {seed}", soak.findings, soak.counts)
    sys.exit(1 if soak.findings else 0)
