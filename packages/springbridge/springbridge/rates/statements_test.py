"""Tests of rates/statements.py: which rate statement wins, and which rate a number stands for."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.rates.statements import (
    MIN_RATE_PER_S,
    StatedRate,
    Statement,
    is_literal,
    is_readable,
    joined,
    rate_of,
    replaces,
)

KNOWN = Statement(2.0, sent_s=10.0, received_s=11.0)


@pytest.mark.parametrize(
    ("new", "expected"),
    [
        # Its request was sent after the known response had arrived.
        (Statement(None, 11.0, 11.5), True),
        (Statement(5.0, 11.0, 11.5), True),
        # Its response arrived before the request of the known one was sent.
        (Statement(1.0, 8.0, 10.0), False),
        (Statement(None, 8.0, 9.0), False),
        # Either may be the newer one: the stricter one wins.
        (Statement(None, 10.5, 12.0), False),
        (Statement(5.0, 10.5, 12.0), False),
        (Statement(1.0, 9.0, 10.5), True),
    ],
)
def test_a_statement_replaces_another_one_if_it_is_newer_or_perhaps_newer_and_stricter(
    new, expected
):
    assert_that(replaces(new, KNOWN), Is(expected))


def test_a_rate_that_may_be_newer_than_its_end_holds():
    ended = Statement(None, 10.0, 11.0)
    assert_that(replaces(Statement(3.0, 9.5, 10.5), ended), Is(True))
    assert_that(replaces(Statement(3.0, 8.0, 9.9), ended), Is(False))


def test_the_same_rate_said_twice_holds_until_after_the_later_one():
    later = joined(KNOWN, Statement(2.0, 10.8, 11.9))
    assert_that(later, Equals(Statement(2.0, 10.8, 11.9)))
    assert_that(replaces(Statement(None, 11.5, 12.5), later), Is(False))


@pytest.mark.parametrize(
    ("stated", "rate", "literal"),
    [
        (StatedRate(), None, True),
        (StatedRate(0.5), 0.5, True),
        (StatedRate(200.0), 200.0, True),
        # Without any requests the endpoint could not state that the limit is over.
        (StatedRate(0.0), MIN_RATE_PER_S, False),
        (StatedRate(0.01), MIN_RATE_PER_S, False),
        (StatedRate(float("inf")), None, False),
        (StatedRate(1e9), None, False),
    ],
)
def test_a_stated_number_stands_for_a_rate_that_can_be_kept_to(stated, rate, literal):
    assert_that(is_readable(stated), Is(True))
    assert_that(rate_of(stated), Equals(rate))
    assert_that(is_literal(stated), Is(literal))


@pytest.mark.parametrize("stated", [StatedRate(unreadable="often"), StatedRate(-1.0)])
def test_what_is_no_rate_changes_nothing(stated):
    assert_that(is_readable(stated), Is(False))
    assert_that(is_literal(stated), Is(False))
