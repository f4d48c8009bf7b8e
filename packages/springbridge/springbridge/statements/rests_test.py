"""Tests of rests.py: when an endpoint that asked for rest gets requests again."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.statements.rests import (
    MAX_REST_S,
    TRIAL_S,
    Rest,
    after_send,
    is_over,
    may_send,
    rest_until,
)


def test_of_two_rests_the_later_end_counts():
    first = rest_until(None, 3.0, 100.0)
    assert_that(first, Equals(Rest(103.0)))
    assert_that(rest_until(first, 0.2, 101.0), Equals(Rest(103.0)))
    assert_that(rest_until(first, 3.0, 101.0), Equals(Rest(104.0)))


def test_an_endless_rest_counts_as_an_hour():
    assert_that(rest_until(None, 1e12, 100.0), Equals(Rest(100.0 + MAX_REST_S)))


def test_at_the_end_of_a_rest_one_request_goes_first():
    rest = Rest(103.0)
    assert_that(may_send(rest, 102.99), Is(False))
    assert_that(may_send(rest, 103.0), Is(True))
    tried = after_send(rest, 103.0)
    assert_that(may_send(tried, 103.0), Is(False))
    assert_that(may_send(tried, 103.0 + TRIAL_S), Is(True))


def test_a_rest_is_over_once_the_first_request_was_not_turned_away_for_a_while():
    tried = after_send(Rest(103.0), 103.0)
    assert_that(after_send(tried, 103.0 + TRIAL_S), Is(None))


def test_an_answer_to_an_earlier_request_ends_no_rest():
    assert_that(is_over(Rest(103.0), 102.9), Is(False))
    assert_that(is_over(Rest(103.0), 103.0), Is(True))


def test_a_rest_that_begins_during_the_first_request_has_a_first_request_of_its_own():
    tried = after_send(Rest(103.0), 103.0)
    assert_that(rest_until(tried, 2.0, 103.1), Equals(Rest(105.1)))
