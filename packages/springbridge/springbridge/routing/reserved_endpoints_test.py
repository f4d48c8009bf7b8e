"""Tests of reserved_endpoints.py: which endpoints are reserved, and the cost of the wrong kind."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.prompt_load import AVERAGING_TIME_S, SHORT_PROMPT_TOKENS
from springbridge.routing.records import EndpointEntry
from springbridge.routing.reserved_endpoints import (
    LONG_ON_RESERVED_TOKENS,
    PROTECTED_RUNNING,
    SHORT_ON_OTHER_TOKENS,
    reservation_cost,
    reserved_endpoints,
)

RESERVED_OF_TEN = ("e1", "e8")
SLOTS = 64
NOW_S = 100.0
SHORT = 800
LONG = 9000


def make_states(count):
    return [
        EndpointState(EndpointEntry(f"e{number}", "model", "10.0.0.1:80", "a", SLOTS, False))
        for number in range(count)
    ]


def start(state, count, tokens):
    """Start count requests, each with an uncached prompt of this many tokens."""
    for number in range(count):
        attempt = f"{tokens}-{number}"
        state.record_start(LoadNotice(LoadPhase.STARTED, attempt, "e0", tokens), NOW_S)


def end(state, count, tokens):
    for number in range(count):
        state.record_end(f"{tokens}-{number}")


@pytest.mark.parametrize(("count", "reserved"), [(0, 0), (2, 0), (3, 1), (7, 1), (10, 2), (20, 4)])
def test_a_fifth_of_the_idle_endpoints_is_reserved_where_there_are_enough(count, reserved):
    assert_that(reserved_endpoints(make_states(count), NOW_S), HasLength(reserved))


def test_all_instances_reserve_the_same_endpoints_whatever_their_order():
    # Instances of other releases reserve the same ids, so the hash key must not change.
    states = make_states(10)
    assert_that(reserved_endpoints(states, NOW_S), Equals(frozenset(RESERVED_OF_TEN)))
    assert_that(reserved_endpoints(states[::-1], NOW_S), Equals(frozenset(RESERVED_OF_TEN)))


def test_the_share_of_short_prompts_in_the_work_is_reserved():
    states = make_states(10)
    start(states[0], SLOTS, SHORT)
    start(states[5], SLOTS, LONG)
    few = reserved_endpoints(states, NOW_S)
    for state in states[1:5]:
        start(state, SLOTS, SHORT)
    many = reserved_endpoints(states, NOW_S)
    assert_that((len(few), len(many)), Equals((2, 5)))
    assert_that(many >= few, Equals(True))


def test_short_prompts_alone_leave_an_endpoint_to_long_ones_and_long_ones_one_to_short_ones():
    states = make_states(5)
    start(states[0], SLOTS, SHORT)
    assert_that(reserved_endpoints(states, NOW_S), HasLength(4))
    states = make_states(5)
    start(states[0], SLOTS, LONG)
    assert_that(reserved_endpoints(states, NOW_S), HasLength(1))


def test_work_that_is_long_over_no_longer_counts():
    states = make_states(10)
    start(states[0], SLOTS, LONG)
    end(states[0], SLOTS, LONG)
    start(states[1], SLOTS, SHORT)
    soon = reserved_endpoints(states, NOW_S)
    later = reserved_endpoints(states, NOW_S + 10 * AVERAGING_TIME_S)
    assert_that((len(soon), len(later)), Equals((2, 9)))


def test_a_slow_endpoint_has_more_work_with_the_same_prompts():
    states = make_states(10)
    start(states[0], 10, LONG)
    start(states[1], SLOTS, SHORT)
    before = reserved_endpoints(states, NOW_S)
    states[0].speed.tokens_per_s /= 10
    assert_that(len(reserved_endpoints(states, NOW_S)) < len(before), Equals(True))


@pytest.mark.parametrize(
    ("is_reserved", "prompt_tokens", "cost"),
    [
        (True, SHORT_PROMPT_TOKENS, 0),
        (True, SHORT_PROMPT_TOKENS + 1, LONG_ON_RESERVED_TOKENS),
        (False, SHORT_PROMPT_TOKENS, SHORT_ON_OTHER_TOKENS),
        (False, SHORT_PROMPT_TOKENS + 1, 0),
    ],
)
def test_a_prompt_costs_more_at_endpoints_of_the_other_kind(is_reserved, prompt_tokens, cost):
    (state,) = make_states(1)
    assert_that(reservation_cost(state, is_reserved, prompt_tokens), Equals(cost))


def test_short_prompts_that_still_run_keep_long_ones_away():
    (state,) = make_states(1)
    start(state, PROTECTED_RUNNING // 2, SHORT)
    half = reservation_cost(state, False, LONG)
    start(state, 2 * PROTECTED_RUNNING, SHORT)
    whole = reservation_cost(state, False, LONG)
    assert_that((half, whole), Equals((LONG_ON_RESERVED_TOKENS / 2, LONG_ON_RESERVED_TOKENS)))
