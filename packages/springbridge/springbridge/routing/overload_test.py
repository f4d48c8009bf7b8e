"""Tests of overload.py: the least urgent are refused first, and only if all endpoints are full."""

import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import overload
from springbridge.routing.retry_after import BURST_S

SLOTS = 64
ALL = ("e0", "e1", "e2", "e3", "e4")
TARGET_S = 2.0


def fill(registry, count, names=ALL):
    """Give each endpoint count requests whose prompts have been read."""
    for name in names:
        for number in range(count):
            registry.apply_notice(LoadNotice(LoadPhase.STARTED, f"{name}-{number}", name))


def leave_behind(registry, backlog_s, names=ALL):
    """Give each endpoint a backlog of this many seconds of reading."""
    for name in names:
        speed = registry.find(name).speed.tokens_per_s
        tokens = round(backlog_s * speed)
        registry.apply_notice(LoadNotice(LoadPhase.STARTED, f"{name}-behind", name, tokens))


def refused(registry, target_s=TARGET_S):
    """Return the priorities that are refused."""
    states = registry.candidates(MODEL, ())
    demands = [make_demand(priority=priority, target_s=target_s) for priority in (0, 1, 2, 5)]
    return [demand.priority for demand in demands if overload(states, demand)]


@pytest.mark.parametrize(
    ("count", "expected"),
    [(31, []), (32, [2, 5]), (47, [2, 5]), (48, [1, 2, 5]), (95, [1, 2, 5]), (96, [0, 1, 2, 5])],
)
def test_the_least_urgent_are_refused_first(endpoints, count, expected):
    fill(endpoints, count)
    assert_that(refused(endpoints), Equals(expected))


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
def test_a_request_that_would_wait_too_long_for_its_target_is_refused(
    endpoints, backlog_s, expected
):
    leave_behind(endpoints, backlog_s)
    assert_that(refused(endpoints), Equals(expected))


@pytest.mark.parametrize("backlog_s", [0.1, 0.24, 0.4, 0.7, 1.0, 1.3, 5.0, 70.0])
def test_a_more_urgent_request_waits_longer_whatever_the_targets(endpoints, backlog_s):
    leave_behind(endpoints, backlog_s)
    states = endpoints.candidates(MODEL, ())
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


def test_a_patient_route_waits_longer(endpoints):
    leave_behind(endpoints, 0.5)
    assert_that(refused(endpoints, target_s=4.0), Equals([]))
    assert_that(refused(endpoints, target_s=2.0), Equals([2, 5]))


def test_a_slow_endpoint_is_behind_with_fewer_tokens(endpoints):
    registry = endpoints
    tokens = round(0.2 * registry.find("e0").speed.tokens_per_s)
    for name in ALL:
        registry.find(name).speed.tokens_per_s /= 2
        registry.apply_notice(LoadNotice(LoadPhase.STARTED, f"{name}-x", name, tokens))
    assert_that(refused(registry), Equals([2, 5]))


def test_one_endpoint_with_room_is_enough(endpoints):
    fill(endpoints, 2 * SLOTS, ALL[:4])
    assert_that(refused(endpoints), Equals([]))


def test_one_endpoint_without_a_backlog_is_enough(endpoints):
    leave_behind(endpoints, 10.0, ALL[:4])
    assert_that(refused(endpoints), Equals([]))


def test_some_full_and_the_others_behind_is_an_overload(endpoints):
    fill(endpoints, 2 * SLOTS, ALL[:2])
    leave_behind(endpoints, 10.0, ALL[2:])
    assert_that(refused(endpoints), HasLength(4))


def test_no_endpoint_is_no_overload():
    assert_that(overload([], make_demand(priority=5)), Equals(None))


@pytest.mark.parametrize(("backlog_s", "due_s"), [(0.4, 0.1), (5.3, 5.0)])
def test_a_refusal_tells_what_decided_it_and_when_to_come_back(endpoints, backlog_s, due_s):
    leave_behind(endpoints, backlog_s)
    refusal = overload(endpoints.candidates(MODEL, ()), make_demand(priority=2, target_s=2.0))
    told = (refusal.backlog_s, refusal.longest_wait_s, refusal.in_flight)
    assert_that([round(each, 2) for each in told], Equals([backlog_s, 0.3, 1]))
    assert_that(round(refusal.retry_after_s - BURST_S, 2), Equals(due_s))
