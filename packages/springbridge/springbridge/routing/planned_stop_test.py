"""Tests of planned_stop.py: the times of a planned stop keep their order within the grace."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.routing.planned_stop import (
    ADDRESS_TTL_S,
    SERVE_ON_S,
    address_ttl_s,
    last_answer_s,
    serve_on_s,
)


@pytest.mark.parametrize("grace_s", [6.0, 8.0, 30.0])
def test_a_node_serves_on_until_callers_have_new_addresses(grace_s):
    assert_that(serve_on_s(grace_s), Equals(SERVE_ON_S))
    assert_that(serve_on_s(grace_s), GreaterThan(address_ttl_s(longest_ttl_s=5.0)))


def test_a_short_grace_is_shared_between_new_requests_and_answers_in_progress():
    assert_that(serve_on_s(2.0), Equals(1.0))


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 8.0])
def test_answers_in_progress_have_time_after_the_last_request_and_before_the_kill(grace_s):
    assert_that(last_answer_s(grace_s), GreaterThan(serve_on_s(grace_s)))
    assert_that(last_answer_s(grace_s), LessThan(grace_s))


def test_callers_keep_addresses_no_longer_than_the_settings_allow():
    assert_that(address_ttl_s(longest_ttl_s=0.3), Equals(0.3))
    assert_that(address_ttl_s(longest_ttl_s=5.0), Equals(ADDRESS_TTL_S))
