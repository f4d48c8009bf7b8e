"""Tests of reserved_endpoints.py: which endpoints are reserved, and what the others pay there."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointEntry
from springbridge.routing.reserved_endpoints import (
    LONG_ON_RESERVED_TOKENS,
    SHORT_ON_OTHER_TOKENS,
    SHORT_PROMPT_TOKENS,
    reservation_cost,
    reserved_endpoints,
)

RESERVED_OF_TEN = ("e1", "e8")


def make_states(count):
    return [
        EndpointState(EndpointEntry(f"e{number}", "model", "10.0.0.1:80", "a", 64, False))
        for number in range(count)
    ]


@pytest.mark.parametrize(("count", "reserved"), [(0, 0), (2, 0), (3, 1), (7, 1), (10, 2), (20, 4)])
def test_a_fifth_of_the_endpoints_is_reserved_where_there_are_enough(count, reserved):
    assert_that(reserved_endpoints(make_states(count)), HasLength(reserved))


def test_all_instances_reserve_the_same_endpoints_whatever_their_order():
    # Instances of other releases reserve these ids as well, so the hash key must not change.
    states = make_states(10)
    assert_that(reserved_endpoints(states), Equals(frozenset(RESERVED_OF_TEN)))
    assert_that(reserved_endpoints(states[::-1]), Equals(frozenset(RESERVED_OF_TEN)))


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
    assert_that(reservation_cost(is_reserved, prompt_tokens), Equals(cost))
