"""Tests of endpoint_follower.py: when the endpoint list is read from the store."""

import asyncio
import random
from dataclasses import fields, replace

import pytest
from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.membership import Member, Membership, SnapshotStatus
from springbridge.problems import Problem
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.routing.store_freshness import CHECK_INTERVAL_S, CONFIRMED_S, SNAPSHOT_INTERVAL_S
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from springbridge_node.gateway.config.conftest import Clock
from springbridge_node.gateway.config.endpoint_follower import (
    SAME_CONTENT_S,
    AgedSnapshot,
    EndpointFollower,
    FollowerHooks,
)
from springbridge_node.gateway.gateway_settings import GatewaySettings
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S

ENTRY = EndpointEntry("e1", "model", "127.0.0.1:1", "a", 4, False, version="v1")
LISTING = EndpointSnapshot(7, (ENTRY,))
TURN_S = 0.5
ROUND_S = 4.0


class Store:
    """A store that counts its calls and, while it is up, answers them."""

    def __init__(self):
        self.up = True
        self.reads = 0
        self.listing = LISTING
        self.during_read = lambda: None

    async def read_endpoints(self):
        """Return the list."""
        self.reads += 1
        if not self.up:
            return Failure(Problem(Code.TABLE_UNAVAILABLE, "down"))
        listing = self.listing
        self.during_read()
        return Success(listing)


class Readers:
    """A stand-in for StoreReaders with fixed answers."""

    def __init__(self, reads_for_all):
        self.reads_for_all = reads_for_all

    def include_me(self, count):
        """Return the set value."""
        return self.reads_for_all

    def waits_for_seeds(self):
        """Return that this node is not starting."""
        return False

    def turn_s(self, count):
        """Return the delay until a node that is not a reader has its turn."""
        return 0.0 if self.reads_for_all else TURN_S

    def round_s(self):
        """Return the time in which each node gets one turn."""
        return ROUND_S


class World:
    """A follower with a store, a peer and a clock."""

    def __init__(self, reads_for_all):
        self.clock = Clock()
        self.store = Store()
        self.registry = EndpointRegistry(self.clock)
        self.membership = Membership(Member("me", "me", "", "", "a"), self.clock, random.Random(1))
        self.peer_list = AgedSnapshot(LISTING, 0.0)
        self.fetches = 0
        self.beats = 0
        self.follower = EndpointFollower(
            self.store,
            self.registry,
            self.membership,
            Readers(reads_for_all),
            FollowerHooks(dict, self._fetch, lambda: None, lambda: None),
            interval_s=0.0,
            clock=self.clock,
        )

    async def _fetch(self, address):
        self.fetches += 1
        return self.peer_list

    def heard(self, age_s, fingerprint=None):
        """Merge a digest of a peer with the same list, or with a list of another fingerprint."""
        seen = SnapshotStatus(
            self.registry.fingerprint if fingerprint is None else fingerprint, age_s
        )
        self.beats += 1
        peer = Member("peer", "peer", "p", "", "a", heartbeat=self.beats, endpoint_snapshot=seen)
        self.membership.merge([peer])

    def steps(self, count=1):
        """Run steps and return the number of store reads that they made."""
        before = self.store.reads

        async def body():
            for _ in range(count):
                await self.follower.step()

        asyncio.run(body())
        return self.store.reads - before


@pytest.fixture
def reader():
    """Return the world of a reader."""
    return World(True)


@pytest.fixture
def other():
    """Return the world of a node that is not a reader, with a list that it read at its start."""
    world = World(False)
    assert_that(world.steps(), Equals(1))
    return world


def test_a_reader_reads_at_every_step(reader):
    assert_that(reader.steps(3), Equals(3))


def test_a_confirmed_node_leaves_the_store_alone(other):
    other.clock.now_s += CONFIRMED_S + TURN_S
    other.heard(0.1)
    assert_that(other.steps(2), Equals(0))


def test_an_unconfirmed_node_reads_when_its_turn_comes(other):
    other.clock.now_s += CONFIRMED_S + TURN_S - 0.1
    assert_that(other.steps(), Equals(0))
    other.clock.now_s += 0.2
    assert_that(other.steps(), Equals(1))


def test_a_node_that_failed_to_read_lets_all_others_try_before_it_tries_again(other):
    other.store.up = False
    other.peer_list = None
    other.clock.now_s += CONFIRMED_S + TURN_S + 0.1
    assert_that(other.steps(3), Equals(1))
    other.clock.now_s += ROUND_S
    assert_that(other.steps(3), Equals(1))


def test_a_reader_goes_on_trying_while_the_store_is_out(reader):
    reader.steps()
    reader.store.up = False
    reader.clock.now_s += CONFIRMED_S
    assert_that(reader.steps(3), Equals(3))


def test_a_node_without_a_list_reads_at_once_and_goes_on_trying(other):
    world = World(False)
    world.store.up = False
    world.peer_list = None
    assert_that(world.steps(), GreaterThan(0))
    world.clock.now_s += 0.1
    assert_that(world.steps(), GreaterThan(0))


def test_a_node_that_no_peer_gives_the_newer_list_reads_at_once(other):
    other.clock.now_s += 0.3
    other.heard(0.1, fingerprint=1)
    other.peer_list = None
    assert_that(other.steps(), Equals(1))


def test_a_peer_that_hashes_the_same_list_differently_is_asked_once_in_a_while(other):
    other.clock.now_s += 0.3
    for _ in range(4):
        other.heard(0.0, fingerprint=1)
        assert_that(other.steps(), Equals(0))
        other.clock.now_s += 0.05
    assert_that(other.fetches, Equals(1))
    other.clock.now_s += SAME_CONTENT_S
    other.heard(0.0, fingerprint=1)
    other.steps()
    assert_that(other.fetches, Equals(2))


def test_after_a_failed_read_a_younger_list_of_a_peer_is_taken(other):
    other.store.up = False
    other.clock.now_s += 10.0
    other.steps()
    assert_that(other.registry.age_s(), Equals(0.0))


def test_a_read_under_way_does_not_show_which_run_stated_that_it_leaves(reader):
    before, after = (replace(LISTING.entries[0], born_ms=born_ms) for born_ms in (1000, 2000))
    reader.store.listing = EndpointSnapshot(7, (before,))
    reader.steps()

    def start_again_and_leave():
        reader.clock.now_s += 0.2
        reader.registry.mark_leaving(before.incarnation, reader.clock.now_s)
        reader.clock.now_s += 0.2

    reader.store.during_read = start_again_and_leave
    reader.steps()
    reader.store.during_read = lambda: None
    reader.store.listing = EndpointSnapshot(8, (after,))
    reader.steps()
    assert_that(reader.registry.find("e1").entry, Equals(after))
    reader.clock.now_s += 2.0
    assert_that(reader.registry.candidates("model", ()), HasLength(0))


def test_a_working_reader_confirms_the_list_before_others_read_it_themselves():
    assert_that(CONFIRMED_S, GreaterThan(SNAPSHOT_INTERVAL_S + HEARTBEAT_INTERVAL_S))


def test_an_unconfirmed_node_reads_before_the_usual_drain_time_of_an_endpoint_is_over():
    defaults = {field.name: field.default for field in fields(GatewaySettings)}
    assert_that(defaults["drain_s"], GreaterThan(CONFIRMED_S + CHECK_INTERVAL_S))


# Guards against streams that cannot go on, as their engines came from a peer of an older build.
def test_a_list_without_versions_from_a_peer_is_read_from_the_store_once():
    world = World(reads_for_all=False)
    without = EndpointSnapshot(7, (replace(ENTRY, version=None),))
    world.peer_list = AgedSnapshot(without, 0.0)
    world.heard(0.1, fingerprint=5)
    assert_that(world.steps(), Equals(1))
    assert_that(world.registry.version_of("e1"), Equals("v1"))
    world.heard(0.1, fingerprint=6)
    assert_that(world.steps(), Equals(0))
    assert_that(world.registry.version_of("e1"), Equals("v1"))


# Guards against a node that keeps the list without versions which a seed of an older build gave it.
def test_a_list_without_versions_that_peers_confirm_is_read_from_the_store():
    world = World(reads_for_all=False)
    without = EndpointSnapshot(7, (replace(ENTRY, version=None),))
    world.registry.install(without, {}, 0.5)
    world.heard(0.1)
    assert_that(world.steps(), Equals(1))
    assert_that(world.registry.version_of("e1"), Equals("v1"))
    world.heard(0.1)
    assert_that(world.steps(), Equals(0))
