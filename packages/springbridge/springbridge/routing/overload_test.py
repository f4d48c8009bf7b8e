"""Tests of overload.py: the least urgent are refused first, and only when all engines are full."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import MODEL
from springbridge.routing.load import LoadNotice, LoadPhase
from springbridge.routing.overload import is_refused

SLOTS = 64


def fill(board, count, names=("e0", "e1", "e2", "e3", "e4")):
    """Give engines so many requests each."""
    for name in names:
        for number in range(count):
            board.take_notice(LoadNotice(LoadPhase.STARTED, f"{name}-{number}", name))


def refused(board):
    """Return the priorities that are refused."""
    states = board.candidates(MODEL, ())
    return [priority for priority in (0, 1, 2, 5) if is_refused(states, priority)]


@pytest.mark.parametrize(
    ("count", "expected"),
    [(31, []), (32, [2, 5]), (47, [2, 5]), (48, [1, 2, 5]), (95, [1, 2, 5]), (96, [0, 1, 2, 5])],
)
def test_the_least_urgent_are_refused_first(engines, count, expected):
    fill(engines, count)
    assert_that(refused(engines), Equals(expected))


def test_one_engine_with_room_is_enough(engines):
    fill(engines, 2 * SLOTS, ("e0", "e1", "e2", "e3"))
    assert_that(refused(engines), Equals([]))


def test_no_engine_is_no_overload():
    assert_that(is_refused([], 5), Equals(False))
