"""Tests of load_sharing.py: which peers get the load notices of a request at an endpoint."""

import asyncio
import random
import time

import pytest
from springbridge.membership import Member, Membership
from springbridge.routing.coordinators import coordinators
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node.gateway.peers.coordinator_set import (
    MAX_FULL_MESH_NODES,
    CoordinatorSet,
)
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.load_sharing import BATCH_DELAY_S, LoadSharing

ENTRY = EndpointEntry("e1", "model", "10.1.0.1:80", "perth-a", 4, False)
DEMAND = Demand("q", "model", "perth-a", 2, 2.5)


class RecordingDatagrams(PeerDatagrams):
    """Datagrams that are only recorded."""

    def __init__(self, membership):
        super().__init__(membership, 7000)
        self.sent = []

    def send(self, kind, rows, peer_addresses):
        """Record rows and receivers."""
        self.sent.append((rows, peer_addresses))


def play(peers):
    """Return what a node with some peers sends for one request, and its endpoint's load."""
    me, *others = [
        Member(f"n{number}", f"n{number}", f"10.0.0.{number}:1", "", "perth-a")
        for number in range(peers + 1)
    ]
    membership = Membership(me, time.monotonic, random.Random(1))
    membership.merge(others)
    registry = EndpointRegistry(time.monotonic)
    registry.install(EndpointSnapshot(1, (ENTRY,)), {}, 0.0)
    state = registry.find("e1")

    async def body():
        datagrams = RecordingDatagrams(membership)
        found = CoordinatorSet(membership)
        sharing = LoadSharing(registry, "n0", found.notice_receivers, lambda notice: None)
        sharing.connect(datagrams)
        with sharing.attempt(Choice(state), DEMAND):
            during = state.in_flight
        await asyncio.sleep(BATCH_DELAY_S * 3)
        return datagrams.sent, during, state.in_flight, membership

    return asyncio.run(body())


def test_all_peers_get_the_start_and_the_end_in_one_datagram():
    sent, during, after, _ = play(7)
    ((rows, peers),) = sent
    assert_that(peers, HasLength(7))
    assert_that([row[0] for row in rows], Equals([0, 2]))
    assert_that((during, after), Equals((1, 0)))


@pytest.mark.parametrize("peers", [MAX_FULL_MESH_NODES, 40])
def test_in_a_large_fleet_only_coordinators_get_notices(peers):
    sent, during, after, membership = play(peers)
    expected = {
        member.peer_address
        for member in coordinators(membership.live(), "model")
        if member is not membership.me
    }
    ((_, receivers),) = sent
    assert_that(set(receivers), Equals(expected))
    assert_that((during, after), Equals((1, 0)))
