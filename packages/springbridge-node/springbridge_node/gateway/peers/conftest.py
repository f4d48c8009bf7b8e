"""Fixtures of the tests in this folder: a clock, a large fleet, and datagrams without a network."""

import random

import pytest
from springbridge.membership import Member, Membership
from springbridge.routing.coordinators import coordinators
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot, PromptPart

from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

FAILURE_DOMAINS = ("a", "b", "c")
NODES = 30


class Clock:
    """A clock that tests advance by hand."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        """Return the time."""
        return self.now_s


class Wire:
    """A network that delivers datagrams at once, except to addresses in `silent`.

    Attributes:
      requested: The receivers of selection requests, in order.
    """

    def __init__(self):
        self.ends = {}
        self.silent = set()
        self.requested = []

    def end(self, address):
        """Return the socket of a node with an address."""
        self.ends[address] = WireEnd(self, address)
        return self.ends[address]


class WireEnd(PeerDatagrams):
    """The socket of one node."""

    def __init__(self, wire, address):
        super().__init__(None, 7000)
        self._wire = wire
        self._address = address

    def send(self, kind, rows, peer_addresses):
        """Pass rows to the receivers' handlers directly."""
        for address in peer_addresses:
            if kind is Kind.SELECTION_REQUEST:
                self._wire.requested.append(address)
            if address in self._wire.ends and address not in self._wire.silent:
                self._wire.ends[address]._handlers[int(kind)](rows, self._address)


@pytest.fixture
def clock():
    """Return a clock that advances only when a test changes it."""
    return Clock()


@pytest.fixture
def wire():
    """Return a network that loses nothing."""
    return Wire()


@pytest.fixture
def demand():
    """Return the demand of a request with a shared prompt part, in failure domain a."""
    parts = (PromptPart("shared", 13_000), PromptPart("own", 3_000))
    return Demand("q", "model", "a", 1, 2.5, 16_000, parts, True)


@pytest.fixture
def make_registry(clock):
    """Return a function that makes a registry of model endpoints in failure domain a."""

    def make(endpoints=4):
        registry = EndpointRegistry(clock)
        entries = tuple(
            EndpointEntry(f"e{number}", "model", f"10.9.0.{number}:80", "a", 64, False)
            for number in range(endpoints)
        )
        registry.install(EndpointSnapshot(1, entries), {"model": 500_000}, 0.0)
        return registry

    return make


@pytest.fixture
def fleet(clock):
    """Return a membership of many nodes, seen by one that is no coordinator."""
    members = [
        Member(
            f"n{number}",
            f"n{number}",
            f"10.0.0.{number}:1",
            "",
            FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        )
        for number in range(NODES)
    ]
    roles = coordinators(members, "model")
    me = next(member for member in members if member.failure_domain == "a" and member not in roles)
    membership = Membership(me, clock, random.Random(1))
    membership.merge(member for member in members if member is not me)
    return membership
