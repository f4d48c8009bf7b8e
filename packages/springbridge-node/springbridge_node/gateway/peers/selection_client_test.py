"""Tests of selection_client.py: asking coordinators to select an endpoint."""

import asyncio

import pytest
from springbridge.routing.coordinators import coordinators, in_order_for
from springbridge.routing.endpoint_choice import by_token_cost
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.selection_client import SelectionClient
from springbridge_node.gateway.peers.selection_server import SelectionServer

MODEL = "model"


@pytest.fixture
def select(wire, fleet, clock, demand, make_registry):
    """Return a function that sends requests in turn, with a server at each coordinator."""

    def play(times=1):
        found = CoordinatorSet(fleet, clock)
        for member in coordinators(fleet.live(), MODEL):
            SelectionServer(make_registry(), by_token_cost, clock).connect(
                wire.end(member.peer_address)
            )
        client = SelectionClient(make_registry(), found)
        client.connect(wire.end(fleet.me.peer_address))

        async def body():
            return [await client.select(demand, (), f"me/{number}") for number in range(times)]

        return asyncio.run(body())

    return play


def first_coordinators(fleet):
    """Return the peer addresses of the coordinators in the order in which the node asks them."""
    ordered = in_order_for(fleet.me.failure_domain, coordinators(fleet.live(), MODEL))
    return [member.peer_address for member in ordered]


def test_a_coordinator_selects_an_endpoint_under_the_client_s_attempt_id(fleet, select):
    (selection,) = select()
    assert_that(selection.choice.attempt_id, Equals("me/0"))
    assert_that(selection.choice.coordinator, Equals(first_coordinators(fleet)[0]))


def test_a_silent_coordinator_is_skipped_and_the_next_one_asked(fleet, wire, select):
    first, second, *_ = first_coordinators(fleet)
    wire.silent = {first}
    unanswered, answered = select(times=2)
    assert_that(unanswered, Is(None))
    assert_that(answered, Not(Is(None)))
    assert_that(wire.requested, Equals([first, second]))


def test_with_all_coordinators_silent_the_node_selects_by_itself(fleet, wire, select):
    wire.silent = set(first_coordinators(fleet))
    answers = select(times=7)
    assert_that(answers, Equals([None] * 7))
    assert_that(len(wire.requested), Equals(6))


def test_an_endpoint_that_the_client_may_not_use_is_not_taken(
    fleet, wire, clock, demand, make_registry
):
    found = CoordinatorSet(fleet, clock)
    address = found.preferred(MODEL)
    SelectionServer(make_registry(), by_token_cost, clock).connect(wire.end(address))
    client = SelectionClient(make_registry(endpoints=0), found)
    client.connect(wire.end(fleet.me.peer_address))
    assert_that(asyncio.run(client.select(demand, (), "me/0")), Is(None))


def test_a_refusal_by_a_coordinator_has_the_overload_that_caused_it(
    fleet, wire, clock, demand, make_registry
):
    registry = make_registry()
    for number in range(4 * 60):
        registry.apply_notice(LoadNotice(LoadPhase.STARTED, f"x{number}", f"e{number % 4}"))
    for member in coordinators(fleet.live(), MODEL):
        SelectionServer(registry, by_token_cost, clock).connect(wire.end(member.peer_address))
    client = SelectionClient(make_registry(), CoordinatorSet(fleet, clock))
    client.connect(wire.end(fleet.me.peer_address))
    selection = asyncio.run(client.select(demand, (), "me/0"))
    assert_that(selection.choice, Is(None))
    assert_that((selection.overload.in_flight, selection.overload.backlog_s), Equals((60, 0.0)))
