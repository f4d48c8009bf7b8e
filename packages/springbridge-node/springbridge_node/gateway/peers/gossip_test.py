"""Tests of gossip.py: which digest each peer gets, and how reports of third nodes are merged."""

import random

import pytest
from springbridge.membership import GossipTiming, Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.peers import age_vector, codec
from springbridge_node.gateway.peers.datagrams import Kind
from springbridge_node.gateway.peers.gossip import Gossip
from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT

SUSPECT_S = 1.2


def member(name, heartbeat=FIRST_HEARTBEAT):
    return Member(name, name, f"{name}:1", f"{name}:2", "a", heartbeat=heartbeat)


class Sent:
    """Datagrams that are recorded instead of sent."""

    def __init__(self):
        self.kinds = {}
        self.handlers = {}

    def handle(self, kind, handler):
        """Record a handler, for tests to call."""
        self.handlers[kind] = handler

    def send(self, kind, rows, peer_addresses):
        """Record the last datagram that each peer gets."""
        for address in peer_addresses:
            self.kinds[address] = (kind, rows)

    def sample_peers(self, limit):
        """Return two peers."""
        return ["new:1", "old:1"]


@pytest.fixture
def sent():
    """Return the recorded datagrams of a node."""
    return Sent()


@pytest.fixture
def membership(clock):
    """Return the view of a node that has just started."""
    return Membership(member("me"), clock, random.Random(1), GossipTiming(suspect_s=SUSPECT_S))


@pytest.fixture
def gossip(membership, sent):
    """Return the gossip of that node, which knows a peer of this and one of an earlier build."""
    found = Gossip(membership, sent, lambda: None)
    rows = [codec.member_row(member("new")), codec.member_row(member("old", heartbeat=7))]
    sent.handlers[Kind.DIGEST](rows, "")
    # Drop the digest that a new sender gets at once.
    sent.kinds.clear()
    return found


def names(membership):
    return sorted(membership.incarnations())


def test_ages_go_to_peers_that_read_them_and_plain_digests_to_all_others(gossip, sent):
    gossip.send(["new:1", "old:1", "unknown:1"])
    kinds = {address: kind for address, (kind, _) in sent.kinds.items()}
    expected = {"new:1": Kind.AGED_DIGEST, "old:1": Kind.DIGEST, "unknown:1": Kind.DIGEST}
    assert_that(kinds, Equals(expected))


def test_a_peer_of_an_earlier_build_gets_rows_that_it_reads(gossip, sent):
    gossip.send(["old:1"])
    _, rows = sent.kinds["old:1"]
    read = [codec.read_member(row, lambda incarnation: None) for row in rows]
    assert_that(sorted(each.incarnation for each in read), Equals(["me", "new", "old"]))


def test_an_urgent_update_is_the_senders_row_alone_in_a_format_that_all_builds_read(gossip, sent):
    gossip.push()
    found = {(kind, len(rows)) for kind, rows in sent.kinds.values()}
    assert_that(found, Equals({(Kind.DIGEST, 1)}))


def test_a_late_heartbeat_of_a_third_node_is_no_sign_of_life(gossip, membership, sent, clock):
    clock.now_s += 1.0
    late = codec.state_row(member("new", heartbeat=FIRST_HEARTBEAT + 9))
    sender_row = codec.member_row(member("teller"))
    ages = [age_vector.HeartbeatAge("new", 1.1), age_vector.HeartbeatAge("old", 0.1)]
    sent.handlers[Kind.AGED_DIGEST]([age_vector.encode(ages), sender_row, late], "")
    assert_that(names(membership), Equals(["me", "new", "old", "teller"]))
    clock.now_s += 0.3
    assert_that(names(membership), Equals(["me", "old", "teller"]))


def test_a_plain_digest_tells_no_age_of_a_node_that_sends_ages(gossip, membership, sent, clock):
    # The sender has an earlier build: what it reports of nodes of earlier builds counts as new,
    # since their ages are unknown.
    clock.now_s += 1.0
    rows = [
        codec.member_row(member("teller", heartbeat=3)),
        codec.state_row(member("new", heartbeat=FIRST_HEARTBEAT + 9)),
        codec.state_row(member("old", heartbeat=9)),
    ]
    sent.handlers[Kind.DIGEST](rows, "")
    clock.now_s += 0.3
    assert_that(names(membership), Equals(["me", "old", "teller"]))


def test_ages_of_members_that_are_not_known_are_passed_over(gossip, membership, sent):
    ages = [age_vector.HeartbeatAge("stranger", 0.1)]
    sender_row = codec.member_row(member("teller"))
    sent.handlers[Kind.AGED_DIGEST]([age_vector.encode(ages), sender_row], "")
    assert_that(names(membership), Equals(["me", "new", "old", "teller"]))


def test_a_member_forgotten_long_ago_leaves_nothing_behind(gossip, membership, sent, clock):
    sender_row = codec.member_row(member("teller"))
    sent.handlers[Kind.AGED_DIGEST](["", sender_row], "")
    clock.now_s += 100.0
    membership.forget_old()
    gossip.forget_gone()
    assert_that(gossip._names, Equals({}))
