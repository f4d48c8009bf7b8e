"""Tests of member_log.py: which log lines changes of members cause."""

import random

import pytest
from springbridge.membership import GossipTiming, Member, Membership, Phase
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node import logs
from springbridge_node.gateway.peers.member_log import MAX_SINGLE_LINES, MemberLog

SUSPECT_S = 1.2


def peer(heartbeat, phase=Phase.LIVE):
    return Member("p", "peer", "10.0.0.2:1", "", "a", heartbeat=heartbeat, phase=phase)


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines that are written."""
    found = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: found.append((name, fields)))
    return found


@pytest.fixture
def membership(clock):
    """Return the membership of a node that knows no peer yet."""
    me = Member("me", "me", "10.0.0.1:1", "", "a")
    return Membership(me, clock, random.Random(1), GossipTiming(suspect_s=SUSPECT_S))


def test_a_member_that_falls_silent_and_is_heard_again_leaves_a_line_each(membership, clock, lines):
    member_log = MemberLog(membership)
    membership.merge([peer(1)], reported_by="p")
    member_log.check()
    clock.now_s += SUSPECT_S + 0.1
    member_log.check()
    member_log.check()
    membership.merge([peer(2)], reported_by="third")
    member_log.check()
    expected = [
        ("member.joined", 0, "p"),
        ("member.silent", 1300, "p"),
        ("member.heard", 0, "third"),
    ]
    logged = [(name, fields["heard_ms_ago"], fields["told_by"]) for name, fields in lines]
    assert_that(logged, Equals(expected))


def test_a_member_that_leaves_is_not_called_silent(membership, lines):
    member_log = MemberLog(membership)
    membership.merge([peer(1)], reported_by="p")
    member_log.check()
    membership.merge([peer(2, Phase.LEAVING)], reported_by="p")
    member_log.check()
    assert_that([name for name, _ in lines], Equals(["member.joined", "member.left"]))


def fleet(number, heartbeat=1):
    """Return the other members of a fleet."""
    return [
        Member(f"p{each}", f"peer-{each}", f"10.0.1.{each}:1", "", "a", heartbeat=heartbeat)
        for each in range(number)
    ]


def test_a_fleet_that_starts_falls_silent_and_comes_back_leaves_a_line_each(
    membership, clock, lines
):
    # The log writes 400 lines at once and 200 a second. A line for each of 195 members at a start
    # exhausts that, so that lines about requests are lost.
    member_log = MemberLog(membership)
    membership.merge(fleet(MAX_SINGLE_LINES + 1), reported_by="p")
    member_log.check()
    clock.now_s += SUSPECT_S + 0.1
    member_log.check()
    membership.merge(fleet(MAX_SINGLE_LINES + 1, heartbeat=2), reported_by="p")
    member_log.check()
    logged = [(name, fields["change"], fields["oldest_ms_ago"]) for name, fields in lines]
    expected = [
        ("members.changed", "joined", 0),
        ("members.changed", "silent", 1300),
        ("members.changed", "heard", 0),
    ]
    assert_that(logged, Equals(expected))
    instances = {f"peer-{each}" for each in range(MAX_SINGLE_LINES + 1)}
    assert_that([set(fields["instances"]) for _, fields in lines], Equals([instances] * 3))


def test_a_few_members_that_change_together_leave_a_line_each(membership, lines):
    member_log = MemberLog(membership)
    membership.merge(fleet(MAX_SINGLE_LINES), reported_by="p")
    member_log.check()
    assert_that([name for name, _ in lines], Equals(["member.joined"] * MAX_SINGLE_LINES))
