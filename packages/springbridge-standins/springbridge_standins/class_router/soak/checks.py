"""What the soak checks: each node's state while it runs, and the whole when it is over."""

import asyncio
from collections import Counter

from springbridge.classes.invariants import ABORT_STATUS
from springbridge.codes import Code

from springbridge_standins.class_router.soak.load import Load
from springbridge_standins.class_router.soak.state import Soak

# How often the versions and invariants of all nodes are looked at.
WATCH_S = 0.3


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


def judge_progress(soak: Soak, load: Load) -> None:
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
