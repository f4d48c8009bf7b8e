"""Tests of work.py: which failed attempts are retried."""

import pytest
from springbridge.classes.entities import Endpoint, EndpointKind, Request, RequestClass, Tier
from springbridge.classes.retry_budget import RetryBudget
from springbridge.codes import Code
from springbridge.problems import Problem
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from springbridge_node.class_router.requests.work import (
    MAX_PREEMPTIONS,
    MAX_REFUSED_ATTEMPTS,
    AttemptEnd,
    Work,
    adjust_if_started,
    record_failed_attempt,
)

ENDPOINT = Endpoint("engine-1", EndpointKind.MODEL, "127.0.0.1:9000", "perth-a", "m", 1000, True)
CLASS = RequestClass("claims", Tier.URGENT, "m", 1000, 65, 5000, frozenset({"perth-a"}), True)


def work_of(repeatable):
    """Return the work of a request at its start."""
    request = Request("id-1", CLASS, "findwell", 1.0, repeatable, 5.0, 0.0, 10)
    return Work(request, b"", "", lambda: (ENDPOINT,), 0.0)


@pytest.fixture
def budget():
    """Return a budget with one retry."""
    return RetryBudget(1.0)


def test_preemption_costs_no_retry_and_does_not_avoid_the_endpoint(budget):
    work = work_of(repeatable=True)
    for _ in range(MAX_PREEMPTIONS):
        assert_that(work.preemptible(), Is(True))
        assert_that(record_failed_attempt(work, ENDPOINT, AttemptEnd.PREEMPTED, budget), Is(None))
    assert_that(work.preemptible(), Is(False))
    assert_that(work.avoid, Equals(set()))
    assert_that(budget.tokens, Equals(1.0))


@pytest.mark.parametrize("repeatable", [True, False])
def test_endpoints_that_turn_it_away_are_passed_over_up_to_a_limit(budget, repeatable):
    work = work_of(repeatable)
    for _ in range(MAX_REFUSED_ATTEMPTS - 1):
        assert_that(
            record_failed_attempt(work, ENDPOINT, AttemptEnd.NOT_ADMITTED, budget), Is(None)
        )
    assert_that(
        record_failed_attempt(work, ENDPOINT, AttemptEnd.NOT_ADMITTED, budget).code,
        Is(Code.NO_ENGINE),
    )
    assert_that(work.avoid, Contains(ENDPOINT.name))
    assert_that(budget.tokens, Equals(1.0))


def test_broken_stream_of_work_that_may_run_once_ends_it(budget):
    problem = record_failed_attempt(
        work_of(repeatable=False), ENDPOINT, AttemptEnd.STREAM_BROKEN, budget
    )
    assert_that(problem.code, Is(Code.OUTCOME_UNKNOWN))


def test_broken_stream_of_repeatable_work_draws_on_the_budget(budget):
    work = work_of(repeatable=True)
    assert_that(record_failed_attempt(work, ENDPOINT, AttemptEnd.STREAM_BROKEN, budget), Is(None))
    assert_that(
        record_failed_attempt(work, ENDPOINT, AttemptEnd.STREAM_BROKEN, budget).code,
        Is(Code.ENGINE_FAILED),
    )


def test_work_that_has_started_is_not_said_not_to_have_run():
    work = work_of(repeatable=True)
    refused = Problem(Code.NO_ENGINE, retry_after_s=1.0)
    assert_that(adjust_if_started(work, refused), Is(refused))
    work.started = True
    assert_that(adjust_if_started(work, refused).code, Is(Code.ENGINE_FAILED))
    assert_that(adjust_if_started(work, refused).retry_after_s, Equals(1.0))
