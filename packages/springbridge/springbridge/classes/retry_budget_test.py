"""Tests of retry_budget.py: retries stay a share of fresh requests."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.classes.retry_budget import (
    FIRST_BUDGET,
    LARGEST_BUDGET,
    RETRY_SHARE,
    RetryBudget,
)


def retries(budget, wanted=1000):
    return sum(budget.try_retry() for _ in range(wanted))


def test_new_node_has_its_first_retries_only():
    assert_that(retries(RetryBudget()), Equals(int(FIRST_BUDGET)))


def test_fresh_requests_add_their_share():
    budget = RetryBudget(tokens=0.0)
    for _ in range(51):
        budget.fresh()
    assert_that(retries(budget), Equals(int(51 * RETRY_SHARE)))


def test_no_more_is_saved_up_than_the_largest_budget():
    budget = RetryBudget()
    for _ in range(10_000):
        budget.fresh()
    assert_that(retries(budget), Equals(int(LARGEST_BUDGET)))
