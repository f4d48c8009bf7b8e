"""Tests of held_back.py: the back-off from endpoints, and the Retry-After of refused callers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.rates.held_back import MAX_RETRY_AFTER_S, HeldBack


@pytest.fixture
def held(clock):
    return HeldBack(clock)


def test_an_endpoint_is_held_back_until_its_turn(held, clock):
    held.hold("e1", 1, 0.5)
    assert_that(held.ids(1), Equals({"e1"}))
    clock.now_s += 0.5
    assert_that(held.ids(1), Equals(set()))


def test_what_was_refused_does_not_hold_back_a_more_urgent_request(held):
    held.hold("e1", 1, 0.5)
    assert_that(held.ids(0), Equals(set()))
    assert_that(held.ids(2), Equals({"e1"}))


def test_refused_callers_are_sent_back_one_after_another(held):
    # This instance gets a permit about each second.
    held.hold("e1", 1, 1.0)
    times = [held.return_s("model", ["e1"], 1) for _ in range(4)]
    assert_that(times, Equals([1.0, 2.0, 3.0, 4.0]))


def test_callers_are_sent_back_closer_where_more_endpoints_take_them(held):
    held.hold("e1", 1, 1.0)
    held.hold("e2", 1, 1.0)
    times = [held.return_s("model", ["e1", "e2"], 1) for _ in range(4)]
    assert_that(times, Equals([1.0, 1.5, 2.0, 2.5]))


def test_no_caller_is_sent_away_for_long(held):
    held.hold("e1", 1, 4.0)
    times = [held.return_s("model", ["e1"], 1) for _ in range(50)]
    assert_that(max(times), LessThan(MAX_RETRY_AFTER_S + 0.001))
    assert_that(min(times), GreaterThan(3.9))


def test_a_caller_whose_turn_has_just_come_is_told_to_return_at_once(held, clock):
    held.hold("e1", 1, 0.5)
    clock.now_s += 0.5
    for service, endpoint_id in (("model", "e1"), ("desk", "e2")):
        assert_that(round(held.return_s(service, [endpoint_id], 1), 3), Equals(0.05))


def test_what_is_over_is_forgotten(held, clock):
    held.hold("e1", 1, 0.5)
    held.return_s("model", ["e1"], 1)
    clock.now_s += 60.0
    held.forget_old()
    held.hold("e1", 1, 0.5)
    assert_that(held.return_s("model", ["e1"], 1), Equals(0.5))
