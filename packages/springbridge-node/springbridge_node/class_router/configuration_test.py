"""Tests with node processes: an accepted change takes effect on all nodes and isn't reverted."""

import asyncio

import pytest
from springbridge.classes.table.changes import Edit
from springbridge.codes import Code
from springbridge_standins.class_router.caller import wait_until
from springbridge_standins.free_addresses import free_address
from springbridge_standins.proxy import running_proxy
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from springbridge_node.class_router.conftest import call_of

ROW = "share/perth-airport/claim-answers"
OTHER_ROW = "share/swan/claim-answers"


# Above every weight of the example table, so that each edit of the race changes its row.
FIRST_RACING_WEIGHT = 20


def weight_edit(world, row, before, after):
    cells = world.rows[row]
    return Edit(row, {**cells, "weight": before}, {**cells, "weight": after})


async def serves(world, name):
    """Return the code with which a node answers a request."""
    node = world.nodes[name]
    call = call_of("item-descriptions", 8)
    return (await world.caller.send(node.caller_address, call)).code


async def becomes(world, name, code):
    """Wait until a node answers with a code."""

    async def does():
        return await serves(world, name) is code

    return await wait_until(does, 30.0, 0.2)


def test_racing_operators(run, world):
    """Many edits of two rows through three nodes at once: one audit record for each accepted.

    Weights differ from those of the table: an edit to the weight that a row already has could be
    accepted beside the one that won the race.
    """

    async def scenario():
        nodes = list(world.nodes.values())
        edits = [
            (row, f"race-{row[6]}-{number}", nodes[number % 3])
            for number in range(6)
            for row in (ROW, OTHER_ROW)
        ]
        before = {row: world.rows[row]["weight"] for row in (ROW, OTHER_ROW)}
        weights = [str(FIRST_RACING_WEIGHT + index) for index in range(len(edits))]
        results = await asyncio.gather(
            *(
                world.edit(node, name, [weight_edit(world, row, before[row], weights[index])])
                for index, (row, name, node) in enumerate(edits)
            )
        )
        accepted = [version for version in results if version > 0]
        refused = {Code(-version) for version in results if version < 0}
        trail = await world.audit(world.nodes["node-1"])
        assert_that(len(accepted), Equals(2))
        assert_that(refused, Equals({Code.VERSION_CONFLICT}))
        assert_that([change["version"] for change in trail], Equals([1, 2, 3]))
        assert_that(await world.wait_ready(nodes, 3), Is(True))

    run(scenario())


def test_edit_that_changes_nothing_takes_no_version(run, world):
    async def scenario():
        node = world.nodes["node-1"]
        weight = world.rows[ROW]["weight"]
        refused = await world.edit(node, "same", [weight_edit(world, ROW, weight, weight)])
        changed = await world.edit(node, "other", [weight_edit(world, ROW, weight, "5")])
        trail = await world.audit(node)
        assert_that(Code(-refused), Is(Code.NOTHING_CHANGED))
        assert_that(changed, Equals(2))
        assert_that([change["change_id"] for change in trail], Equals(["import", "other"]))

    run(scenario())


@pytest.mark.parametrize("fault", ["lose_replies", "late_writes"])
def test_write_applied_but_reply_lost(run, world, fault):
    """The outcome is read back: the change is accepted once, with one audit record."""

    async def scenario():
        await world.set_faults(world.platform, **{fault: 1})
        edit = weight_edit(world, ROW, world.rows[ROW]["weight"], "5")
        node = world.nodes["node-1"]
        version = await world.edit(node, "lost", [edit])
        if version < 0:
            assert_that(Code(-version), Is(Code.EDIT_UNKNOWN))

            async def settled():
                return await world.edit(node, "lost", [edit]) == 2

            assert_that(await wait_until(settled, 20.0), Is(True))
        again = await world.edit(world.nodes["node-2"], "lost", [edit])
        trail = await world.audit(world.nodes["node-1"])
        assert_that(again, Equals(2))
        assert_that([change["change_id"] for change in trail], Equals(["import", "lost"]))
        assert_that(trail[1]["who"], Equals("world"))
        assert_that(trail[1]["edits"][0]["after"]["weight"], Equals("5"))

    run(scenario())


def test_table_out_for_all(run, world):
    """All nodes keep serving, no change is accepted, a new node gets the table from its peers."""

    async def scenario():
        await world.set_faults(world.platform, out=True)
        edit = weight_edit(world, ROW, world.rows[ROW]["weight"], "5")
        refused = await world.edit(world.nodes["node-1"], "in-outage", [edit])
        await asyncio.sleep(5.0)
        await world.start_node("node-4", "perth-a")
        assert_that(await becomes(world, "node-4", Code.OK), Is(True))
        codes = [await serves(world, name) for name in world.nodes]
        assert_that(refused < 0, Is(True))
        assert_that(codes, Equals([Code.OK] * 4))
        await world.set_faults(world.platform, out=False)
        state = await world.status(world.nodes["node-4"])
        assert_that(state["version"], Equals(1))

    run(scenario())


def test_node_cut_off_from_the_table_learns_from_its_peers(run, world):
    async def scenario():
        address = free_address()
        async with running_proxy(address, world.platform) as relay:
            node = await world.start_node("node-4", "perth-a", table=address)
            assert_that(await becomes(world, "node-4", Code.OK), Is(True))
            relay.disconnect()
            edit = weight_edit(world, ROW, world.rows[ROW]["weight"], "5")
            version = await world.edit(world.nodes["node-1"], "past-the-cut", [edit])
            assert_that(version, Equals(2))
            assert_that(await world.wait_ready([node], version), Is(True))
            await asyncio.sleep(4.0)
            assert_that(await serves(world, "node-4"), Is(Code.OK))

    run(scenario())


def test_node_cut_off_from_table_and_peers_stops_serving(run, world):
    """With every peer suspended and the table cut off, nothing can confirm freshness."""

    async def scenario():
        address = free_address()
        async with running_proxy(address, world.platform) as relay:
            await world.start_node("node-4", "perth-a", table=address)
            assert_that(await becomes(world, "node-4", Code.OK), Is(True))
            relay.disconnect()
            others = [node for name, node in world.nodes.items() if name != "node-4"]
            for node in others:
                world.freeze(node)
            assert_that(await becomes(world, "node-4", Code.CONFIG_NOT_FRESH), Is(True))
            for node in others:
                world.thaw(node)
            relay.restore()
            assert_that(await becomes(world, "node-4", Code.OK), Is(True))

    run(scenario())


def test_frozen_node_does_not_serve_an_old_version_on_waking(run, world):
    async def scenario():
        node = world.nodes["node-3"]
        world.freeze(node)
        edit = weight_edit(world, ROW, world.rows[ROW]["weight"], "5")
        version = await world.edit(world.nodes["node-1"], "while-frozen", [edit])
        await asyncio.sleep(4.0)
        world.thaw(node)
        code = await serves(world, "node-3")
        state = await world.status(node)
        served_old = code is Code.OK and state["version"] < version
        assert_that(served_old, Is(False))
        assert_that(await world.wait_ready([node], version), Is(True))

    run(scenario())


def test_version_survives_the_restart_of_all_nodes(run, world):
    async def scenario():
        edit = weight_edit(world, ROW, world.rows[ROW]["weight"], "5")
        version = await world.edit(world.nodes["node-1"], "before-restart", [edit])
        for node in list(world.nodes.values()):
            await world.kill(node)
        world.nodes.clear()
        nodes = [await world.start_node(f"new-{n}", "perth-a") for n in range(3)]
        assert_that(version, GreaterThan(1))
        assert_that(await world.wait_ready(nodes, version), Is(True))

    run(scenario())
