"""Tests of selection_server.py: what a coordinator selects, and which attempts it counts."""

from dataclasses import replace

import pytest
from springbridge.routing.endpoint_choice import by_token_cost
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import Demand
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge_node.gateway.peers.load_sharing import BATCH_DELAY_S
from springbridge_node.gateway.peers.pending_replies import REPLY_TIMEOUT_S
from springbridge_node.gateway.peers.selection_messages import SelectionRequest
from springbridge_node.gateway.peers.selection_server import CONFIRMATION_TIMEOUT_S, SelectionServer


@pytest.fixture
def registry(make_registry):
    """Return a registry of four model endpoints."""
    return make_registry()


@pytest.fixture
def server(registry, clock):
    """Return a server on that registry."""
    return SelectionServer(registry, by_token_cost, clock)


def select(server, demand, attempt_id, avoided=()):
    """Return a server's reply for an attempt."""
    return server.select(SelectionRequest(0, attempt_id, [], list(avoided), demand))


def test_a_coordinator_learns_of_an_endpoint_that_a_client_found_gone(server, registry, demand):
    # After endpoints restart under other ids, coordinators must not go on selecting the old ones
    # until each node has found out for itself.
    gone = select(server, demand, "a").endpoint_id
    registry.apply_notice(LoadNotice(LoadPhase.GONE, "", gone))
    second = select(server, demand, "b").endpoint_id
    registry.apply_notice(LoadNotice(LoadPhase.UNREACHED, "", second))
    third = select(server, demand, "c").endpoint_id
    assert_that(len({gone, second, third}), Equals(3))
    registry.mark_reachable(registry.find(second))
    others = {"e0", "e1", "e2", "e3"} - {second}
    assert_that(select(server, demand, "d", others).endpoint_id, Equals(second))


def test_requests_at_the_same_moment_are_spread_over_endpoints(server):
    short = [Demand(f"q{number}", "model", "a", 1, 2.5, 4_000, (), False) for number in range(4)]
    named = {select(server, demand, demand.request_id).endpoint_id for demand in short}
    assert_that(len(named), Equals(4))


def test_an_attempt_is_counted_once_and_only_while_it_is_confirmed(server, registry, clock, demand):
    kept = select(server, demand, "kept").endpoint_id
    dropped = select(server, demand, "dropped").endpoint_id
    notice = LoadNotice(LoadPhase.STARTED, "kept", kept, 16_000, demand.prompt_parts)
    server.confirm(notice)
    registry.apply_notice(notice)
    assert_that(registry.find(kept).loads["kept"].prefill_tokens, Equals(16_000))
    clock.now_s += CONFIRMATION_TIMEOUT_S + 0.1
    select(server, demand, "later")
    assert_that("dropped" in registry.find(dropped).loads, Equals(False))
    assert_that("kept" in registry.find(kept).loads, Equals(True))


def test_the_least_urgent_are_refused_by_the_coordinator_while_all_endpoints_are_too_full(
    server, registry, demand
):
    for number in range(4 * 40):
        registry.apply_notice(LoadNotice(LoadPhase.STARTED, f"x{number}", f"e{number % 4}"))
    reply = select(server, replace(demand, priority=2), "x")
    assert_that((reply.endpoint_id, reply.overload.in_flight), Equals(("", 40)))


def test_an_attempt_counts_until_its_node_can_have_confirmed_it():
    assert_that(CONFIRMATION_TIMEOUT_S, GreaterThan(REPLY_TIMEOUT_S + BATCH_DELAY_S))
