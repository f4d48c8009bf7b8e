"""Two holders never act at once, in random histories of keepers on a faulty store."""

import pytest
from springbridge_standins.lease_histories import play_history
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

# Seeds of a fixed fault: a lease was acquired under a revision of an earlier era of the store.
ONCE_BROKEN = (5, 9, 14, 24, 28)
DRAWN = range(1000, 1150)


@pytest.mark.parametrize("seed", [*ONCE_BROKEN, *DRAWN])
def test_no_history_has_two_holders_at_once(seed):
    history = play_history(seed)
    assert_that(history.violations, Equals([]))


def test_the_histories_have_holders_that_act():
    calls = sum(len(play_history(seed).calls) for seed in DRAWN[:20])
    assert_that(calls, GreaterThan(200))
