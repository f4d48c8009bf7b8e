"""Tests of trial_permits.py: a coordinator decides on trials of suspect requests."""

import asyncio
import itertools
import random
from dataclasses import dataclass, replace

import pytest
from springbridge.crash_records import CrashRecords
from springbridge.membership import Member, Membership
from springbridge.part_quarantine import PartQuarantine
from springbridge.quarantine import Quarantine, Standing
from springbridge.trials import Answer, trial_coordinators
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.part_permits import PartPermits
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators
from springbridge_node.gateway.peers.trial_permits import TrialPermits

NODES = 9
# Numbers of the attempts.
NUMBERS = itertools.count()
SERVICE = "model"
ENDPOINTS = 4


@dataclass
class Node:
    """The parts of a node that handle crash records and trials."""

    membership: Membership
    records: CrashRecords
    quarantine: Quarantine
    permits: TrialPermits

    def suspect(self, *crashes):
        """Record crashes of the request."""
        for crash in crashes:
            self.records.record_crash("cause", crash)

    async def request(self, endpoint_id="i-1"):
        """Request a trial."""
        return await self.permits.request("cause", self.holder(), SERVICE, endpoint_id, left_s=5.0)

    def holder(self):
        """Return the id of the next attempt."""
        return f"{self.membership.me.incarnation}/{next(NUMBERS)}"


@pytest.fixture
def nodes(clock, wire):
    """Return the nodes of a small fleet, the one that grants trials first."""
    members = {f"n{number}": _member(number) for number in range(NODES)}
    first, *_ = trial_coordinators(SERVICE, members)
    names = [first, *(name for name in members if name != first)]
    return [_node(members, name, clock, wire) for name in names]


def _member(number):
    return Member(f"n{number}", f"n{number}", f"10.0.0.{number}:1", "", "a")


def _node(members, name, clock, wire):
    membership = Membership(members[name], clock, random.Random(1))
    membership.merge(member for member in members.values() if member is not members[name])
    records = CrashRecords(clock)
    quarantine = Quarantine(records)
    coordinators = TrialCoordinators(membership)
    sharing = CrashSharing(records, membership, coordinators, lambda _, work: work())
    part_quarantine = PartQuarantine(CrashRecords(clock), quarantine.records)
    parts = PartPermits(part_quarantine, sharing, coordinators, lambda _: ENDPOINTS)
    permits = TrialPermits(quarantine, sharing, coordinators, lambda _: ENDPOINTS, parts)
    end = wire.end(members[name].peer_address)
    sharing.connect(end)
    permits.connect(end)
    return Node(membership, records, quarantine, permits)


def test_one_of_all_nodes_that_ask_at_the_same_moment_may_send(nodes):
    async def body():
        for node in nodes:
            node.suspect(1, 2)
        found = await asyncio.gather(*(node.request() for node in nodes))
        granted = [each for each in found if each.answer is Answer.GRANTED]
        assert_that(granted, HasLength(1))

    asyncio.run(body())


def test_the_end_of_a_trial_releases_it_and_shares_its_outcome(nodes):
    async def body():
        one, other = nodes[1], nodes[2]
        one.suspect(1, 2)
        other.suspect(1, 2)
        held = await one.permits.request("cause", "n/q", SERVICE, "i-1", left_s=5.0)
        assert_that(held.answer, Is(Answer.GRANTED))
        one.records.record_crash("cause", 3, on_trial=True)
        one.permits.end("cause", "n/q", SERVICE)
        assert_that((await other.request()).answer, Is(Answer.QUARANTINED))
        assert_that(other.quarantine.verdict("cause").standing, Is(Standing.QUARANTINED))

    asyncio.run(body())


def test_the_node_that_knows_more_decides(nodes):
    async def body():
        # The coordinator knows of no crash; the trial request carries the sender's record.
        nodes[3].suspect(1, 2)
        assert_that((await nodes[3].request()).answer, Is(Answer.GRANTED))
        assert_that((await nodes[3].request()).answer, Is(Answer.WAIT))
        assert_that(nodes[0].records.find("cause").counted, HasLength(2))

    asyncio.run(body())


def test_the_coordinator_asks_itself(nodes):
    async def body():
        nodes[0].suspect(1, 2)
        held = await nodes[0].permits.request("cause", "n/q", SERVICE, "i-1", left_s=5.0)
        assert_that(held.answer, Is(Answer.GRANTED))
        assert_that((await nodes[0].request()).answer, Is(Answer.WAIT))
        nodes[0].permits.end("cause", "n/q", SERVICE)
        assert_that((await nodes[0].request()).answer, Is(Answer.GRANTED))

    asyncio.run(body())


def test_without_an_answer_a_suspect_waits(nodes, wire):
    async def body():
        nodes[1].suspect(1, 2)
        wire.silent.add(nodes[0].membership.me.peer_address)
        assert_that((await nodes[1].request()).answer, Is(Answer.WAIT))

    asyncio.run(body())


def test_after_the_loss_of_the_coordinator_the_next_one_decides(nodes, wire, clock):
    async def body():
        lost = nodes[0].membership.me
        clock.now_s += 5
        for node in nodes[1:]:
            node.suspect(1, 2)
            node.membership.merge(
                _again(each.membership.me) for each in nodes[1:] if each is not node
            )
        wire.silent.add(lost.peer_address)
        found = [(await node.request()).answer for node in nodes[1:]]
        assert_that(found.count(Answer.GRANTED), Equals(1))

    asyncio.run(body())


def _again(member):
    """Return a member with a later heartbeat."""
    return replace(member, heartbeat=member.heartbeat + 1)
