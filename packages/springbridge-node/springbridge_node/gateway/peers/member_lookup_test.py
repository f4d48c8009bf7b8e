"""Tests of member_lookup.py: a node requests members that a digest names by hash only."""

import random

import pytest
from springbridge.member import HeartbeatAge
from springbridge.membership import GossipTiming, Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node import clock as node_clock
from springbridge_node.gateway.peers import age_vector, codec
from springbridge_node.gateway.peers.datagrams import Kind
from springbridge_node.gateway.peers.gossip import Gossip
from springbridge_node.gateway.peers.member_lookup import (
    MAX_REQUESTED_MEMBERS,
    MEMBERS_PER_DATAGRAM,
    REQUEST_RETRY_S,
)
from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT, FIRST_HEARTBEAT_WITH_AGES

SENDER = "10.0.0.9:7000"


def member(name, heartbeat=FIRST_HEARTBEAT):
    return Member(name, name, f"{name}:1", f"{name}:2", "a", heartbeat=heartbeat)


class Sent:
    """Datagrams that are recorded instead of sent."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def handle(self, kind, handler):
        """Record a handler, for tests to call."""
        self.handlers[kind] = handler

    def send(self, kind, rows, peer_addresses):
        """Record a datagram."""
        self.sent.append((kind, rows, peer_addresses))

    def of(self, kind):
        """Return the rows and receivers of each datagram of a kind."""
        return [(rows, receivers) for each, rows, receivers in self.sent if each is kind]


@pytest.fixture
def sent(monkeypatch, clock):
    """Return the recorded datagrams of a node whose lookups use the tests' clock."""
    monkeypatch.setattr(node_clock, "_read", clock)
    return Sent()


@pytest.fixture
def membership(clock):
    """Return the view of a node that has just started."""
    return Membership(member("me"), clock, random.Random(1), GossipTiming(suspect_s=1.2))


@pytest.fixture
def gossip(membership, sent):
    """Return the gossip of that node."""
    return Gossip(membership, sent, lambda: None)


def take_digest(sent, names, heartbeat=FIRST_HEARTBEAT):
    """Deliver a digest whose ages name some members."""
    ages = [HeartbeatAge(name, 0.1) for name in names]
    sender_row = codec.member_row(member("teller", heartbeat))
    sent.handlers[Kind.AGED_DIGEST]([age_vector.encode(ages), sender_row], SENDER)


def keys(names):
    return [age_vector.key_of(name) for name in names]


def test_members_that_only_ages_name_are_requested_from_the_sender(gossip, sent):
    take_digest(sent, ["x", "y", "me"])
    assert_that(sent.of(Kind.MEMBERS_REQUEST), Equals([(keys(["x", "y"]), [SENDER])]))


def test_a_request_is_repeated_after_a_while_and_not_before(gossip, sent, clock):
    take_digest(sent, ["x"])
    take_digest(sent, ["x"])
    assert_that(sent.of(Kind.MEMBERS_REQUEST), HasLength(1))
    clock.now_s += REQUEST_RETRY_S
    take_digest(sent, ["x"])
    assert_that(sent.of(Kind.MEMBERS_REQUEST), HasLength(2))


def test_a_request_is_bounded_and_the_next_digest_asks_for_the_rest(gossip, sent):
    names = [f"x{number}" for number in range(MAX_REQUESTED_MEMBERS + 5)]
    take_digest(sent, names)
    take_digest(sent, names)
    sizes = [len(rows) for rows, _ in sent.of(Kind.MEMBERS_REQUEST)]
    assert_that(sizes, Equals([MAX_REQUESTED_MEMBERS, 5]))


def test_peers_of_earlier_builds_are_not_asked(gossip, sent):
    take_digest(sent, ["x"], heartbeat=FIRST_HEARTBEAT_WITH_AGES)
    assert_that(sent.of(Kind.MEMBERS_REQUEST), Equals([]))


def test_a_peer_gets_full_rows_of_the_members_that_it_requests(gossip, membership, sent):
    membership.merge([member(f"x{number}") for number in range(MEMBERS_PER_DATAGRAM + 2)])
    requested = keys([*(f"x{number}" for number in range(MEMBERS_PER_DATAGRAM + 1)), "stranger"])
    sent.handlers[Kind.MEMBERS_REQUEST](requested, SENDER)
    replies = sent.of(Kind.AGED_DIGEST)
    assert_that([len(rows) - 2 for rows, _ in replies], Equals([MEMBERS_PER_DATAGRAM, 1]))
    assert_that({receivers[0] for _, receivers in replies}, Equals({SENDER}))
    read = [codec.read_member(row, lambda name: None) for rows, _ in replies for row in rows[1:]]
    named = {each.incarnation for each in read}
    assert_that(
        named, Equals({"me", *(f"x{number}" for number in range(MEMBERS_PER_DATAGRAM + 1))})
    )


def test_a_node_that_is_asked_for_itself_answers(gossip, sent):
    sent.handlers[Kind.MEMBERS_REQUEST](keys(["me"]), SENDER)
    ((rows, receivers),) = sent.of(Kind.AGED_DIGEST)
    assert_that(rows[1], Equals(codec.member_row(member("me"))))


def test_a_sender_known_by_a_state_row_only_is_requested_itself(gossip, sent):
    sender_row = codec.state_row(member("teller"))
    sent.handlers[Kind.AGED_DIGEST](["", sender_row], SENDER)
    assert_that(sent.of(Kind.MEMBERS_REQUEST), Equals([(keys(["teller"]), [SENDER])]))


def test_a_new_sender_gets_a_digest_at_once_and_a_known_one_does_not(gossip, sent):
    take_digest(sent, [])
    assert_that([receivers for _, receivers in sent.of(Kind.AGED_DIGEST)], Equals([[SENDER]]))
    take_digest(sent, [])
    assert_that(sent.of(Kind.AGED_DIGEST), HasLength(1))


def test_a_node_that_is_not_ready_sends_its_row_to_nobody(membership, sent):
    # Otherwise peers would send callers to it.
    Gossip(membership, sent, lambda: None, may_announce=lambda: False)
    membership.merge([member("x")])
    take_digest(sent, ["y"])
    sent.handlers[Kind.MEMBERS_REQUEST](keys(["me", "x"]), SENDER)
    assert_that(sent.of(Kind.AGED_DIGEST), Equals([]))
    assert_that(sent.of(Kind.MEMBERS_REQUEST), Equals([(keys(["y"]), [SENDER])]))
