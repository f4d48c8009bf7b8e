"""Checks of the soak: the state of each node during the run, and the results after it."""

import asyncio
from collections import Counter

from springbridge.classes.invariants import ABORT_STATUS
from springbridge.codes import Code

from springbridge_standins.class_router.soak.load import Load
from springbridge_standins.class_router.soak.state import Soak

# Interval at which the versions and invariants of all nodes are read.
WATCH_INTERVAL_S = 0.3


async def watch(soak: Soak) -> None:
    """Check versions in force and invariants of all running nodes until cancelled."""
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
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
        soak.findings.append(f"{name} went back from version {before} to {state['version']}")
    soak.versions[name] = max(before, state["version"])
    for invariant, count in state["violations"].items():
        soak.findings.append(f"{name} violated '{invariant}' {count} times")


async def check_results(soak: Soak, load: Load) -> None:
    """Check what no single node can see: executions, results and the audit trail."""
    executions = Counter()
    for cells in soak.world.endpoints().values():
        executions.update((await soak.world.counters(cells["address"]))["started"])
    not_repeatable = {
        key.removeprefix("class/")
        for key, cells in soak.world.rows.items()
        if key.startswith("class/") and cells["repeatable"] == "no"
    }
    for record in load.records:
        for request_id, fate in record.fates.items():
            count = executions[request_id]
            if record.request_class in not_repeatable and count > 1:
                soak.findings.append(f"{request_id} ran {count} times")
            if record.request_class in not_repeatable and fate == "not run" and count:
                soak.findings.append(f"{request_id} was reported as not run, but ran")
        if record.reply.code is None:
            soak.findings.append(f"{record.request_class} {record.request_id} has no result")
        if record.reply.code is Code.OK and not record.reply.whole:
            soak.findings.append(f"{record.request_id} succeeded, but its answer is not complete")
    await _check_audit_trail(soak)
    for node in soak.world.nodes.values():
        if node.process.returncode == ABORT_STATUS:
            soak.findings.append(f"{node.name} aborted on a violated invariant")


def check_progress(soak: Soak, load: Load) -> None:
    """Check that every class got a complete answer."""
    served = Counter(record.request_class for record in load.records if record.reply.whole)
    for name in {record.request_class for record in load.records}:
        if not served[name]:
            soak.findings.append(f"class {name} got no complete answer")


async def _check_audit_trail(soak: Soak) -> None:
    """Check that the audit trail has exactly one row for each accepted change, in order."""
    node = next(node for node in soak.world.nodes.values() if node.running)
    trail = await soak.world.audit(node)
    versions = [change["version"] for change in trail]
    names = [change["change_id"] for change in trail]
    if versions != list(range(1, len(trail) + 1)):
        soak.findings.append("the versions of the audit trail are not consecutive")
    if len(set(names)) != len(names):
        soak.findings.append("the audit trail has a change twice")
    if not set(soak.accepted) <= set(versions):
        soak.findings.append("an accepted change is missing from the audit trail")
    unexplained = len(trail) - 1 - len(soak.accepted) - len(soak.unknown & set(names))
    if unexplained:
        soak.findings.append(f"{unexplained} rows of the audit trail belong to no accepted change")
