"""Tests of endpoint_cost.py: each term of the cost, in prompt tokens."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import make_demand
from springbridge.routing.endpoint_cost import (
    CROSS_DOMAIN_SHARE,
    FETCH_PER_TARGET_S,
    FULL_BATCH_TOKENS,
    LONG_BACKLOG_TOKENS,
    MAX_FETCH_WEIGHT,
    MIN_FETCH_TOKENS,
    SLOT_WAIT_TOKENS,
    UNREAD_WEIGHT,
    fetch_weight,
    token_cost,
)
from springbridge.routing.endpoint_state import EndpointState, Load
from springbridge.routing.records import EndpointEntry

PROMPT_TOKENS = 10_000
READ_ALL = UNREAD_WEIGHT * PROMPT_TOKENS
TARGET_S = 0.5
SLOTS = 64


@pytest.fixture
def state():
    """Return an endpoint without a load."""
    return EndpointState(EndpointEntry("e0", "model", "10.0.0.1:80", "perth-a", SLOTS, False))


def cost(state, own=0, most=0, failure_domain="perth-a"):
    parts = (("shared", PROMPT_TOKENS),)
    demand = make_demand(parts, failure_domain=failure_domain, target_s=TARGET_S)
    return token_cost(state, demand, False, own, most)


def test_a_prompt_that_is_not_kept_has_to_be_read(state):
    assert_that(cost(state), Equals(READ_ALL))
    assert_that(cost(state, own=4_000, most=4_000), Equals(UNREAD_WEIGHT * 6_000))


def test_what_another_endpoint_keeps_is_fetched_if_it_is_enough(state):
    enough = MIN_FETCH_TOKENS
    fetched = fetch_weight(TARGET_S) * enough + UNREAD_WEIGHT * (PROMPT_TOKENS - enough)
    assert_that(cost(state, most=enough), Equals(fetched))
    assert_that(cost(state, most=enough - 1), Equals(READ_ALL))


@pytest.mark.parametrize(
    ("backlog", "expected"),
    [
        (0, 0),
        (LONG_BACKLOG_TOKENS, LONG_BACKLOG_TOKENS),
        (LONG_BACKLOG_TOKENS + 100, LONG_BACKLOG_TOKENS + UNREAD_WEIGHT * 100),
    ],
)
def test_a_long_backlog_costs_as_much_as_reading(state, backlog, expected):
    state.prefill_tokens = backlog
    assert_that(cost(state) - READ_ALL, Equals(expected))


def run(state, count):
    state.loads = {f"{number}": Load(0, 0.0) for number in range(count)}


def test_each_running_request_costs_its_share_of_a_full_batch(state):
    run(state, 2)
    assert_that(cost(state) - READ_ALL, Equals(2 * FULL_BATCH_TOKENS / SLOTS))


@pytest.mark.parametrize(("running", "waiting"), [(SLOTS - 1, 0), (SLOTS, 1), (SLOTS + 2, 3)])
def test_a_request_that_finds_no_free_slot_waits(state, running, waiting):
    run(state, running)
    expected = (FULL_BATCH_TOKENS * running + SLOT_WAIT_TOKENS * waiting) / SLOTS
    assert_that(cost(state) - READ_ALL, Equals(expected))


def test_an_endpoint_that_does_not_name_its_slots_has_one(state):
    state.entry = EndpointEntry("e0", "model", "10.0.0.1:80", "perth-a", 0, False)
    assert_that(cost(state) - READ_ALL, Equals(0))


def test_another_failure_domain_costs_a_share_of_the_prompt(state):
    away = cost(state, failure_domain="perth-b")
    assert_that(away - READ_ALL, Equals(CROSS_DOMAIN_SHARE * PROMPT_TOKENS))


def test_a_fetch_costs_by_the_target_and_never_more_than_reading():
    assert_that(fetch_weight(1.0), Equals(FETCH_PER_TARGET_S))
    assert_that(fetch_weight(60.0), Equals(MAX_FETCH_WEIGHT))


def test_a_prompt_with_a_short_target_is_fetched_before_it_waits(state):
    # 6,000 tokens that another endpoint has cached, behind its backlog of half a second of reading.
    fetched = fetch_weight(0.6) * 6_000
    patient = fetch_weight(2.5) * 6_000
    assert_that(fetched < 20_000 < patient, Equals(True))
