"""Tests of usage.py: counts by window, with lost messages, and after the loss of all instances."""

import itertools
import random

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.duties.usage import (
    KEPT_S,
    FleetUsage,
    OwnUsage,
    ReportedUsage,
    WindowCounts,
    window_at,
)

WINDOW_S = 5.0


def told(incarnation, counts, started_s=0.0, window=10):
    """Return an instance's report for a window."""
    return ReportedUsage(incarnation, started_s, window, counts)


def test_a_request_counts_in_the_window_of_its_moment():
    own = OwnUsage(WINDOW_S)
    for true_s in (50.0, 54.9, 55.0):
        own.began("councils", true_s)
    wanted = [WindowCounts(10, {"councils": 2}), WindowCounts(11, {"councils": 1})]
    assert_that(own.windows(), Equals(wanted))


def test_old_windows_are_dropped():
    own = OwnUsage(WINDOW_S)
    own.began("councils", 50.0)
    own.forget(50.0 + KEPT_S)
    assert_that(len(own.windows()), Equals(1))
    own.forget(50.0 + KEPT_S + WINDOW_S)
    assert_that(len(own.windows()), Equals(0))


def test_windows_are_numbered_from_the_start_of_1970():
    assert_that(window_at(353445120 * WINDOW_S + 4.99, WINDOW_S), Equals(353445120))


def test_lost_repeated_and_late_messages_do_not_change_the_total():
    messages = [told(name, {"councils": count}) for name in "abc" for count in range(1, 8)]
    for seed in range(200):
        rng = random.Random(seed)
        kept = [each for each in messages if rng.random() < 0.6] + messages[6::7]
        rng.shuffle(kept)
        fleet = FleetUsage()
        for message in itertools.chain(kept, kept[:5]):
            fleet.merge(message)
        assert_that(fleet.totals(10), Equals({"councils": 21}))


def test_what_a_lost_fleet_had_counted_is_added_to_what_the_new_one_counts():
    fleet = FleetUsage()
    fleet.restore({10: {"councils": 40, "transit": 3}}, stored_s=52.0)
    fleet.merge(told("new", {"councils": 5}, started_s=53.0))
    assert_that(fleet.totals(10), Equals({"councils": 45, "transit": 3}))


def test_a_successor_counts_runs_of_before_once():
    fleet = FleetUsage()
    fleet.restore({10: {"councils": 40}}, stored_s=52.0)
    fleet.merge(told("old-1", {"councils": 30}))
    fleet.merge(told("old-2", {"councils": 15}))
    assert_that(fleet.totals(10), Equals({"councils": 45}))
