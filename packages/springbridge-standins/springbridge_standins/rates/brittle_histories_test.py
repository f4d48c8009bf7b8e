"""Brittle endpoints rarely crash, in random histories with faults; see brittle_histories.py."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge_standins.rates.brittle_histories import play_history

DRAWN = range(0, 10)
WITHOUT_FAULTS = range(0, 4)
# Least share of the room that is used under load above it.
LEAST_USE = 0.8


@pytest.mark.parametrize("seed", DRAWN)
def test_brittle_endpoints_crash_no_more_often_than_is_allowed(seed):
    history = play_history(seed)
    assert_that(history.crashes, LessThan(history.allowed + 0.01))


@pytest.mark.parametrize("seed", WITHOUT_FAULTS)
def test_without_faults_no_brittle_endpoint_crashes(seed):
    assert_that(play_history(seed, faults=False).crashes, Equals(0))


# Guards against endpoints that are spared by not being used.
@pytest.mark.parametrize("seed", WITHOUT_FAULTS)
def test_the_room_of_brittle_endpoints_is_used(seed):
    assert_that(play_history(seed, faults=False).use, GreaterThan(LEAST_USE))
