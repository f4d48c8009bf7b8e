"""Tests of rate_table.py: a rate stays in force until a response says otherwise."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.rates.rate_table import KEEP_ENDED_S, RateChange, RateTable
from springbridge.rates.statements import Statement
from springbridge.routing.records import EndpointIncarnation

ENDPOINT = EndpointIncarnation("e1", 1000)


@pytest.fixture
def table(clock):
    clock.now_s = 100.0
    return RateTable(clock)


def test_an_endpoint_that_never_named_a_rate_is_not_kept(table):
    assert_that(table.take(ENDPOINT, Statement(None, 99.0, 100.0)), Is(None))
    assert_that(table.statement(ENDPOINT), Is(None))
    assert_that(len(table), Equals(0))


def test_a_rate_comes_changes_and_ends(table):
    came = table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    changed = table.take(ENDPOINT, Statement(4.0, 92.0, 93.0))
    ended = table.take(ENDPOINT, Statement(None, 94.0, 95.0))
    assert_that(came, Equals(RateChange(ENDPOINT, None, 2.0)))
    assert_that(changed, Equals(RateChange(ENDPOINT, 2.0, 4.0)))
    assert_that(ended, Equals(RateChange(ENDPOINT, 4.0, None)))
    assert_that(table.is_limited("e1"), Is(False))


def test_a_rate_holds_however_long_the_endpoint_is_asked_nothing(table, clock):
    table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    clock.now_s += 3600
    table.keep_only({ENDPOINT})
    assert_that(table.per_s(ENDPOINT), Equals(2.0))


def test_an_older_answer_that_arrives_later_does_not_bring_a_rate_back(table):
    table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    table.take(ENDPOINT, Statement(None, 94.0, 95.0))
    assert_that(table.take(ENDPOINT, Statement(2.0, 92.0, 93.0)), Is(None))
    assert_that(table.per_s(ENDPOINT), Is(None))


def test_an_older_answer_that_arrives_later_does_not_end_a_rate(table):
    table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    assert_that(table.take(ENDPOINT, Statement(None, 90.5, 96.0)), Is(None))
    assert_that(table.per_s(ENDPOINT), Equals(2.0))


def test_an_endpoint_that_started_again_under_its_id_has_no_rate(table):
    table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    started_again = EndpointIncarnation("e1", 2000)
    assert_that(table.per_s(started_again), Is(None))
    table.keep_only({started_again})
    assert_that(len(table), Equals(0))
    assert_that(table.is_limited("e1"), Is(False))


# Guards against requests that search for an endpoint for ever: an older statement about an earlier
# start must not remove an endpoint that has a rate from those that have one.
@pytest.mark.parametrize("older", [Statement(2.0, 94.0, 95.0), Statement(None, 94.0, 95.0)])
def test_older_news_of_an_earlier_start_leaves_the_rate_of_the_later_one(table, older):
    started_again = EndpointIncarnation("e1", 2000)
    table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    table.take(started_again, Statement(3.0, 92.0, 93.0))
    table.take(ENDPOINT, older)
    table.keep_only({started_again})
    assert_that(table.per_s(started_again), Equals(3.0))
    assert_that(table.is_limited("e1"), Is(True))
    assert_that(list(table.limited()), Equals([started_again]))


def test_the_end_of_a_rate_is_forgotten_once_no_answer_can_be_older(table, clock):
    table.take(ENDPOINT, Statement(2.0, 90.0, 91.0))
    table.take(ENDPOINT, Statement(None, 94.0, 95.0))
    table.keep_only({ENDPOINT})
    assert_that(table.statement(ENDPOINT), Equals(Statement(None, 94.0, 95.0)))
    clock.now_s = 95.0 + KEEP_ENDED_S + 1.0
    table.keep_only({ENDPOINT})
    assert_that(table.statement(ENDPOINT), Is(None))


def test_of_two_rates_of_an_endpoint_the_lower_one_is_in_force(clock):
    table, endpoint = RateTable(clock), EndpointIncarnation("e", 1)
    table.set_cold({endpoint: 5.0})
    assert_that(table.per_s(endpoint), Equals(5.0))
    table.take(endpoint, Statement(2.0, 0.0, 0.1))
    assert_that(table.per_s(endpoint), Equals(2.0))
    table.take(endpoint, Statement(9.0, 1.0, 1.1))
    assert_that(table.per_s(endpoint), Equals(5.0))
    table.set_cold({})
    assert_that(table.per_s(endpoint), Equals(9.0))


def test_an_answer_without_a_rate_does_not_end_the_one_of_a_cold_endpoint(clock):
    table, endpoint = RateTable(clock), EndpointIncarnation("e", 1)
    table.set_cold({endpoint: 5.0})
    table.take(endpoint, Statement(None, 1.0, 1.1))
    assert_that(table.per_s(endpoint), Equals(5.0))
    assert_that(table.named(), Equals(set()))
    assert_that(table.limited(), Equals({endpoint}))
