"""Tests of statement_table.py: which statements hold for an incarnation, and for how long."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.routing.records import EndpointIncarnation
from springbridge.statements.rests import Rest
from springbridge.statements.statement_table import KEEP_GONE_S, StatementTable

ONE = EndpointIncarnation("e1", 1000)
AGAIN = EndpointIncarnation("e1", 2000)


@pytest.fixture
def table(clock):
    clock.now_s = 100.0
    return StatementTable(clock)


def test_the_word_of_an_endpoint_is_new_once(table):
    assert_that([table.heard_leaving(ONE), table.heard_leaving(ONE)], Equals([True, False]))
    assert_that(list(table.leaving()), Equals([ONE]))


def test_a_peers_word_is_new_once_and_never_after_the_endpoints_own(table):
    assert_that([table.told_leaving(ONE), table.told_leaving(ONE)], Equals([True, False]))
    assert_that(table.heard_leaving(ONE), Is(True))
    assert_that(table.told_leaving(ONE), Is(False))


def test_another_start_under_the_same_id_is_not_concerned(table):
    table.heard_leaving(ONE)
    table.asked_rest(ONE, 3.0)
    said = table.of(AGAIN)
    assert_that((said.leaving.is_known, said.rest), Equals((False, None)))


def test_an_answer_without_the_header_that_crosses_takes_nothing_back(table, clock):
    table.heard_leaving(ONE)
    table.asked_rest(ONE, 3.0)
    clock.now_s = 101.0
    table.asked_no_rest(ONE, sent_s=99.9)
    assert_that(table.of(ONE).rest, Equals(Rest(103.0)))
    assert_that(table.of(ONE).leaving.is_certain, Is(True))


def test_an_answer_after_the_end_of_a_rest_ends_it(table, clock):
    table.asked_rest(ONE, 3.0)
    assert_that([each for each, _ in table.resting()], Equals([ONE]))
    clock.now_s = 104.0
    assert_that(list(table.resting()), Equals([]))
    table.asked_no_rest(ONE, sent_s=103.5)
    assert_that(table.of(ONE).rest, Is(None))


def test_what_was_said_outlasts_the_entry_and_is_dropped_in_the_end(table, clock):
    table.heard_leaving(ONE)
    clock.now_s += KEEP_GONE_S - 1.0
    table.forget_gone(set())
    assert_that(table.find(ONE).leaving.is_certain, Is(True))
    table.forget_gone({ONE})
    clock.now_s += KEEP_GONE_S + 1.0
    table.forget_gone(set())
    assert_that(table.find(ONE), Is(None))


def test_what_is_known_of_an_endpoint_stays_when_its_start_becomes_known(table):
    unknown = EndpointIncarnation("e1", None)
    table.heard_leaving(unknown)
    table.keep_under(ONE, table.of(unknown))
    assert_that(table.of(ONE).leaving.is_certain, Is(True))


def test_the_time_as_a_last_resort_does_not_begin_anew_with_a_late_entry(table, clock):
    # The list still has the previous run while the later one responds.
    table.heard_leaving(ONE)
    clock.now_s = 100.4
    assert_that(table.heard_leaving(AGAIN), Is(True))
    assert_that(table.of(AGAIN).leaving.heard_s, Equals(100.0))
