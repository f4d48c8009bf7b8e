"""Endpoints get no more requests than their limits allow, in random histories with faults."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge_standins.rates.histories import play_history

# Seeds of a fixed fault: several instances granted permits of one endpoint at a time.
ONCE_OVER = (211, 280, 454, 464, 496, 1076, 1115, 1171)
DRAWN = range(5000, 5030)
# Longest time until a caller is refused.
REFUSED_S = 0.05


@pytest.mark.parametrize("seed", [*ONCE_OVER, *DRAWN])
def test_no_endpoint_gets_more_than_is_allowed(seed):
    history = play_history(seed)
    assert_that(history.over, Equals([]))
    assert_that(history.longest_refusal_s, LessThan(REFUSED_S))


def test_no_endpoint_of_a_large_fleet_gets_more_than_is_allowed():
    assert_that(play_history(7000, size=87, seconds=12.0).over, Equals([]))
