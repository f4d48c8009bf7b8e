"""Tests of demand.py: the load that is measured from lost, late and repeated messages."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.duties.demand import ANSWER_TOKEN_WEIGHT, FleetDemand, request_work


class Clock:
    """A clock that tests move."""

    now_s = 100.0

    def __call__(self):
        """Return the time."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock."""
    return Clock()


def test_a_lost_message_is_made_good_by_the_next(clock):
    demand = FleetDemand(clock)
    for total in (1000, 3000):
        demand.record_total("run", "model", total)
    assert_that(demand.peak_per_s("model", 10.0), Equals(1500.0))


def test_an_older_message_that_comes_late_counts_for_nothing(clock):
    demand = FleetDemand(clock)
    for total in (3000, 1000, 3000):
        demand.record_total("run", "model", total)
    assert_that(demand.peak_per_s("model", 10.0), Equals(1500.0))


def test_the_peak_of_a_burst_stays_for_as_long_as_is_asked(clock):
    demand = FleetDemand(clock)
    demand.record_total("run", "model", 8000)
    clock.now_s += 10.0
    demand.record_total("run", "model", 10_000)
    assert_that(demand.peak_per_s("model", 4.0), Equals(1000.0))
    assert_that(demand.peak_per_s("model", 30.0), Equals(4000.0))
    assert_that(demand.known_for_s("model"), Equals(10.0))


def test_a_service_that_nobody_asked_for_has_no_load(clock):
    demand = FleetDemand(clock)
    assert_that((demand.peak_per_s("x", 9.0), demand.known_for_s("x")), Equals((0.0, 0.0)))


def test_work_of_a_request():
    assert_that(request_work(900, 10), Equals(900 + 10 * ANSWER_TOKEN_WEIGHT))
    assert_that(request_work(0, 0) > 0, Equals(True))
