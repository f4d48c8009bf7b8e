"""Tests of rate limits shared between instances, and of the permits that they request.

The real parts run in random fleets in virtual time; the endpoints and the network are stand-ins.
"""

import asyncio
from dataclasses import replace
from unittest import mock

import pytest
from springbridge_standins.rates.fleet import SimulatedExchange
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT_WITH_LOOKUPS
from springbridge_node.gateway.peers.rate_permits import SETTLE_S
from springbridge_node.gateway.peers.statement_sharing import RESEND_S
from springbridge_node.gateway.requests.rate_gate import MAX_PERMIT_WAIT_S

# Seconds within which every instance has to know a rate.
KNOWN_S = 0.5


async def name_rate(fleet, per_s):
    """Make the first endpoint state a rate in an answer to the first instance."""
    fleet.endpoints[0].name(per_s)
    fleet.instances[0].serve()
    while all(not len(each.parts.table) for each in fleet.instances):
        await asyncio.sleep(0.01)


def count_knowing(fleet):
    return sum(len(each.parts.table) == 1 for each in fleet.instances)


def granter_of(fleet):
    """Return the number of the instance that grants the permits of the first endpoint."""
    entry = fleet.endpoints[0].entry
    member = fleet.instances[0].parts._permits._granters.of(entry)
    return next(n for n, each in enumerate(fleet.instances) if each.member == member)


async def ask(instance, priority=1):
    """Ask for a permit of the first endpoint; return whether there was one, and after how long."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    entry = instance.fleet.endpoints[0].entry
    demand = mock.Mock(priority=priority, service="model")
    may = await instance.gate.acquire_permit(SimulatedExchange("q", demand), entry)
    return may, loop.time() - began_s


def test_nothing_is_sent_while_no_endpoint_names_a_rate(with_instances):
    async def body(fleet):
        for _ in range(20):
            fleet.instances[0].serve()
        await asyncio.sleep(5.0)
        assert_that(sum(fleet.network.sent_bytes.values()), Equals(0))

    with_instances(body, 8)


@pytest.mark.parametrize(("size", "loss"), [(2, 0.0), (8, 0.1), (87, 0.03), (380, 0.1)])
def test_every_instance_soon_knows_of_a_rate_and_of_its_end(with_instances, size, loss):
    async def body(fleet):
        await name_rate(fleet, 2.0)
        await asyncio.sleep(KNOWN_S)
        assert_that(count_knowing(fleet), Equals(size))
        fleet.endpoints[0].name(None)
        while count_knowing(fleet) == size:
            fleet.instances[0].serve()
            await asyncio.sleep(0.05)
        await asyncio.sleep(KNOWN_S)
        assert_that(count_knowing(fleet), Equals(0))

    with_instances(body, size, loss=loss)


def test_an_instance_that_starts_learns_the_rates(with_instances):
    async def body(fleet):
        await name_rate(fleet, 2.0)
        # After this time only the granter still shares it.
        await asyncio.sleep(RESEND_S + 1.0)
        started = next(n for n in range(87) if n != granter_of(fleet))
        fleet.restart(started, 0.5)
        await asyncio.sleep(2.0)
        assert_that(len(fleet.instances[started].parts.table), Equals(1))

    with_instances(body, 87)


def test_a_changed_rate_reaches_the_granter(with_instances):
    async def body(fleet):
        await name_rate(fleet, 2.0)
        await asyncio.sleep(KNOWN_S)
        fleet.endpoints[0].name(9.0)
        for _ in range(40):
            fleet.instances[3].serve()
            await asyncio.sleep(0.1)
        table = fleet.instances[granter_of(fleet)].parts.table
        assert_that(table.per_s(fleet.endpoints[0].entry.incarnation), Equals(9.0))

    with_instances(body, 8)


def test_a_request_is_not_held_for_a_granter_that_is_silent(with_instances):
    async def body(fleet):
        await name_rate(fleet, 50.0)
        await asyncio.sleep(KNOWN_S)
        gone = granter_of(fleet)
        fleet.instances[gone].kill()
        asker = fleet.instances[(gone + 1) % 8]
        may, took_s = await ask(asker)
        assert_that(may, Is(False))
        assert_that(took_s, LessThan(MAX_PERMIT_WAIT_S + 0.001))
        other = SimulatedExchange("r", mock.Mock(priority=0))
        assert_that(asker.gate.held_back(other), Equals({"e0"}))

    with_instances(body, 8)


def test_the_substitute_is_asked_while_the_granter_is_silent(with_instances):
    async def body(fleet):
        await name_rate(fleet, 200.0)
        await asyncio.sleep(KNOWN_S)
        gone = granter_of(fleet)
        fleet.instances[gone].kill()
        asker = fleet.instances[(gone + 1) % 8]
        answers = []
        for _ in range(20):
            answers.append((await ask(asker))[0])
            await asyncio.sleep(0.05)
        assert_that(sum(answers), GreaterThan(5))

    with_instances(body, 8)


def test_another_instance_grants_once_the_granter_is_gone(with_instances):
    async def body(fleet):
        await name_rate(fleet, 50.0)
        await asyncio.sleep(KNOWN_S)
        gone = granter_of(fleet)
        fleet.restart(gone, 60.0)
        asker = fleet.instances[(gone + 1) % 8]
        await asyncio.sleep(6.0)
        answers = []
        for _ in range(20):
            answers.append((await ask(asker))[0])
            await asyncio.sleep(0.2)
        assert_that(sum(answers), GreaterThan(15))

    with_instances(body, 8)


def test_an_instance_of_an_older_build_is_no_granter(with_instances):
    async def body(fleet):
        old = granter_of(fleet)
        older = replace(fleet.instances[old].member, heartbeat=FIRST_HEARTBEAT_WITH_LOOKUPS + 9)
        for each in fleet.instances:
            if each is not fleet.instances[old]:
                each.view._add(older)
        first = fleet.instances[(old + 1) % 8]
        granter = first.parts._permits._granters.of(fleet.endpoints[0].entry)
        assert_that(granter.peer_address == older.peer_address, Is(False))

    with_instances(body, 8)


def test_an_instance_that_has_just_started_grants_to_peers_but_not_to_itself(with_instances):
    async def body(fleet):
        await name_rate(fleet, 200.0)
        await asyncio.sleep(KNOWN_S)
        number = granter_of(fleet)
        started, peer = fleet.instances[number], fleet.instances[(number + 1) % 8]
        started.parts._permits._settled_s = asyncio.get_running_loop().time() + SETTLE_S
        mine, theirs = [], []
        for _ in range(10):
            await asyncio.sleep(0.1)
            mine.append((await ask(started))[0])
            theirs.append((await ask(peer))[0])
        assert_that(sum(mine), Equals(0))
        assert_that(sum(theirs), GreaterThan(7))

    with_instances(body, 8)


async def granted_by(asker, per_s, seconds):
    """Return how many permits an instance gets that asks at four times the rate."""
    got = 0
    for _ in range(round(4 * per_s * seconds)):
        got += (await ask(asker))[0]
        await asyncio.sleep(0.25 / per_s)
    return got


def test_an_instance_that_is_no_granter_by_its_own_view_grants_little(with_instances):
    async def body(fleet):
        await name_rate(fleet, 20.0)
        await asyncio.sleep(KNOWN_S)
        asker, other = [n for n in range(8) if n != granter_of(fleet)][:2]
        view = fleet.instances[asker].view
        member = fleet.instances[other].member
        view.known = {member.peer_address: member}
        # Either of the two is the granter by that view, and the asker not for long.
        view._version += 1
        got = await granted_by(fleet.instances[asker], 20.0, 2.5)
        assert_that(got, GreaterThan(2))
        assert_that(got, LessThan(0.25 * 20.0 * 2.5))

    with_instances(body, 8)


def test_a_granter_that_reaches_half_of_the_fleet_grants_half_of_the_rate(with_instances):
    async def body(fleet):
        await name_rate(fleet, 20.0)
        await asyncio.sleep(KNOWN_S)
        number = granter_of(fleet)
        granter, asker = fleet.instances[number], fleet.instances[(number + 1) % 8]
        behind_a_cut = [each for each in fleet.instances if each not in (granter, asker)][:4]
        for each in behind_a_cut:
            granter.view._remove(each.member)
        got = await granted_by(asker, 20.0, 10.0)
        assert_that(got, GreaterThan(0.4 * 20.0 * 10.0))
        assert_that(got, LessThan(0.6 * 20.0 * 10.0))

    with_instances(body, 8)


# Guards against a request that selects the same endpoint for ever, which stops the whole instance.
def test_an_endpoint_that_denied_a_permit_is_held_back_even_without_its_rate(with_instances):
    async def body(fleet):
        await name_rate(fleet, 1.0)
        await asyncio.sleep(KNOWN_S)
        asker = fleet.instances[(granter_of(fleet) + 1) % 8]
        exchange = SimulatedExchange("q", mock.Mock(priority=1, service="model"))
        while await asker.gate.acquire_permit(exchange, fleet.endpoints[0].entry):
            pass
        asker.parts.table.keep_only(set())
        await asyncio.sleep(10.0)
        assert_that(asker.gate.held_back(exchange), Equals({"e0"}))

    with_instances(body, 8)


@pytest.mark.parametrize(("sent", "permits"), [(False, 6), (True, 2)])
def test_a_permit_is_given_back_only_if_the_request_was_not_sent(with_instances, sent, permits):
    async def body(fleet):
        await name_rate(fleet, 1.0)
        await asyncio.sleep(KNOWN_S)
        asker = fleet.instances[(granter_of(fleet) + 1) % 8]
        # The granter counts from the first request for a permit on.
        await ask(asker)
        await asyncio.sleep(3.0)
        entry = fleet.endpoints[0].entry
        got = 0
        for _ in range(6):
            exchange = SimulatedExchange("q", mock.Mock(priority=1, service="model"))
            if await asker.gate.acquire_permit(exchange, entry):
                got += 1
                with asker.gate.hold_permit(exchange, entry):
                    exchange.progress.sends += sent
            await asyncio.sleep(0.01)
        assert_that(got, Equals(permits))

    with_instances(body, 8)
