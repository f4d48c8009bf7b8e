"""Tests of evacuations.py: later stamps win, and an older copy of the store ends no evacuation."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.routing.evacuations import (
    HOLD_LOST_S,
    EvacuationNews,
    EvacuationReading,
    EvacuationTable,
)
from springbridge.store_stamp import stamp


def asked(*domains, whole=True):
    """Return an update by which domains are evacuated."""
    return EvacuationNews(whole, tuple((domain, True) for domain in domains))


def ended(*domains):
    """Return an update by which the evacuations of domains end."""
    return EvacuationNews(False, tuple((domain, False) for domain in domains))


@pytest.fixture
def table(clock):
    """Return a table that knows of one evacuation since stamp 10."""
    table = EvacuationTable(clock)
    table.take_news(10, asked("a"))
    return table


def test_an_ask_holds_until_it_is_taken_away(table, clock):
    clock.now_s += 1000.0
    table.take_news(11, asked("b", whole=False))
    assert_that(table.domains(), Equals({"a", "b"}))
    table.take_news(12, ended("a"))
    assert_that(table.domains(), Equals({"b"}))


def test_what_the_whole_table_does_not_name_is_over(table):
    table.take_news(11, asked("b"))
    assert_that(table.domains(), Equals({"b"}))


def test_the_last_of_several_changes_counts(table):
    table.take_news(11, EvacuationNews(False, (("b", True), ("b", False), ("c", True))))
    assert_that(table.domains(), Equals({"a", "c"}))


@pytest.mark.parametrize("told", [9, 10])
def test_what_a_peer_told_earlier_changes_nothing(table, told):
    assert_that(table.take(EvacuationReading(told, frozenset())), Is(False))
    assert_that(table.domains(), Equals({"a"}))


def test_an_ask_that_an_older_copy_lost_holds_on_for_a_while(table, clock):
    table.take_news(stamp(1, 5), asked())
    assert_that(table.domains(), Equals({"a"}))
    clock.now_s += HOLD_LOST_S + 0.1
    assert_that(table.domains(), Equals(frozenset()))


def test_a_further_older_copy_does_not_end_what_is_held(table, clock):
    table.take_news(stamp(1, 5), asked())
    clock.now_s += HOLD_LOST_S - 1.0
    table.take_news(stamp(2, 3), asked())
    clock.now_s += 2.0
    assert_that(table.domains(), Equals({"a"}))


def test_one_that_is_confirmed_after_the_return_ends_when_it_is_taken_away(table):
    table.take_news(stamp(1, 5), asked())
    table.take_news(stamp(1, 6), asked("a", whole=False))
    table.take_news(stamp(1, 7), ended("a"))
    table.take(EvacuationReading(stamp(1, 5), frozenset(), (("a", 50.0),)))
    assert_that(table.domains(), Equals(frozenset()))


def test_what_was_lost_is_told_to_an_instance_that_read_the_older_copy_alone(table, clock):
    table.take_news(stamp(1, 5), asked())
    started = EvacuationTable(clock)
    started.take_news(stamp(1, 9), asked())
    started.take(table.reading())
    assert_that(started.domains(), Equals({"a"}))


def test_a_peer_of_an_earlier_era_is_not_heeded(table):
    table.take_news(stamp(1, 5), asked("a"))
    table.take(EvacuationReading(900, frozenset({"b"}), (("c", 9.0),)))
    assert_that(table.domains(), Equals({"a"}))


def test_nobody_holds_an_ask_for_longer_than_it_is_held_here(table, clock):
    table.take(EvacuationReading(11, frozenset(), (("b", 1e9),)))
    clock.now_s += HOLD_LOST_S + 0.1
    assert_that(table.domains(), Equals(frozenset()))
