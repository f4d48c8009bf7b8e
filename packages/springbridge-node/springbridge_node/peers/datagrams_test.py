"""Tests of datagrams.py: whom a node tells."""

import random
import time

from springbridge.membership import Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node.peers.datagrams import PeerDatagrams


def datagrams_among(count):
    """Return the datagrams of a node that knows so many peers."""
    me, *peers = [
        Member(f"n{number}", f"n{number}", f"10.0.0.{number}:1", "", "perth-a")
        for number in range(count + 1)
    ]
    membership = Membership(me, time.monotonic, random.Random(1))
    membership.merge(peers)
    return PeerDatagrams(membership, 7000)


def test_in_a_large_fleet_the_same_peers_hear_of_a_request_s_beginning_and_end():
    datagrams = datagrams_among(40)
    first = datagrams.steady_peers(16)
    assert_that(first, HasLength(16))
    for _ in range(5):
        assert_that(datagrams.steady_peers(16), Equals(first))


def test_in_a_small_fleet_all_hear():
    assert_that(datagrams_among(7).steady_peers(16), HasLength(7))
