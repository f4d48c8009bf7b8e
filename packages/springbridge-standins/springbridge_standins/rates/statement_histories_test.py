"""Endpoints that leave or rest get no new requests, in random histories with faults."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge_standins.rates.statement_histories import play_statements

DRAWN = range(6000, 6012)


@pytest.mark.parametrize("seed", DRAWN)
def test_endpoints_get_what_they_say_they_want(seed):
    history = play_statements(seed)
    assert_that((history.late, history.most_in_a_rest), Equals((0, 0)))


def test_endpoints_of_a_large_fleet_get_what_they_say_they_want():
    history = play_statements(7000, size=87, seconds=12.0)
    assert_that((history.late, history.most_in_a_rest), Equals((0, 0)))
    assert_that(history.said_to, GreaterThan(10))
