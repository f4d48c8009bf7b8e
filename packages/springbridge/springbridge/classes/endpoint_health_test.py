"""Tests of endpoint_health.py: suspension after failures in a row, probing and recovery."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.classes.endpoint_health import (
    FAILURES_TO_SUSPEND,
    FIRST_SUSPENSION_S,
    MAX_SUSPENSION_S,
    EndpointHealth,
)

NOW_S = 100.0
SLOTS = 8


@pytest.fixture
def suspended():
    """Return the health of an endpoint that was suspended at NOW_S."""
    health = EndpointHealth()
    for _ in range(FAILURES_TO_SUSPEND):
        health.failure(NOW_S)
    return health


def test_one_failure_less_changes_nothing():
    health = EndpointHealth()
    for _ in range(FAILURES_TO_SUSPEND - 1):
        health.failure(NOW_S)
    assert_that(health.slots(NOW_S, SLOTS), Equals(SLOTS))


def test_suspended_endpoint_has_no_slots_and_then_one(suspended):
    end_s = NOW_S + FIRST_SUSPENSION_S
    assert_that(suspended.slots(end_s - 0.01, SLOTS), Equals(0))
    assert_that(suspended.slots(end_s, SLOTS), Equals(1))


def test_success_gives_all_slots_back(suspended):
    suspended.success()
    assert_that(suspended.slots(NOW_S + FIRST_SUSPENSION_S, SLOTS), Equals(SLOTS))


def test_suspensions_double_up_to_the_longest(suspended):
    suspended.failure(NOW_S)
    assert_that(suspended.suspended_until_s, Equals(NOW_S + 2 * FIRST_SUSPENSION_S))
    for _ in range(20):
        suspended.failure(NOW_S)
    assert_that(suspended.suspended_until_s, Equals(NOW_S + MAX_SUSPENSION_S))
