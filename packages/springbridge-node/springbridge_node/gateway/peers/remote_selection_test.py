"""Tests of assignments.py and scheduler_set.py: asking a scheduler, and what it counts."""

import asyncio
import random

import pytest
from springbridge.membership import Member, Membership
from springbridge.routing.coordinators import coordinators, in_order_for
from springbridge.routing.endpoint_choice import by_token_cost
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot, PromptPart
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from springbridge_node.gateway.peers.coordinator_set import AVOIDED_S, CoordinatorSet
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.remote_selection import (
    CONFIRMED_S,
    SelectionClient,
    SelectionServer,
)

PARTS = (PromptPart("shared", 13_000), PromptPart("own", 3_000))
TARGET_S = 2.5
DEMAND = Demand("q", "model", "a", 1, TARGET_S, 16_000, PARTS, True)
PLACES = ("a", "b", "c")
NODES = 30
MODEL = "model"


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        """Return the time."""
        return self.now_s


class Wire:
    """Datagrams that reach their receivers at once, but for addresses that are silent."""

    def __init__(self):
        self.ends = {}
        self.silent = set()
        self.asked = []

    def end(self, address):
        """Return the datagrams of one node."""
        self.ends[address] = WireEnd(self, address)
        return self.ends[address]


class WireEnd(PeerDatagrams):
    """One node's datagrams."""

    def __init__(self, wire, address):
        super().__init__(None, 7000)
        self._wire = wire
        self._address = address

    def send(self, kind, rows, peer_addresses):
        """Hand rows to the receivers' handlers."""
        for address in peer_addresses:
            if kind is Kind.ASK:
                self._wire.asked.append(address)
            if address in self._wire.ends and address not in self._wire.silent:
                self._wire.ends[address]._handlers[int(kind)](rows, self._address)


def make_board(clock, endpoints=4):
    """Return a board of model engines in failure domain a."""
    registry = EndpointRegistry(clock)
    entries = tuple(
        EndpointEntry(f"e{number}", "model", f"10.9.0.{number}:80", "a", 64, False)
        for number in range(endpoints)
    )
    registry.install(EndpointSnapshot(1, entries), {"model": 500_000}, 0.0)
    return registry


@pytest.fixture
def clock():
    """Return a clock at rest."""
    return Clock()


@pytest.fixture
def fleet(clock):
    """Return a membership of many nodes, seen by one that does not schedule."""
    members = [
        Member(f"n{number}", f"n{number}", f"10.0.0.{number}:1", "", PLACES[number % len(PLACES)])
        for number in range(NODES)
    ]
    roles = coordinators(members, MODEL)
    me = next(member for member in members if member.failure_domain == "a" and member not in roles)
    membership = Membership(me, clock, random.Random(1))
    membership.merge(member for member in members if member is not me)
    return membership


def ask(wire, fleet, clock, times=1):
    """Return what a node gets that asks so many times, with all schedulers answering."""
    found = CoordinatorSet(fleet, clock)
    for member in coordinators(fleet.live(), MODEL):
        SelectionServer(make_board(clock), by_token_cost, clock).connect(
            wire.end(member.peer_address)
        )
    client = SelectionClient(make_board(clock), found)
    client.connect(wire.end(fleet.me.peer_address))

    async def body():
        return [await client.ask(DEMAND, (), f"me/{number}") for number in range(times)]

    return asyncio.run(body())


def first_schedulers(fleet):
    """Return the peer addresses of the schedulers in the order in which the node asks them."""
    ordered = in_order_for(fleet.me.failure_domain, coordinators(fleet.live(), MODEL))
    return [member.peer_address for member in ordered]


def test_a_scheduler_names_an_engine_under_the_asker_s_attempt(fleet, clock):
    wire = Wire()
    (selection,) = ask(wire, fleet, clock)
    assert_that(selection.choice.attempt_id, Equals("me/0"))
    assert_that(selection.choice.coordinator, Equals(first_schedulers(fleet)[0]))


def test_a_silent_scheduler_is_left_out_and_the_next_one_asked(fleet, clock):
    wire = Wire()
    first, second, *_ = first_schedulers(fleet)
    wire.silent = {first}
    alone, told = ask(wire, fleet, clock, times=2)
    assert_that(alone, Is(None))
    assert_that(told, Not(Is(None)))
    assert_that(wire.asked, Equals([first, second]))


def test_a_silent_scheduler_is_asked_again_after_a_moment(fleet, clock):
    found = CoordinatorSet(fleet, clock)
    first = found.first(MODEL)
    found.avoid(first)
    assert_that(found.first(MODEL), Not(Equals(first)))
    clock.now_s += AVOIDED_S
    assert_that(found.first(MODEL), Equals(first))


def test_with_all_schedulers_silent_the_node_chooses_alone(fleet, clock):
    wire = Wire()
    wire.silent = set(first_schedulers(fleet))
    told = ask(wire, fleet, clock, times=7)
    assert_that(told, Equals([None] * 7))
    assert_that(len(wire.asked), Equals(6))


def test_an_engine_that_the_asker_may_not_use_is_not_taken(fleet, clock):
    wire = Wire()
    found = CoordinatorSet(fleet, clock)
    address = found.first(MODEL)
    SelectionServer(make_board(clock), by_token_cost, clock).connect(wire.end(address))
    client = SelectionClient(make_board(clock, endpoints=0), found)
    client.connect(wire.end(fleet.me.peer_address))
    assert_that(asyncio.run(client.ask(DEMAND, (), "me/0")), Is(None))


def test_a_scheduler_learns_of_an_engine_that_an_asker_found_gone(clock):
    # findwell-wa-grown, scale-1, seed 7: engines that had come back under other names were named
    # again and again, as each node had to find out for itself.
    registry = make_board(clock)
    server = SelectionServer(registry, by_token_cost, clock)
    gone = server.select(DEMAND, (), "a").endpoint_id
    registry.take_notice(LoadNotice(LoadPhase.GONE, "", gone))
    second = server.select(DEMAND, (), "b").endpoint_id
    registry.take_notice(LoadNotice(LoadPhase.UNREACHED, "", second))
    third = server.select(DEMAND, (), "c").endpoint_id
    assert_that(len({gone, second, third}), Equals(3))
    registry.reached(registry.find(second))
    others = {"e0", "e1", "e2", "e3"} - {second}
    assert_that(server.select(DEMAND, (), "d", others).endpoint_id, Equals(second))


def test_questions_at_the_same_moment_are_spread(clock):
    server = SelectionServer(make_board(clock), by_token_cost, clock)
    short = [
        Demand(f"q{number}", "model", "a", 1, TARGET_S, 4_000, (), False) for number in range(4)
    ]
    named = {server.select(demand, (), demand.request_id).endpoint_id for demand in short}
    assert_that(len(named), Equals(4))


def test_an_attempt_is_counted_once_and_only_while_it_is_confirmed(clock):
    registry = make_board(clock)
    server = SelectionServer(registry, by_token_cost, clock)
    kept = server.select(DEMAND, (), "kept").endpoint_id
    dropped = server.select(DEMAND, (), "dropped").endpoint_id
    notice = LoadNotice(LoadPhase.STARTED, "kept", kept, 16_000, PARTS)
    server.heard(notice)
    registry.take_notice(notice)
    assert_that(registry.find(kept).loads["kept"].prefill_tokens, Equals(16_000))
    clock.now_s += CONFIRMED_S + 0.1
    server.select(DEMAND, (), "later")
    assert_that("dropped" in registry.find(dropped).loads, Equals(False))
    assert_that("kept" in registry.find(kept).loads, Equals(True))


def test_the_least_urgent_are_refused_by_the_scheduler_while_all_engines_are_too_full(clock):
    registry = make_board(clock)
    for number in range(4 * 40):
        registry.take_notice(LoadNotice(LoadPhase.STARTED, f"x{number}", f"e{number % 4}"))
    server = SelectionServer(registry, by_token_cost, clock)
    told = server.select(Demand("q", "model", "a", 2, TARGET_S, 16_000, PARTS, True), (), "x")
    assert_that((told.endpoint_id, told.overload.in_flight), Equals(("", 40)))


def test_a_refusal_by_a_scheduler_comes_with_what_decided_it(fleet, clock):
    wire = Wire()
    registry = make_board(clock)
    for number in range(4 * 60):
        registry.take_notice(LoadNotice(LoadPhase.STARTED, f"x{number}", f"e{number % 4}"))
    for member in coordinators(fleet.live(), MODEL):
        SelectionServer(registry, by_token_cost, clock).connect(wire.end(member.peer_address))
    client = SelectionClient(make_board(clock), CoordinatorSet(fleet, clock))
    client.connect(wire.end(fleet.me.peer_address))
    selection = asyncio.run(client.ask(DEMAND, (), "me/0"))
    assert_that(selection.choice, Is(None))
    assert_that((selection.overload.in_flight, selection.overload.backlog_s), Equals((60, 0.0)))


def test_in_a_small_fleet_every_node_schedules(clock):
    me = Member("n0", "n0", "10.0.0.0:1", "", "a")
    membership = Membership(me, clock, random.Random(1))
    membership.merge([Member("n1", "n1", "10.0.0.1:1", "", "b")])
    found = CoordinatorSet(membership, clock)
    assert_that((found.includes_me(MODEL), found.first(MODEL)), Equals((True, None)))
    assert_that(found.audience(MODEL), Equals(["10.0.0.1:1"]))
