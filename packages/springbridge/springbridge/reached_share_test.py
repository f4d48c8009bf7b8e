"""Tests of Membership.reached_share(): the share of the instances that a node reaches."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.membership import FORGET_S, SUSPECT_S, Member, Membership, Phase


def member(name, incarnation="", **fields):
    return Member(incarnation or name, name, f"{name}:1", f"{name}:2", "a", **fields)


@pytest.fixture
def view(clock):
    """Return the view of a node that has just received heartbeats of three others."""
    made = Membership(member("me"), clock, random.Random(1))
    made.merge([member("a", heartbeat=1), member("b", heartbeat=1), member("c", heartbeat=1)])
    return made


def test_a_node_that_hears_all_reaches_the_whole_fleet(view):
    assert_that(view.reached_share(), Equals(1.0))


def test_members_that_fell_silent_may_be_behind_a_cut(view, clock):
    clock.advance(SUSPECT_S + 0.1)
    view.merge([member("a", heartbeat=2)])
    assert_that(view.reached_share(), Equals(0.5))


def test_members_that_ended_as_planned_are_not_missed(view, clock):
    view.merge([member("b", heartbeat=2, phase=Phase.GONE), member("a", heartbeat=2)])
    clock.advance(SUSPECT_S + 0.1)
    view.merge([member("a", heartbeat=3), member("c", heartbeat=2)])
    assert_that(view.reached_share(), Equals(1.0))


def test_a_member_that_came_back_at_its_address_is_not_missed(view, clock):
    clock.advance(SUSPECT_S + 0.1)
    again = [member(name, f"{name}-again", heartbeat=1) for name in "abc"]
    view.merge(again)
    assert_that(view.reached_share(), Equals(1.0))


def test_members_silent_for_long_are_forgotten(view, clock):
    clock.advance(FORGET_S + 0.1)
    view.forget_old()
    assert_that(view.reached_share(), Equals(1.0))
