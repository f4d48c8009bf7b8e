"""Tests of retry_times.py: the predicted wait, within its bounds."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.classes.retry_times import LONGEST_S, SHORTEST_S, after_wait

CASES = [(0.0, SHORTEST_S), (3.0, 3.0), (1e6, LONGEST_S)]


@pytest.mark.parametrize(("wait_s", "expected_s"), CASES)
def test_retry_time_is_the_wait_within_bounds(wait_s, expected_s):
    assert_that(after_wait(wait_s), Equals(expected_s))
