"""Tests of true_time.py: the time of day while an instance's clock jumps."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.duties.true_time import TrueTime

DAY_S = 1.7e9


@pytest.mark.parametrize("jump_s", [-4.0, -0.2, 0.2, 30.0])
def test_a_jump_that_goes_back_changes_nothing(jump_s):
    time = TrueTime(0.0, DAY_S)
    time.update(10.0, DAY_S + 10.0 + jump_s)
    assert_that(time.at(10.0), Equals(DAY_S + 10.0))
    time.update(20.0, DAY_S + 20.0)
    assert_that(time.at(20.0), Equals(DAY_S + 20.0))


def test_a_slow_drift_is_followed():
    time = TrueTime(0.0, DAY_S)
    for second in range(1, 101):
        time.update(second, DAY_S + second * 1.001)
    assert_that(round(time.at(100.0) - DAY_S - 100.1, 6), Equals(0.0))


def test_an_instance_that_started_in_a_jump_takes_the_holders_time():
    time = TrueTime(0.0, DAY_S + 7.0)
    time.follow_holder(10.0, DAY_S + 10.0)
    assert_that(time.at(11.0), Equals(DAY_S + 11.0))
    time.follow_holder(10.0, DAY_S + 10.01)
    assert_that(time.at(11.0), Equals(DAY_S + 11.0))
