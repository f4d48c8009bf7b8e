"""Tests of grants.py: the rate is kept, few permits are lost, and urgent requests come first."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from springbridge.rates.grants import (
    MAX_WAIT_S,
    MIN_WAIT_S,
    RateGrants,
)
from springbridge.routing.records import EndpointIncarnation

ENDPOINT = EndpointIncarnation("e1", None)


@pytest.fixture
def grants(clock):
    """Return grants with an empty bucket for ENDPOINT."""
    made = RateGrants(clock)
    made.request(ENDPOINT, 1.0, 1)
    return made


def granted(grants, clock, per_s, seconds, requests_per_s, priority=1):
    """Request permits at regular times, and return how many were granted."""
    count = 0
    for _ in range(round(seconds * requests_per_s)):
        clock.now_s += 1.0 / requests_per_s
        count += grants.request(ENDPOINT, per_s, priority).granted
    return count


def test_a_granter_begins_with_no_permit(clock):
    grants = RateGrants(clock)
    clock.advance(3600)
    assert_that(grants.request(ENDPOINT, 1.0, 0).granted, Is(False))
    clock.now_s += 1.0
    assert_that(grants.request(ENDPOINT, 1.0, 0).granted, Is(True))


@pytest.mark.parametrize("per_s", [0.2, 0.5, 1.0, 7.3, 60.0, 200.0])
def test_permits_come_up_at_the_rate_whoever_asks(grants, clock, per_s):
    count = granted(grants, clock, per_s, 60.0, requests_per_s=10 * per_s + 10)
    assert_that(count, GreaterThan(0.95 * 60.0 * per_s - 1))
    assert_that(count, LessThan(60.0 * per_s + 2.1))


def test_few_permits_are_kept_while_nobody_asks(grants, clock):
    clock.now_s += 600
    at_once = sum(grants.request(ENDPOINT, 1.0, 1).granted for _ in range(100))
    assert_that(at_once, Equals(2))


def test_another_rate_counts_from_when_it_is_known(grants, clock):
    granted(grants, clock, 50.0, 10.0, requests_per_s=200)
    assert_that(granted(grants, clock, 1.0, 20.0, requests_per_s=50), LessThan(24))


def test_refused_instances_get_turns_one_after_another(grants):
    waits = [grants.request(ENDPOINT, 1.0, 1).wait_s for _ in range(5)]
    assert_that(waits, Equals(sorted(waits)))
    assert_that(waits[0], GreaterThan(MIN_WAIT_S))
    assert_that(len(set(waits)), Equals(5))


@pytest.mark.parametrize("per_s", [0.03, 1.0, 200.0])
def test_no_instance_waits_long_for_its_turn(grants, per_s):
    waits = [grants.request(ENDPOINT, per_s, 1).wait_s for _ in range(1000)]
    assert_that(max(waits), LessThan(MAX_WAIT_S + 0.001))


def test_instances_that_keep_to_their_turns_use_nearly_all_permits(clock):
    # Three instances, which have more requests than the endpoint takes.
    grants = RateGrants(clock)
    rng = random.Random(1)
    begin_s, used = clock.now_s, 0
    retry_times_s = [clock.now_s] * 3
    while clock.now_s < begin_s + 200:
        clock.now_s += rng.expovariate(30.0)
        instance = rng.randrange(3)
        if clock.now_s >= retry_times_s[instance]:
            grant = grants.request(ENDPOINT, 1.0, 1)
            used += grant.granted
            retry_times_s[instance] = clock.now_s + grant.wait_s
    assert_that(used, GreaterThan(0.9 * 200))


def test_the_last_permit_is_kept_for_a_more_urgent_request_that_was_refused(grants, clock):
    refused = grants.request(ENDPOINT, 1.0, 0)
    clock.now_s += refused.wait_s + 0.001
    assert_that(grants.request(ENDPOINT, 1.0, 2).granted, Is(False))
    assert_that(grants.request(ENDPOINT, 1.0, 0).granted, Is(True))


def test_a_less_urgent_request_gets_what_urgent_ones_leave(grants, clock):
    grants.request(ENDPOINT, 1.0, 0)
    clock.now_s += 3.0
    assert_that(grants.request(ENDPOINT, 1.0, 2).granted, Is(True))


def test_a_permit_that_was_given_back_is_granted_again(grants, clock):
    clock.now_s += 1.0
    assert_that(grants.request(ENDPOINT, 1.0, 1).granted, Is(True))
    grants.return_permit(ENDPOINT)
    assert_that(grants.request(ENDPOINT, 1.0, 1).granted, Is(True))
    assert_that(grants.request(ENDPOINT, 1.0, 1).granted, Is(False))


def test_permits_given_back_too_often_are_not_kept(grants, clock):
    for _ in range(50):
        grants.return_permit(ENDPOINT)
    at_once = sum(grants.request(ENDPOINT, 1.0, 1).granted for _ in range(100))
    assert_that(at_once, Equals(2))


def test_an_endpoint_without_a_rate_is_forgotten(grants, clock):
    clock.now_s += 10.0
    grants.keep_only(set())
    assert_that(grants.request(ENDPOINT, 1.0, 1).granted, Is(False))
