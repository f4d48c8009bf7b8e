"""Tests of returns.py: refused callers retry evenly spread after the first rest ends."""

import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.statements.returns import SPREAD_S, retry_after_s


@pytest.mark.parametrize("callers", [2, 10, 100, 1000])
def test_callers_return_one_after_another_and_none_before_the_first_end(callers):
    times = sorted(retry_after_s(number, 2.5) for number in range(callers))
    assert_that(times[0], Equals(2.5))
    assert_that(times[-1], LessThan(2.5 + SPREAD_S))
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    # Neither many at once nor a long gap.
    assert_that(min(gaps), GreaterThan(0.2 * SPREAD_S / callers))
    assert_that(max(gaps), LessThan(3.0 * SPREAD_S / callers))


def test_a_rest_that_has_just_ended_is_not_in_the_past():
    assert_that(retry_after_s(0, -1.0), Equals(0.0))
