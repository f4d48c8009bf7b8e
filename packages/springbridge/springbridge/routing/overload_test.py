"""Tests of overload.py: the least urgent are refused first, and only when no engine is well."""

import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import RETRY_AFTER_S, overload

SLOTS = 64
ALL = ("e0", "e1", "e2", "e3", "e4")
TARGET_S = 2.0


def fill(board, count, names=ALL):
    """Give engines so many requests each, which have read their prompts."""
    for name in names:
        for number in range(count):
            board.take_notice(LoadNotice(LoadPhase.STARTED, f"{name}-{number}", name))


def leave_behind(board, backlog_s, names=ALL):
    """Give engines prompts to read for so long."""
    for name in names:
        speed = board.find(name).speed.tokens_per_s
        tokens = round(backlog_s * speed)
        board.take_notice(LoadNotice(LoadPhase.STARTED, f"{name}-behind", name, tokens))


def refused(board, target_s=TARGET_S):
    """Return the priorities that are refused."""
    states = board.candidates(MODEL, ())
    demands = [make_demand(priority=priority, target_s=target_s) for priority in (0, 1, 2, 5)]
    return [demand.priority for demand in demands if overload(states, demand)]


@pytest.mark.parametrize(
    ("count", "expected"),
    [(31, []), (32, [2, 5]), (47, [2, 5]), (48, [1, 2, 5]), (95, [1, 2, 5]), (96, [0, 1, 2, 5])],
)
def test_the_least_urgent_are_refused_first(engines, count, expected):
    fill(engines, count)
    assert_that(refused(engines), Equals(expected))


@pytest.mark.parametrize(
    ("backlog_s", "expected"),
    [
        (0.29, []),
        (0.31, [2, 5]),
        (0.99, [2, 5]),
        (1.01, [1, 2, 5]),
        (1.99, [1, 2, 5]),
        (2.01, [0, 1, 2, 5]),
    ],
)
def test_who_would_wait_too_long_for_its_target_is_refused(engines, backlog_s, expected):
    leave_behind(engines, backlog_s)
    assert_that(refused(engines), Equals(expected))


@pytest.mark.parametrize("backlog_s", [0.1, 0.24, 0.4, 0.7, 1.0, 1.3, 5.0, 70.0])
def test_a_more_urgent_request_waits_longer_whatever_the_targets(engines, backlog_s):
    leave_behind(engines, backlog_s)
    states = engines.candidates(MODEL, ())
    targets_s = (0.05, 0.3, 1.0, 5.0, 30.0, 600.0)
    refused_by_priority = [
        [
            bool(overload(states, make_demand(priority=priority, target_s=each)))
            for each in targets_s
        ]
        for priority in (0, 1, 2)
    ]
    for urgent, less_urgent in itertools.pairwise(refused_by_priority):
        assert_that(any(urgent) and not all(less_urgent), Equals(False))


def test_a_patient_route_waits_longer(engines):
    leave_behind(engines, 0.5)
    assert_that(refused(engines, target_s=4.0), Equals([]))
    assert_that(refused(engines, target_s=2.0), Equals([2, 5]))


def test_a_slow_engine_is_behind_with_fewer_tokens(engines):
    board = engines
    tokens = round(0.2 * board.find("e0").speed.tokens_per_s)
    for name in ALL:
        board.find(name).speed.tokens_per_s /= 2
        board.take_notice(LoadNotice(LoadPhase.STARTED, f"{name}-x", name, tokens))
    assert_that(refused(board), Equals([2, 5]))


def test_one_engine_with_room_is_enough(engines):
    fill(engines, 2 * SLOTS, ALL[:4])
    assert_that(refused(engines), Equals([]))


def test_one_engine_without_a_backlog_is_enough(engines):
    leave_behind(engines, 10.0, ALL[:4])
    assert_that(refused(engines), Equals([]))


def test_some_full_and_the_others_behind_is_an_overload(engines):
    fill(engines, 2 * SLOTS, ALL[:2])
    leave_behind(engines, 10.0, ALL[2:])
    assert_that(refused(engines), HasLength(4))


def test_no_engine_is_no_overload():
    assert_that(overload([], make_demand(priority=5)), Equals(None))


@pytest.mark.parametrize(("backlog_s", "due_s"), [(0.4, 0.1), (5.3, 5.0)])
def test_a_refusal_tells_what_decided_it_and_when_to_come_back(engines, backlog_s, due_s):
    leave_behind(engines, backlog_s)
    refusal = overload(engines.candidates(MODEL, ()), make_demand(priority=2, target_s=2.0))
    told = (refusal.backlog_s, refusal.longest_wait_s, refusal.in_flight)
    assert_that([round(each, 2) for each in told], Equals([backlog_s, 0.3, 1]))
    assert_that(round(refusal.retry_after_s - RETRY_AFTER_S, 2), Equals(due_s))
