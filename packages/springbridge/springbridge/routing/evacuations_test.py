"""Tests of evacuations.py: later stamps win, and an older copy of the store ends no evacuation."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.routing.evacuations import (
    LOST_EVACUATION_HOLD_S,
    EvacuationReading,
    EvacuationTable,
    EvacuationUpdate,
)
from springbridge.store_stamp import stamp


def evacuation_update(*domains, whole=True):
    """Return an update by which domains are evacuated."""
    return EvacuationUpdate(whole, tuple((domain, True) for domain in domains))


def end_update(*domains):
    """Return an update by which the evacuations of domains end."""
    return EvacuationUpdate(False, tuple((domain, False) for domain in domains))


@pytest.fixture
def table(clock):
    """Return a table that knows of one evacuation since stamp 10."""
    table = EvacuationTable(clock)
    table.apply_update(10, evacuation_update("a"))
    return table


def test_an_evacuation_lasts_until_it_is_ended(table, clock):
    clock.now_s += 1000.0
    table.apply_update(11, evacuation_update("b", whole=False))
    assert_that(table.domains(), Equals({"a", "b"}))
    table.apply_update(12, end_update("a"))
    assert_that(table.domains(), Equals({"b"}))


def test_an_evacuation_missing_in_a_complete_update_ends(table):
    table.apply_update(11, evacuation_update("b"))
    assert_that(table.domains(), Equals({"b"}))


def test_the_last_of_several_changes_counts(table):
    table.apply_update(11, EvacuationUpdate(False, (("b", True), ("b", False), ("c", True))))
    assert_that(table.domains(), Equals({"a", "c"}))


@pytest.mark.parametrize("reading_stamp", [9, 10])
def test_an_older_reading_of_a_peer_changes_nothing(table, reading_stamp):
    assert_that(table.take(EvacuationReading(reading_stamp, frozenset())), Is(False))
    assert_that(table.domains(), Equals({"a"}))


def test_an_evacuation_that_an_older_copy_lost_lasts_for_a_while(table, clock):
    table.apply_update(stamp(1, 5), evacuation_update())
    assert_that(table.domains(), Equals({"a"}))
    clock.now_s += LOST_EVACUATION_HOLD_S + 0.1
    assert_that(table.domains(), Equals(frozenset()))


def test_a_further_older_copy_does_not_end_what_is_held(table, clock):
    table.apply_update(stamp(1, 5), evacuation_update())
    clock.now_s += LOST_EVACUATION_HOLD_S - 1.0
    table.apply_update(stamp(2, 3), evacuation_update())
    clock.now_s += 2.0
    assert_that(table.domains(), Equals({"a"}))


def test_a_lost_evacuation_that_is_read_again_ends_when_it_is_ended(table):
    table.apply_update(stamp(1, 5), evacuation_update())
    table.apply_update(stamp(1, 6), evacuation_update("a", whole=False))
    table.apply_update(stamp(1, 7), end_update("a"))
    table.take(EvacuationReading(stamp(1, 5), frozenset(), (("a", 50.0),)))
    assert_that(table.domains(), Equals(frozenset()))


def test_a_lost_evacuation_reaches_an_instance_that_read_only_the_older_copy(table, clock):
    table.apply_update(stamp(1, 5), evacuation_update())
    started = EvacuationTable(clock)
    started.apply_update(stamp(1, 9), evacuation_update())
    started.take(table.reading())
    assert_that(started.domains(), Equals({"a"}))


def test_a_reading_of_an_earlier_era_is_ignored(table):
    table.apply_update(stamp(1, 5), evacuation_update("a"))
    table.take(EvacuationReading(900, frozenset({"b"}), (("c", 9.0),)))
    assert_that(table.domains(), Equals({"a"}))


def test_a_peer_cannot_prolong_an_evacuation_beyond_the_hold(table, clock):
    table.take(EvacuationReading(11, frozenset(), (("b", 1e9),)))
    clock.now_s += LOST_EVACUATION_HOLD_S + 0.1
    assert_that(table.domains(), Equals(frozenset()))
