"""Two holders never act at once: drawn histories of keepers on a store that fails in every way."""

import pytest
from springbridge_standins.lease_histories import play_history
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

# Histories whose seeds once broke a rule: a lease taken under a revision of an earlier era.
ONCE_BROKEN = (5, 9, 14, 24, 28)
DRAWN = range(1000, 1150)


@pytest.mark.parametrize("seed", [*ONCE_BROKEN, *DRAWN])
def test_no_history_has_two_holders_at_once(seed):
    history = play_history(seed)
    assert_that(history.broken, Equals([]))


def test_the_histories_have_holders_that_act():
    acts = sum(len(play_history(seed).acts) for seed in DRAWN[:20])
    assert_that(acts, GreaterThan(200))
