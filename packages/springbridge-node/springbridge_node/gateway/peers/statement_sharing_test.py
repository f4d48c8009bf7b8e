"""Tests of statement_sharing.py: how instances learn of endpoints that leave or rest.

The real code runs in simulated fleets, in virtual time; the endpoints and the network are
stand-ins.
"""

import asyncio

import pytest
from springbridge.rates.statements import Statement
from springbridge.routing.eligibility import ExclusionReason, exclusion_reason
from springbridge.routing.records import EndpointIncarnation
from springbridge.statements.leaving import PEER_REPORT_S
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge_node.gateway.peers.statement_rows import StatementReport, read_report, report_row
from springbridge_node.gateway.peers.statement_sharing import RESEND_S, RETURN_SPREAD_S

# Seconds within which every instance has to know that an endpoint leaves.
KNOWN_S = 0.5
# Statement of an endpoint that has never stated a rate.
NO_RATE = Statement(None, 0.0, 0.0)
ONE = EndpointIncarnation("e0", None)


def registry_of(instance):
    """Return the endpoint registry of an instance."""
    return instance.parts.sharing._registry


def leaving_of(instance):
    """Return whether the first endpoint leaves, as an instance knows it."""
    return registry_of(instance).find("e0").statements.leaving


def obstacle_at(instance):
    """Return why an instance does not use the first endpoint, or None."""
    return exclusion_reason(registry_of(instance).find("e0"), asyncio.get_running_loop().time())


async def let_leave(fleet):
    """Make the first endpoint state in an answer to the first instance that it leaves."""
    fleet.endpoints[0].leaves = True
    fleet.instances[0].serve()
    while not leaving_of(fleet.instances[0]).is_certain:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(("size", "loss"), [(2, 0.0), (8, 0.1), (87, 0.03), (380, 0.1)])
def test_every_instance_soon_knows_that_an_endpoint_leaves(with_instances, size, loss):
    async def body(fleet):
        await let_leave(fleet)
        await asyncio.sleep(KNOWN_S)
        knowing = [each for each in fleet.instances if leaving_of(each).is_known]
        assert_that(len(knowing), Equals(size))

    with_instances(body, size, loss=loss)


def test_nothing_more_is_sent_once_all_know(with_instances):
    async def body(fleet):
        await let_leave(fleet)
        await asyncio.sleep(2.0 * RESEND_S)
        before = sum(fleet.network.sent_bytes.values())
        await asyncio.sleep(5.0)
        assert_that(sum(fleet.network.sent_bytes.values()), Equals(before))

    with_instances(body, 20)


def test_an_instance_that_starts_gets_reports_of_endpoints_that_leave(with_instances):
    async def body(fleet):
        for instance in fleet.instances:
            registry_of(instance).mark_leaving(ONE)
        fleet.restart(5, 0.5)
        await asyncio.sleep(2.0)
        assert_that(leaving_of(fleet.instances[5]).is_known, Is(True))

    with_instances(body, 20)


def test_a_peer_s_report_ranks_an_endpoint_behind_the_others_for_a_while(with_instances):
    async def body(fleet):
        instance = fleet.instances[0]
        report = StatementReport(ONE, NO_RATE, leaves=True)
        instance.parts.sharing.merge(report, "10.0.0.9:1")
        assert_that(obstacle_at(instance), Is(ExclusionReason.REPORTED_LEAVING))
        assert_that(len(registry_of(instance).candidates("model", ())), Equals(1))
        await asyncio.sleep(PEER_REPORT_S / 2)
        # Repeated reports of a peer do not extend the time.
        instance.parts.sharing.merge(report, "10.0.0.9:1")
        await asyncio.sleep(PEER_REPORT_S / 2 + 0.1)
        assert_that(obstacle_at(instance), Is(None))

    with_instances(body, 1)


@pytest.mark.parametrize(
    "other", [EndpointIncarnation("e0", 77), EndpointIncarnation("not-listed", None)]
)
def test_a_report_on_another_incarnation_changes_nothing(with_instances, other):
    async def body(fleet):
        instance = fleet.instances[0]
        instance.parts.sharing.merge(StatementReport(other, NO_RATE, leaves=True), "10.0.0.9:1")
        assert_that(obstacle_at(instance), Is(None))
        assert_that(registry_of(instance).statements.find(other), Is(None))

    with_instances(body, 1)


def test_a_row_has_a_sixth_field_only_where_an_endpoint_leaves():
    without = report_row(StatementReport(ONE, NO_RATE), 1.0)
    assert_that(without, Equals(["e0", None, None, 1.0, 1.0]))
    with_it = report_row(StatementReport(ONE, NO_RATE, leaves=True), 1.0)
    assert_that(with_it, Equals([*without, 1]))
    assert_that(read_report(with_it, 1.0).leaves, Is(True))
    assert_that(
        [read_report([*without, each], 1.0).leaves for each in (0, None, "x")], Equals([False] * 3)
    )


def test_a_rest_is_sent_to_the_others_as_a_hint(with_instances):
    async def body(fleet):
        fleet.instances[0].parts.sharing.on_rest(ONE, 3.0)
        await asyncio.sleep(KNOWN_S)
        hinted = [obstacle_at(each) is ExclusionReason.REPORTED_RESTING for each in fleet.instances]
        assert_that(sum(hinted), Equals(20))
        # It is the only endpoint, so it is used nevertheless.
        assert_that(len(registry_of(fleet.instances[5]).candidates("model", ())), Equals(1))
        sent = sum(fleet.network.sent_bytes.values())
        fleet.instances[7].parts.sharing.on_rest(ONE, 3.0)
        await asyncio.sleep(3.0)
        assert_that(sum(fleet.network.sent_bytes.values()), Equals(sent))
        await asyncio.sleep(RETURN_SPREAD_S)
        assert_that({obstacle_at(each) for each in fleet.instances}, Equals({None}))

    with_instances(body, 20)


def test_a_short_rest_is_not_sent(with_instances):
    async def body(fleet):
        fleet.instances[0].parts.sharing.on_rest(ONE, 0.5)
        await asyncio.sleep(1.0)
        assert_that(sum(fleet.network.sent_bytes.values()), Equals(0))

    with_instances(body, 8)


def test_a_row_has_the_remaining_seconds_of_a_rest():
    row = report_row(StatementReport(ONE, NO_RATE, rest_s=2.5), 1.0)
    assert_that(row, Equals(["e0", None, None, 1.0, 1.0, 0, 2.5]))
    read = read_report(row, 1.0)
    assert_that((read.leaves, read.rest_s), Equals((False, 2.5)))
    with pytest.raises(ValueError):
        read_report([*row[:6], "long"], 1.0)
