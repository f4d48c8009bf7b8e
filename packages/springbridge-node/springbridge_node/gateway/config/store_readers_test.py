"""Tests of store_readers.py: which nodes read the store, and when others read in their place."""

import random

import pytest
from springbridge.membership import Member, Membership
from springbridge.routing.store_freshness import ASK_SEEDS_FIRST_S, ROLES_AFTER_S, TURN_S
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.config.store_readers import StoreReaders

NODES = 40
READERS = 5


@pytest.fixture
def fleet(clock):
    """Return the StoreReaders of each node of a fleet."""
    members = [Member(f"n{number}", f"n{number}", "", "", "a") for number in range(NODES)]
    views = []
    for me in members:
        membership = Membership(me, clock, random.Random(1))
        membership.merge(member for member in members if member is not me)
        views.append(StoreReaders(membership, False, clock))
    return views


def test_few_of_many_nodes_read(fleet):
    assert_that(sum(view.include_me(READERS) for view in fleet), Equals(READERS))


def test_the_others_take_turns_and_those_that_read_need_none(fleet):
    turns_s = sorted(view.turn_s(READERS) for view in fleet)
    wanted_s = [0.0] * READERS + [TURN_S * rank for rank in range(NODES - READERS)]
    assert_that([round(turn_s, 6) for turn_s in turns_s], Equals([round(s, 6) for s in wanted_s]))


def test_a_round_gives_each_node_a_turn(fleet):
    assert_that({round(view.round_s(), 6) for view in fleet}, Equals({round(TURN_S * NODES, 6)}))


def test_a_leaving_node_reads_for_nobody(clock):
    membership = Membership(Member("n", "n", "", "", "a"), clock, random.Random(1))
    readers = StoreReaders(membership, False, clock)
    assert_that(readers.include_me(READERS), Equals(True))
    membership.leave()
    assert_that(readers.include_me(READERS), Equals(False))


def test_a_node_without_peers_has_its_turn_at_once(clock):
    alone = Membership(Member("n", "n", "", "", "a"), clock, random.Random(1))
    assert_that(StoreReaders(alone, False, clock).turn_s(0), Equals(0.0))


def test_only_a_node_that_asks_seeds_first_waits_for_them(clock):
    membership = Membership(Member("n", "n", "", "", "a"), clock, random.Random(1))
    waits = [StoreReaders(membership, asks, clock).waits_for_seeds() for asks in (True, False)]
    assert_that(waits, Equals([True, False]))
    readers = StoreReaders(membership, True, clock)
    clock.now_s += ASK_SEEDS_FIRST_S
    assert_that(readers.waits_for_seeds(), Equals(False))


def test_a_node_that_has_just_started_reads_for_nobody_else(clock):
    # When a whole fleet starts, each node at first knows only itself, and would take every role.
    membership = Membership(Member("n", "n", "", "", "a"), clock, random.Random(1))
    readers = StoreReaders(membership, False, clock, roles_after_s=ROLES_AFTER_S)
    assert_that(readers.include_me(READERS), Equals(False))
    clock.now_s += ROLES_AFTER_S
    assert_that(readers.include_me(READERS), Equals(True))
