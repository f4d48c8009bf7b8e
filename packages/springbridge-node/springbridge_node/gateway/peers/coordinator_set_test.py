"""Tests of coordinator_set.py: which coordinator is asked, and which nodes get load notices."""

import random

from springbridge.membership import Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from springbridge_node.gateway.peers.coordinator_set import AVOIDED_S, CoordinatorSet

MODEL = "model"


def test_a_silent_coordinator_is_asked_again_after_a_moment(fleet, clock):
    found = CoordinatorSet(fleet, clock)
    first = found.preferred(MODEL)
    found.avoid(first)
    assert_that(found.preferred(MODEL), Not(Equals(first)))
    clock.now_s += AVOIDED_S
    assert_that(found.preferred(MODEL), Equals(first))


def test_in_a_small_fleet_every_node_is_a_coordinator(clock):
    me = Member("n0", "n0", "10.0.0.0:1", "", "a")
    membership = Membership(me, clock, random.Random(1))
    membership.merge([Member("n1", "n1", "10.0.0.1:1", "", "b")])
    found = CoordinatorSet(membership, clock)
    assert_that((found.includes_self(MODEL), found.preferred(MODEL)), Equals((True, None)))
    assert_that(found.notice_receivers(MODEL), Equals(["10.0.0.1:1"]))
