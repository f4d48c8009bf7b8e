"""Tests of config_catch_up.py: when a node fetches a configuration from peers."""

import asyncio
import contextlib
import random

import pytest
from springbridge.membership import Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.peers.config_catch_up import FIRST_VERSION, ConfigurationCatchUp


class FollowerAt:
    """A configuration follower that only records the versions it is to catch up with."""

    def __init__(self, version):
        self.version = version
        self.asked = []

    async def catch_up(self, newest, fetch):
        """Record the version and take it as reached."""
        self.asked.append(newest)
        self.version = max(self.version, newest)


class NoPeerClient:
    """A peer client that is passed on but never called."""

    configuration_after = None


@pytest.fixture
def membership(clock):
    """Return a membership with a peer that has version 7."""
    me = Member("me", "me", "10.0.0.1:1", "", "a")
    membership = Membership(me, clock, random.Random(1))
    membership.merge([Member("peer", "peer", "10.0.0.2:1", "", "a", config_version=7)])
    return membership


@pytest.fixture
def steps(membership):
    """Return a function that wakes a catch-up and returns the versions it caught up with."""

    def run(follower, wake):
        async def body():
            catch_up = ConfigurationCatchUp(membership, follower, NoPeerClient())
            getattr(catch_up, wake)()
            # A step that is not woken waits forever.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await catch_up.step()
            return follower.asked

        return asyncio.run(body())

    return run


def test_a_node_that_is_behind_fetches_the_newest_version_of_its_peers(steps):
    assert_that(steps(FollowerAt(6), "wake_if_behind"), Equals([7]))


def test_a_node_that_is_level_is_not_woken_by_a_digest(steps):
    assert_that(steps(FollowerAt(7), "wake_if_behind"), Equals([]))


def test_a_starting_node_asks_even_if_no_peer_is_known(steps, membership, clock):
    clock.now_s += 1000
    assert_that(steps(FollowerAt(0), "wake"), Equals([FIRST_VERSION]))
