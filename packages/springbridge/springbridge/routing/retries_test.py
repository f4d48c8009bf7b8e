"""Tests of retries.py: which requests may be retried, and the timeout of a silent endpoint."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing import retries
from springbridge.routing.conftest import make_route
from springbridge.routing.retries import Attempts

ONCE = make_route(repeatable=False)
REPEATABLE = make_route()
RESUMABLE = make_route(repeatable=False, streaming=True, resumable=True)


@pytest.mark.parametrize(
    ("route", "attempts", "expected"),
    [
        (ONCE, Attempts(sends=1), True),
        (ONCE, Attempts(sends=1, may_have_run=True), False),
        (REPEATABLE, Attempts(sends=1, may_have_run=True), True),
        (REPEATABLE, Attempts(sends=1, may_have_run=True, answer_started=True), False),
        (REPEATABLE, Attempts(1, 0, 0, True, answer_started=True, last_event="3"), False),
        (RESUMABLE, Attempts(sends=1, may_have_run=True), True),
        (RESUMABLE, Attempts(sends=1, may_have_run=True, answer_started=True), False),
        (RESUMABLE, Attempts(1, answer_started=True, last_event="3", version="v1"), True),
        (RESUMABLE, Attempts(1, answer_started=True, last_event="3", version=""), True),
        (RESUMABLE, Attempts(1, answer_started=True, last_event="3"), False),
        (RESUMABLE, Attempts(1, may_have_run=True, answer_started=True, only_blank=True), True),
        (REPEATABLE, Attempts(1, may_have_run=True, answer_started=True, only_blank=True), False),
        (REPEATABLE, Attempts(1, answer_started=True, last_event="3", version="v1"), False),
    ],
)
def test_another_endpoint_gets_only_what_may_run_twice_or_has_not_run(route, attempts, expected):
    assert_that(retries.may_try_another(route, attempts), Equals(expected))


@pytest.mark.parametrize(
    ("sends", "misdirected", "expected"), [(1, 0, True), (2, 0, False), (2, 1, True), (3, 1, False)]
)
def test_endpoints_that_are_gone_do_not_count_towards_the_limit(sends, misdirected, expected):
    route = make_route(max_endpoints=2)
    attempts = Attempts(sends=sends, misdirected=misdirected)
    assert_that(retries.has_endpoint_left(route, attempts), Equals(expected))


@pytest.mark.parametrize(("unreached", "expected"), [(0, True), (4, True), (5, False)])
def test_four_endpoints_without_a_connection_are_passed_over(unreached, expected):
    assert_that(retries.may_skip_another(Attempts(unreached=unreached)), Equals(expected))


@pytest.mark.parametrize(("left_s", "expected"), [(1.0, True), (0.005, True), (0.004, False)])
def test_nothing_is_sent_with_less_than_five_milliseconds_left(left_s, expected):
    assert_that(retries.is_worth_sending(left_s), Equals(expected))


@pytest.mark.parametrize(
    ("route", "sends", "limit_s"),
    [
        (REPEATABLE, 1, 1.0),
        (REPEATABLE, 2, None),
        (ONCE, 1, None),
        (RESUMABLE, 1, None),
        (make_route(streaming=True), 1, None),
    ],
)
def test_silence_is_cut_short_only_where_another_endpoint_may_still_answer(route, sends, limit_s):
    attempts = Attempts(sends=sends, may_have_run=True)
    assert_that(retries.silence_timeout_s(route, attempts, 2.0), Equals(limit_s))
