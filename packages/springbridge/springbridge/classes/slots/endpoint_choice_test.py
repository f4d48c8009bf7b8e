"""Tests of endpoint_choice.py: which endpoint is tried first, and which others then."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from springbridge.classes.entities import Endpoint, EndpointKind, Request, RequestClass, Tier
from springbridge.classes.ports import Attempt
from springbridge.classes.slots.endpoint_choice import (
    ALL_WHILE_FEW,
    FAN_WHILE_MANY,
    PREFERENCE_BOUND,
    URGENT_PREFERRED,
    UsedShares,
    choose_first,
    choose_others,
    preferred,
)


def endpoint(number):
    return Endpoint(f"e{number}", EndpointKind.MODEL, "127.0.0.1:1", "a", "model", 1000, False)


@pytest.fixture
def rng():
    """Return a generator of random numbers with a fixed seed."""
    return random.Random(1)


@pytest.fixture
def attempt():
    """Return a function that makes an attempt of a tier which may use some endpoints."""

    def make(tier, count, affinity=""):
        kind = RequestClass("claims", tier, "model", 1000, 65, 10_000, frozenset("a"), True)
        request = Request("id", kind, "findwell", 1.0, True, 10.0, 0.0, 10, affinity)
        return Attempt(request, tuple(endpoint(number) for number in range(count)), 10.0, True)

    return make


def note_full(used, make_slot_request, names, tier):
    for name in names:
        used.note(make_slot_request("ask", tier, endpoint=name), PREFERENCE_BOUND)


def test_urgent_requests_prefer_the_same_endpoints_while_these_have_room(
    attempt, make_slot_request, rng
):
    one = attempt(Tier.URGENT, 6)
    names = preferred(one.request, one.endpoints)
    used = UsedShares()
    assert_that(names, HasLength(URGENT_PREFERRED))
    assert_that(choose_first(one, used, rng).name, Equals(names[0]))
    note_full(used, make_slot_request, names[:1], Tier.URGENT)
    assert_that(choose_first(one, used, rng).name, Equals(names[1]))


def test_other_requests_prefer_the_endpoint_of_their_prefix(attempt, make_slot_request, rng):
    one = attempt(Tier.BULK, 6, affinity="prompt")
    name = preferred(one.request, one.endpoints)[0]
    used = UsedShares()
    note_full(used, make_slot_request, [name], Tier.URGENT)
    assert_that(choose_first(one, used, rng).name, Equals(name))


def test_without_a_preference_the_less_used_of_two_is_chosen(attempt, make_slot_request, rng):
    used = UsedShares()
    note_full(used, make_slot_request, ["e0"], Tier.BULK)
    first = {choose_first(attempt(Tier.BULK, 2), used, rng).name for _ in range(20)}
    assert_that(first, Equals({"e1"}))


def test_all_others_are_chosen_while_they_are_few(attempt, rng):
    others = choose_others(attempt(Tier.BULK, ALL_WHILE_FEW), {"e0"}, 1, rng)
    assert_that(others, HasLength(ALL_WHILE_FEW - 1))


def test_a_few_at_a_time_are_chosen_of_many(attempt, rng):
    many = attempt(Tier.BULK, ALL_WHILE_FEW + 1)
    assert_that(choose_others(many, {"e0"}, 1, rng), HasLength(FAN_WHILE_MANY - 1))
    assert_that(choose_others(many, {"e0"}, FAN_WHILE_MANY, rng), HasLength(0))


def test_all_are_tried_before_a_refusal(attempt, rng):
    many = attempt(Tier.BULK, ALL_WHILE_FEW + 1)
    others = choose_others(many, {"e0"}, 0, rng)
    assert_that(others, HasLength(ALL_WHILE_FEW))
    assert_that(others, Contains(endpoint(ALL_WHILE_FEW)))
