"""Tests of store_freshness.py: which instances read the store when, and what peers' lists prove."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.membership import SnapshotStatus
from springbridge.routing.store_freshness import (
    CONFIRMED_S,
    FEED_RETRY_S,
    ROLE_KEY,
    SNAPSHOT_INTERVAL_S,
    TURN_S,
    SnapshotComparison,
    compare_with_peer,
    feed_pause_s,
    is_overdue,
    rank,
    reads_configuration,
    round_s,
    snapshot_interval_s,
    turn_s,
)

NAMES = [f"n{number}" for number in range(30)]
ROUND_S = 2.4
OWN = SnapshotStatus(fingerprint=1, age_s=0.8)


def test_the_hash_key_is_the_one_that_running_fleets_use():
    assert_that(ROLE_KEY, Equals("reader of the list of engines"))


def test_each_node_has_a_rank_of_its_own():
    assert_that(sorted(rank(name, NAMES) for name in NAMES), Equals(list(range(len(NAMES)))))


def test_the_loss_of_a_node_moves_the_ranks_after_it_by_one():
    ranks = {name: rank(name, NAMES) for name in NAMES}
    lost = NAMES[7]
    left = [name for name in NAMES if name != lost]
    expected = {name: ranks[name] - (ranks[name] > ranks[lost]) for name in left}
    assert_that({name: rank(name, left) for name in left}, Equals(expected))


def test_readers_need_no_turn_and_the_first_to_stand_in_reads_at_once():
    assert_that([turn_s(own, 5) for own in (0, 4, 5, 6, 7)], Equals([0, 0, 0, TURN_S, 2 * TURN_S]))


def test_within_a_round_every_node_has_a_turn():
    last = len(NAMES) - 1
    assert_that(turn_s(last, 0) < round_s(len(NAMES)), Equals(True))


def test_data_is_overdue_once_it_is_unconfirmed_and_the_turn_has_come():
    ages_s = (CONFIRMED_S - 0.01, CONFIRMED_S + 0.49, CONFIRMED_S + 0.51)
    assert_that([is_overdue(age_s, 0.5) for age_s in ages_s], Equals([False, False, True]))


def test_a_reader_reads_the_configuration_however_fresh_it_is():
    assert_that(reads_configuration(0.0, 0.0, is_reader=True), Equals(True))
    assert_that(reads_configuration(0.0, 0.0, is_reader=False), Equals(False))


@pytest.mark.parametrize(
    ("store_is_up", "has_configuration", "is_reader", "pause_s"),
    [
        (True, True, False, FEED_RETRY_S),
        (False, False, False, FEED_RETRY_S),
        (False, True, True, FEED_RETRY_S),
        (False, True, False, ROUND_S),
    ],
)
def test_only_a_node_that_can_go_on_without_the_store_waits_for_a_round(
    store_is_up, has_configuration, is_reader, pause_s
):
    found_s = feed_pause_s(store_is_up, has_configuration, is_reader, ROUND_S)
    assert_that(found_s, Equals(pause_s))


def test_a_round_of_a_tiny_fleet_is_no_reason_to_hurry():
    assert_that(feed_pause_s(False, True, False, TURN_S), Equals(FEED_RETRY_S))


def test_readers_read_more_often_where_the_drain_time_is_short():
    assert_that(snapshot_interval_s(60.0), Equals(SNAPSHOT_INTERVAL_S))
    assert_that(snapshot_interval_s(0.8), Equals(0.2))


@pytest.mark.parametrize(
    ("youngest", "expected"),
    [
        (None, SnapshotComparison.NO_HELP),
        (SnapshotStatus(1, 0.8), SnapshotComparison.NO_HELP),
        (SnapshotStatus(2, CONFIRMED_S), SnapshotComparison.NO_HELP),
        (SnapshotStatus(1, 0.1), SnapshotComparison.CONFIRMS),
        (SnapshotStatus(2, 0.1), SnapshotComparison.DIFFERS),
    ],
)
def test_only_a_younger_list_proves_anything(youngest, expected):
    assert_that(compare_with_peer(OWN, youngest), Equals(expected))


def test_an_unconfirmed_list_of_a_peer_proves_nothing_to_a_node_without_one():
    none_yet = SnapshotStatus(0, float("inf"))
    assert_that(
        compare_with_peer(none_yet, SnapshotStatus(2, CONFIRMED_S)),
        Equals(SnapshotComparison.NO_HELP),
    )
