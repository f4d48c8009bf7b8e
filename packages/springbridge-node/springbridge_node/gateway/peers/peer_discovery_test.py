"""Tests of peer_discovery.py: when a node announces itself in the store and reads peers from it."""

import asyncio
import random

import pytest
from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.membership import Member, Membership
from springbridge.problems import Problem
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from springbridge_node import logs
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.peers.peer_discovery import PeerDiscovery

SEED = "10.0.0.7:1"
ANNOUNCED = "10.0.0.9:1"
OUT = Failure(Problem(Code.TABLE_UNAVAILABLE, "status 503", "store"))


class StoreOfNodes:
    """A store with the rows of nodes, which can be made unavailable."""

    def __init__(self):
        self.is_out = False
        self.announced = []
        self.reads = 0

    async def announce(self, peer_address):
        """Record an announcement, unless the store is unavailable."""
        if self.is_out:
            return OUT
        self.announced.append(peer_address)
        return Success(None)

    async def read_nodes(self):
        """Return the announced addresses, unless the store is unavailable."""
        self.reads += 1
        return OUT if self.is_out else Success([ANNOUNCED])


@pytest.fixture
def store():
    """Return a store that is available."""
    return StoreOfNodes()


@pytest.fixture
def membership(clock):
    """Return a membership that knows no peer."""
    return Membership(Member("me", "me", "10.0.0.1:1", "", "a"), clock, random.Random(1))


@pytest.fixture
def discovery(store, membership, clock):
    """Return the discovery of a node with one seed."""
    readers = StoreReaders(membership, False, clock)
    return PeerDiscovery(membership, store, readers, lambda: (SEED,))


@pytest.fixture
def logged(monkeypatch):
    """Return the list that collects the names of logged events."""
    found = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: found.append(name))
    return found


def targets(membership):
    """Return the addresses that a node without peers picks in 50 heartbeats."""
    return {address for _ in range(50) for address in membership.gossip_targets()}


def test_a_node_without_peers_tries_its_seeds_and_those_that_were_announced(
    discovery, store, membership
):
    asyncio.run(discovery.step())
    assert_that(targets(membership), Equals({SEED, ANNOUNCED}))
    assert_that(store.announced, Equals(["10.0.0.1:1"]))


def test_a_node_with_a_peer_does_not_read_and_announces_itself_once(discovery, store, membership):
    membership.merge([Member("other", "other", "10.0.0.2:1", "", "a")])
    asyncio.run(discovery.step())
    asyncio.run(discovery.step())
    assert_that((store.reads, len(store.announced)), Equals((0, 1)))


def test_a_store_that_is_out_leaves_the_seeds_and_says_so(discovery, store, membership, logged):
    store.is_out = True
    asyncio.run(discovery.step())
    assert_that(targets(membership), Equals({SEED}))
    assert_that(logged, Equals(["peers.announce_failed", "peers.lookup_failed"]))
    store.is_out = False
    asyncio.run(discovery.step())
    assert_that(store.announced, Contains("10.0.0.1:1"))
