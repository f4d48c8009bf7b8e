"""Tests of giving_up.py: the final answer, and that a refused request has not run."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing import giving_up
from springbridge.routing.conftest import make_route
from springbridge.routing.giving_up import FinalAnswer
from springbridge.routing.overload import Overload
from springbridge.routing.retries import AttemptOutcome, Attempts

# A target of 2 s: Retry-After is a tenth of it.
ROUTE = make_route(target_s=2.0)
NOT_SENT = Attempts()
ALL_BUSY = Attempts(unreached=2, busy=2)
NOT_RUN = Attempts(sends=1)
MAY_HAVE_RUN = Attempts(sends=1, may_have_run=True)


def facts(problem):
    return problem.code, problem.detail, problem.retry_after_s, problem.not_run


@pytest.mark.parametrize(
    ("attempts", "expected"),
    [
        (NOT_SENT, (Code.NO_ENGINE, "no engine", 4.0, True)),
        (ALL_BUSY, (Code.NO_ENGINE, "connections in use", 0.2, True)),
        (NOT_RUN, (Code.NO_ENGINE, "no further engine", 0.2, True)),
        (MAY_HAVE_RUN, (Code.ENGINE_FAILED, "no further engine", None, False)),
    ],
)
def test_without_an_endpoint_a_refusal_promises_only_what_is_so(attempts, expected):
    assert_that(facts(giving_up.without_endpoint(ROUTE, attempts)), Equals(expected))


@pytest.mark.parametrize(
    ("attempts", "expected"),
    [
        (NOT_SENT, (Code.NO_ENGINE, "deadline", 0.2, True)),
        (NOT_RUN, (Code.NO_ENGINE, "deadline", 0.2, True)),
        (MAY_HAVE_RUN, (Code.OUTCOME_UNKNOWN, "deadline", None, False)),
    ],
)
def test_at_the_deadline_the_outcome_is_unknown_if_the_request_may_have_run(attempts, expected):
    assert_that(facts(giving_up.at_deadline(ROUTE, attempts)), Equals(expected))


@pytest.mark.parametrize(
    ("attempts", "end", "expected"),
    [
        (NOT_RUN, AttemptOutcome.TURNED_AWAY, (Code.NO_ENGINE, "turned away", 0.2, True)),
        (MAY_HAVE_RUN, AttemptOutcome.BROKEN, (Code.ENGINE_FAILED, "broken", None, False)),
    ],
)
def test_after_a_failed_attempt_the_detail_says_how_it_ended(attempts, end, expected):
    assert_that(facts(giving_up.after_failed_attempt(ROUTE, attempts, end)), Equals(expected))


def test_an_overload_says_what_decided_it_and_when_to_come_back():
    problem = giving_up.when_overloaded(Overload(1.25, 0.25, 7))
    detail = "engines: least backlog 1.25 s, longest wait 0.25 s, least in flight 7"
    assert_that(facts(problem), Equals((Code.OVERLOADED, detail, 3.0, True)))


@pytest.mark.parametrize(
    ("code", "answer_started", "failure_held", "expected"),
    [
        (Code.ENGINE_FAILED, True, True, FinalAnswer.CUT_OFF),
        (Code.NO_ENGINE, True, False, FinalAnswer.CUT_OFF),
        (Code.ENGINE_FAILED, False, True, FinalAnswer.HELD_FAILURE),
        (Code.NO_ENGINE, False, True, FinalAnswer.REFUSAL),
        (Code.ENGINE_FAILED, False, False, FinalAnswer.REFUSAL),
    ],
)
def test_the_caller_gets_the_endpoint_s_failure_unless_an_answer_began(
    code, answer_started, failure_held, expected
):
    found = giving_up.final_answer(Problem(code), answer_started, failure_held)
    assert_that(found, Equals(expected))


@pytest.mark.parametrize(
    ("route", "status", "expected"),
    [
        (make_route(), 500, True),
        (make_route(), 503, True),
        (make_route(), 499, False),
        (make_route(repeatable=False), 503, False),
        (make_route(repeatable=False, resumable=True), 503, True),
    ],
)
def test_a_failure_is_held_only_while_another_endpoint_may_do_better(route, status, expected):
    assert_that(giving_up.holds_failure(route, status), Equals(expected))
