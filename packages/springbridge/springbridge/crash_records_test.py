"""Tests of crash_records.py: records of all nodes are merged, and their number is bounded."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, LessThan, Not

from springbridge.crash_records import (
    FORGET_POISON_S,
    FORGET_S,
    MAX_CRASHES,
    MAX_RECORDS,
    CrashRecords,
    CrashReport,
    ReportedCrash,
    crash_id,
)


@pytest.fixture
def records(clock):
    """Return records without an entry."""
    return CrashRecords(clock)


def test_a_crash_that_two_nodes_saw_counts_once(records, clock):
    assert_that(records.record_crash("f", crash_id("i-1", 7)), Is(True))
    clock.now_s += 1
    report = CrashReport("f", (ReportedCrash(crash_id("i-1", 7), 0.2),))
    assert_that(records.merge(report), Is(False))
    assert_that(records.find("f").counted, HasLength(1))


def test_an_endpoint_that_starts_again_under_its_id_can_end_again():
    assert_that(crash_id("i-1", 7), Not(Equals(crash_id("i-1", 8))))


def test_a_good_end_acquits_of_all_crashes_before_and_of_none_after(records, clock):
    records.record_crash("f", 1)
    clock.now_s += 1
    assert_that(records.acquit("f"), Is(True))
    assert_that(records.acquit("f"), Is(False))
    clock.now_s += 1
    records.record_crash("f", 2)
    assert_that(records.find("f").counted, Equals(frozenset({2})))


def test_late_news_of_a_crash_before_a_good_end_does_not_count(records, clock):
    records.record_crash("f", 1)
    clock.now_s += 1
    records.acquit("f")
    assert_that(records.merge(CrashReport("f", (ReportedCrash(2, 3.0),))), Is(False))
    assert_that(records.find("f").counted, HasLength(0))


def test_two_nodes_that_exchange_their_records_hold_the_same(clock):
    one, other = CrashRecords(clock), CrashRecords(clock)
    one.record_crash("f", 1, on_trial=True)
    clock.now_s += 1
    other.record_crash("f", 2)
    clock.now_s += 1
    one.acquit("f")
    other.merge(one.report("f"))
    one.merge(other.report("f"))
    clock.now_s += 1
    other.record_crash("f", 3)
    one.merge(other.report("f"))
    assert_that(one.find("f"), Equals(other.find("f")))
    assert_that(one.find("f").counted, Equals(frozenset({3})))


def test_a_trial_that_one_node_saw_fail_is_a_failed_trial_at_all(records):
    records.record_crash("f", 1)
    records.merge(CrashReport("f", (ReportedCrash(1, 0.0, on_trial=True),)))
    assert_that(records.find("f").failed_trials, Equals(frozenset({1})))


def test_what_passes_the_bound_first_has_the_fewest_crashes(records):
    for crash in (1, 2, 3):
        records.record_crash("known", crash)
    for number in range(MAX_RECORDS + 50):
        records.record_crash(f"once-{number}", 1)
    assert_that(len(records), LessThan(MAX_RECORDS + 1))
    assert_that(records.find("known").counted, HasLength(3))
    assert_that(records.find(f"once-{MAX_RECORDS + 49}"), Not(Is(None)))
    assert_that(records.involved_in(1), HasLength(len(records)))


def test_only_the_latest_crashes_of_a_request_are_kept(records, clock):
    for crash in range(MAX_CRASHES + 5):
        clock.now_s += 1
        records.record_crash("f", crash)
    kept = records.find("f").counted
    assert_that(kept, HasLength(MAX_CRASHES))
    assert_that(min(kept), Equals(5))


def test_records_are_forgotten_those_of_several_crashes_later(records, clock):
    records.record_crash("once", 1)
    for crash in (1, 2, 3):
        records.record_crash("thrice", crash)
    clock.now_s += FORGET_S + 1
    assert_that([each.fingerprint for each in records.forget_old()], Equals(["once"]))
    clock.now_s += FORGET_POISON_S
    assert_that([each.fingerprint for each in records.forget_old()], Equals(["thrice"]))
    assert_that(len(records), LessThan(1))
    assert_that(list(records.involved_in(1)), Not(Contains("once")))
