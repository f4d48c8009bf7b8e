"""Tests of leaving.py: how long an endpoint's statement and a peer's report have an effect."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.statements.leaving import (
    DRAIN_MARGIN_S,
    MAX_LAST_RESORT_S,
    PEER_REPORT_S,
    Leaving,
    is_last_resort,
    is_likely,
    within_bound_s,
)


def test_a_peers_word_holds_for_a_while():
    told = Leaving(told_s=100.0)
    assert_that(is_likely(told, 100.0 + PEER_REPORT_S - 0.1), Is(True))
    assert_that(is_likely(told, 100.0 + PEER_REPORT_S), Is(False))
    assert_that(is_likely(Leaving(), 100.0), Is(False))


def test_only_the_endpoints_own_word_is_certain():
    assert_that(
        (Leaving(heard_s=1.0).is_certain, Leaving(told_s=1.0).is_certain), Equals((True, False))
    )
    assert_that((Leaving().is_known, Leaving(told_s=1.0).is_known), Equals((False, True)))


@pytest.mark.parametrize(
    ("drain_s", "seconds"),
    [(2.0, MAX_LAST_RESORT_S), (0.4, 0.4 - DRAIN_MARGIN_S), (0.05, 0.0), (float("inf"), 1.9)],
)
def test_the_last_resort_ends_before_the_operators_bound(drain_s, seconds):
    assert_that(within_bound_s(MAX_LAST_RESORT_S, drain_s), Equals(seconds))


def test_one_that_leaves_is_the_last_resort_for_a_moment():
    heard = Leaving(heard_s=100.0)
    assert_that(is_last_resort(heard, 2.0, 101.8), Is(True))
    assert_that(is_last_resort(heard, 2.0, 101.9), Is(False))
    assert_that(is_last_resort(Leaving(told_s=100.0), 2.0, 100.5), Is(False))
