"""Tests of evacuation_sharing.py: how evacuations of failure domains spread among nodes."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from springbridge.membership import Member, Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.evacuations import EvacuationUpdate
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node.gateway.peers.evacuation_sharing import END_RESEND_S, EvacuationSharing


@pytest.fixture
def fleet(clock, wire):
    """Return ten nodes that know each other."""
    members = [
        Member(f"run-{n}", f"node-{n}", f"10.0.0.{n}:7000", f"10.0.0.{n}:80", "a")
        for n in range(10)
    ]
    nodes = []
    for member in members:
        membership = Membership(member, clock, random.Random(member.incarnation))
        membership.merge(members)
        sharing = EvacuationSharing(membership, EndpointRegistry(clock), clock)
        end = wire.end(member.peer_address)
        end._membership = membership
        sharing.connect(end)
        nodes.append(sharing)
    return SimpleNamespace(nodes=nodes, members=members, wire=wire, clock=clock)


def evacuating(*domains):
    """Return store data by which exactly these domains are evacuated."""
    return EvacuationUpdate(True, tuple((domain, True) for domain in domains))


def known(fleet):
    """Return the different sets of domains that the nodes evacuate."""
    return {tuple(sorted(node.domains)) for node in fleet.nodes}


async def beat(fleet, times):
    """Run some heartbeats of all nodes."""
    for _ in range(times):
        fleet.clock.now_s += 0.25
        for node in fleet.nodes:
            await node.beat()


def test_all_nodes_know_at_once_what_one_reads_from_the_store(fleet):
    fleet.nodes[0].apply_store(10, evacuating("a"))
    assert_that(known(fleet), Equals({("a",)}))
    fleet.nodes[3].apply_store(11, evacuating())
    assert_that(known(fleet), Equals({()}))


def test_a_node_that_was_cut_off_learns_it_at_a_beat(fleet):
    cut = fleet.members[5].peer_address
    fleet.wire.silent.add(cut)
    fleet.nodes[0].apply_store(10, evacuating("a"))
    assert_that(known(fleet), Equals({("a",), ()}))
    fleet.wire.silent.clear()
    asyncio.run(beat(fleet, 8))
    assert_that(known(fleet), Equals({("a",)}))


def test_a_node_that_missed_the_end_gets_it_in_reply_to_its_own_reading(fleet):
    fleet.nodes[0].apply_store(10, evacuating("a"))
    fleet.wire.silent.add(fleet.members[5].peer_address)
    fleet.nodes[0].apply_store(11, evacuating())
    fleet.clock.now_s += END_RESEND_S + 1.0
    fleet.wire.silent.clear()
    for member in fleet.members:
        for node in fleet.nodes:
            node._membership.merge([member])
    asyncio.run(fleet.nodes[5].beat())
    assert_that(known(fleet), Equals({()}))


def test_nothing_is_sent_before_the_first_evacuation(fleet):
    sent = []
    for node in fleet.nodes:
        node._datagrams.send = lambda *args: sent.append(args)
    fleet.nodes[0].apply_store(10, evacuating())
    asyncio.run(beat(fleet, 4))
    assert_that(sent, HasLength(0))
