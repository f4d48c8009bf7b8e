"""Tests with node processes: a request that is not repeatable runs at most once under any fault.

Executions are counted by the stand-ins for engines and services.
"""

import asyncio

import pytest
from springbridge.classes.table.changes import Edit
from springbridge.codes import Code
from springbridge_standins.class_router.caller import wait_until
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge_node.class_router.conftest import call_of, executions, homed_id

LONG = 80


async def started(world, request_id):
    """Wait until the request runs somewhere."""

    async def runs():
        return await executions(world, request_id) > 0

    assert_that(await wait_until(runs, 20.0), Is(True))


def send(world, name, call):
    """Send a call to a node in the background."""
    node = world.nodes[name]
    return asyncio.ensure_future(world.caller.send(node.caller_address, call))


def test_two_nodes_at_the_same_time(run, shared_world):
    async def scenario():
        request_id = await homed_id(shared_world, "node-1")
        call = call_of("claim-answers", LONG, request_id=request_id)
        replies = await asyncio.gather(
            *(send(shared_world, f"node-{number}", call) for number in (1, 2, 3, 1, 2))
        )
        assert_that([(reply.code, reply.whole) for reply in replies], Equals([(Code.OK, True)] * 5))
        assert_that(await executions(shared_world, request_id), Equals(1))

    run(scenario())


def test_retry_elsewhere_of_a_request_the_home_never_saw(run, shared_world):
    async def scenario():
        request_id = await homed_id(shared_world, "node-1")
        call = call_of("claim-answers", request_id=request_id)
        first = await send(shared_world, "node-2", call)
        late = await send(shared_world, "node-1", call)
        third = await send(shared_world, "node-3", call)
        assert_that([first.whole, late.whole, third.whole], Equals([True] * 3))
        assert_that(await executions(shared_world, request_id), Equals(1))

    run(scenario())


def test_finished_answer_is_given_again(run, shared_world):
    async def scenario():
        request_id = await homed_id(shared_world, "node-3")
        call = call_of("claim-booking", request_id=request_id, service="claims-application")
        replies = [await send(shared_world, name, call) for name in ("node-3", "node-1", "node-3")]
        assert_that([reply.whole for reply in replies], Equals([True] * 3))
        assert_that(await executions(shared_world, request_id), Equals(1))

    run(scenario())


def test_refused_id_is_refused_for_ever_and_everywhere(run, shared_world):
    async def scenario():
        addresses = [cells["address"] for cells in shared_world.endpoints("service").values()]
        for address in addresses:
            await shared_world.set_faults(address, refuse=True)
        request_id = await homed_id(shared_world, "node-2")
        call = call_of("claim-booking", request_id=request_id, service="claims-application")
        first = await send(shared_world, "node-2", call)
        for address in addresses:
            await shared_world.set_faults(address, refuse=False)
        again = [await send(shared_world, name, call) for name in ("node-2", "node-1", "node-3")]
        assert_that(first.fate, Equals("not run"))
        assert_that({reply.code for reply in again}, Equals({Code.REFUSED_BEFORE}))
        assert_that(await executions(shared_world, request_id), Equals(0))

    run(scenario())


def test_id_of_another_customer_gets_nothing(run, shared_world):
    async def scenario():
        request_id = await homed_id(shared_world, "node-1")
        mine = call_of("claim-answers", request_id=request_id)
        other = type(mine)(**{**mine.__dict__, "key": "key-swan"})
        await send(shared_world, "node-1", mine)
        replies = [await send(shared_world, name, other) for name in ("node-1", "node-2")]
        assert_that({reply.code for reply in replies}, Equals({Code.REQUEST_ID_REUSED}))
        assert_that([reply.text for reply in replies], Equals(["", ""]))

    run(scenario())


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_home_lost_during_a_model_request(run, world, fault):
    """The retry gets the complete answer by resuming the engine's stream."""

    async def scenario():
        request_id = await homed_id(world, "node-1")
        call = call_of("claim-answers", LONG, request_id=request_id)
        first = send(world, "node-1", call)
        await started(world, request_id)
        home = world.nodes["node-1"]
        if fault == "kill":
            await world.kill(home)
        else:
            world.freeze(home)
        retry = await send(world, "node-2", call)
        assert_that(retry.whole, Is(True))
        if fault == "freeze":
            world.thaw(home)
        await asyncio.wait([first], timeout=30.0)
        assert_that(await executions(world, request_id), Equals(1))

    run(scenario())


def test_home_killed_during_a_service_call(run, world):
    """A service keeps no answers: the outcome is unknown, never "not run", and it ran once."""

    async def scenario():
        for cells in world.endpoints("service").values():
            await world.set_faults(cells["address"], delay_s=1.0)
        request_id = await homed_id(world, "node-1")
        call = call_of("claim-booking", request_id=request_id, service="claims-application")
        first = send(world, "node-1", call)
        await started(world, request_id)
        await world.kill(world.nodes["node-1"])
        await first
        replies = [await send(world, name, call) for name in ("node-2", "node-3", "node-2")]
        assert_that({reply.code for reply in replies}, Equals({Code.OUTCOME_UNKNOWN}))
        assert_that(await executions(world, request_id), Equals(1))

    run(scenario())


def test_frozen_home_that_wakes_up_with_the_request_unread(run, world):
    """The home is suspended before it reads the request; resumed, it runs it at most once."""

    async def scenario():
        request_id = await homed_id(world, "node-1")
        call = call_of("claim-answers", request_id=request_id)
        home = world.nodes["node-1"]
        world.freeze(home)
        first = send(world, "node-1", call)
        retry = await send(world, "node-2", call)
        assert_that(retry.code, Is(Code.OUTCOME_UNKNOWN))
        world.thaw(home)
        await asyncio.wait([first], timeout=30.0)
        later = await send(world, "node-3", call)
        count = await executions(world, request_id)
        assert_that(count in (0, 1), Is(True))
        assert_that(later.fate == "not run" and count > 0, Is(False))

    run(scenario())


def test_service_reply_lost(run, world):
    """The call ran and its reply was lost: the outcome is unknown and it is not run again."""

    async def scenario():
        for cells in world.endpoints("service").values():
            await world.set_faults(cells["address"], cut=True)
        request_id = await homed_id(world, "node-1")
        call = call_of("claim-booking", request_id=request_id, service="claims-application")
        replies = [await send(world, name, call) for name in ("node-1", "node-2")]
        assert_that({reply.code for reply in replies}, Equals({Code.OUTCOME_UNKNOWN}))
        assert_that(await executions(world, request_id), Equals(1))

    run(scenario())


def test_engine_crash_in_the_middle(run, world):
    async def scenario():
        request_id = await homed_id(world, "node-1")
        call = call_of("claim-answers", LONG, request_id=request_id)
        first = send(world, "node-1", call)
        await started(world, request_id)
        for cells in world.endpoints("model").values():
            await world.set_faults(cells["address"], crash=1.0)
        reply = await first
        again = await send(world, "node-2", call)
        assert_that(reply.whole or again.whole, Is(False))
        assert_that("not run" in (reply.fate, again.fate), Is(False))
        assert_that(await executions(world, request_id), Equals(1))

    run(scenario())


def test_id_without_a_home_is_claimed_in_the_table(run, world):
    async def scenario():
        call = call_of("claim-answers", LONG, request_id="callers-own-id")
        replies = await asyncio.gather(*(send(world, f"node-{n}", call) for n in (1, 2, 3)))
        assert_that([reply.whole for reply in replies], Equals([True] * 3))
        assert_that(await executions(world, "callers-own-id"), Equals(1))

    run(scenario())


def test_claim_with_its_reply_lost(run, world):
    async def scenario():
        await world.set_faults(world.platform, lose_replies=1)
        call = call_of("claim-answers", request_id="claimed-with-lost-reply")
        first = await send(world, "node-1", call)
        second = await send(world, "node-2", call)
        assert_that([first.whole, second.whole], Equals([True, True]))
        assert_that(await executions(world, "claimed-with-lost-reply"), Equals(1))

    run(scenario())


def test_claim_during_a_table_outage_is_unknown_and_runs_nowhere(run, world):
    """Another node may have run the id before, so nobody can promise that it was not run."""

    async def scenario():
        await world.set_faults(world.platform, out=True)
        call = call_of("claim-answers", request_id="claimed-in-outage")
        refused = await send(world, "node-1", call)
        assert_that(refused.code, Is(Code.OUTCOME_UNKNOWN))
        assert_that(await executions(world, "claimed-in-outage"), Equals(0))
        await world.set_faults(world.platform, out=False)
        again = await send(world, "node-1", call)
        assert_that(again.code, Is(Code.OUTCOME_UNKNOWN))
        elsewhere = await send(world, "node-2", call)
        assert_that(elsewhere.whole, Is(True))
        assert_that(await executions(world, "claimed-in-outage"), Equals(1))

    run(scenario())


def limit_row(world, concurrency):
    """Return the edit that sets the concurrency of the test's customer and class."""
    row = "share/perth-airport/claim-answers"
    cells = world.rows[row]
    return Edit(row, cells, {**cells, "concurrency": str(concurrency)})


@pytest.mark.parametrize("request_class", ["claim-answers", "item-descriptions"])
def test_node_that_refuses_a_retry_does_not_say_that_it_was_not_run(run, world, request_class):
    """It runs at its home, while a node whose table is not fresh refuses it (soak, seed 2)."""

    async def scenario():
        request_id = await homed_id(world, "node-1")
        call = call_of(request_class, LONG, request_id=request_id)
        first = send(world, "node-1", call)
        await asyncio.sleep(0.5)
        abroad = await world.start_node("abroad", "elsewhere")

        async def refuses():
            reply = await world.caller.send(abroad.caller_address, call)
            return reply.code is Code.OUTCOME_UNKNOWN

        assert_that(await wait_until(refuses, 20.0), Is(True))
        assert_that((await first).whole, Is(True))

    run(scenario())


def test_id_refused_by_a_limit_stays_refused(run, world):
    async def scenario():
        version = await world.edit(world.nodes["node-1"], "limit", [limit_row(world, 1)])
        assert_that(await world.wait_ready(list(world.nodes.values()), version), Is(True))
        await asyncio.sleep(3.0)
        ids = [await homed_id(world, "node-1") for _ in range(6)]
        calls = [call_of("claim-answers", LONG, request_id=one) for one in ids]
        replies = await asyncio.gather(*(send(world, "node-1", call) for call in calls))
        refused = [call for call, reply in zip(calls, replies, strict=True) if not reply.whole]
        again = [await send(world, "node-1", call) for call in refused]
        assert_that(len(refused) > 0, Is(True))
        assert_that({reply.code for reply in again}, Equals({Code.REFUSED_BEFORE}))
        counts = [await executions(world, call.request_id) for call in refused]
        assert_that(counts, Equals([0] * len(refused)))

    run(scenario())
