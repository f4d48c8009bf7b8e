"""Tests of shared_retry_budget.py: all instances together stay within ratio and slack."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge.routing.shared_retry_budget import RetryBudgetLimits, SharedRetryBudget

LIMITS = RetryBudgetLimits(ratio=0.2, slack=50.0, window_s=10.0)


def taken(budget, tries):
    return sum(budget.try_retry("desk") for _ in range(tries))


def test_the_sum_over_nodes_keeps_within_the_terms(clock):
    budgets = [SharedRetryBudget(LIMITS, lambda: 7, clock) for _ in range(7)]
    for budget in budgets:
        for _ in range(20):
            budget.record_request("desk")
    total = sum(taken(budget, 100) for budget in budgets)
    assert_that(total, LessThan(0.2 * 140 + 50 + 1))


def test_a_window_later_there_is_budget_again(clock):
    budget = SharedRetryBudget(LIMITS, lambda: 1, clock)
    first = taken(budget, 1000)
    assert_that(taken(budget, 10), Equals(0))
    clock.advance(LIMITS.window_s + 0.1)
    assert_that(taken(budget, 1000), Equals(first))


def test_services_have_budgets_of_their_own(clock):
    budget = SharedRetryBudget(LIMITS, lambda: 1, clock)
    taken(budget, 1000)
    assert_that(budget.try_retry("model"), Equals(True))
