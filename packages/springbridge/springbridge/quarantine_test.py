"""Tests of quarantine.py: the verdict on a request after crashes, trials and successful runs."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from springbridge.crash_records import CrashRecords
from springbridge.quarantine import (
    FIRST_TRIAL_S,
    FIRST_UNCERTAIN_TRIAL_S,
    MAX_TRIAL_PAUSE_S,
    TRIAL_GROWTH,
    UNCERTAINTY_S,
    Quarantine,
    Standing,
    trial_pause_s,
)


@pytest.fixture
def records(clock):
    """Return records without an entry."""
    return CrashRecords(clock)


@pytest.fixture
def quarantine(records):
    """Return the quarantine over them."""
    return Quarantine(records)


def crash(records, number, *fingerprints, on_trial=()):
    """Record the crash of an endpoint that ran some requests, some of them in a trial."""
    for fingerprint in fingerprints:
        records.record_crash(fingerprint, number, fingerprint in on_trial)


def standing(quarantine, fingerprint):
    """Return the standing of a request."""
    return quarantine.verdict(fingerprint).standing


def test_one_crash_holds_nobody_back(quarantine, records):
    crash(records, 1, "cause", *(f"other-{number}" for number in range(30)))
    assert_that(standing(quarantine, "cause"), Is(Standing.FREE))
    assert_that(standing(quarantine, "unknown"), Is(Standing.FREE))


def test_after_two_crashes_it_is_tried_at_once(quarantine, records, clock):
    crash(records, 1, "cause")
    crash(records, 2, "cause")
    found = quarantine.verdict("cause")
    assert_that(found.standing, Is(Standing.SUSPECT))
    assert_that(found.trial_due_s, LessThan(clock.now_s))


def test_a_failed_trial_brings_quarantine_and_each_further_one_a_longer_one(
    quarantine, records, clock
):
    crash(records, 1, "cause")
    crash(records, 2, "cause")
    for failed in range(3):
        crash(records, 3 + failed, "cause", on_trial=["cause"])
        found = quarantine.verdict("cause")
        assert_that(found.standing, Is(Standing.QUARANTINED))
        pause_s = min(MAX_TRIAL_PAUSE_S, FIRST_TRIAL_S * TRIAL_GROWTH**failed)
        assert_that(found.trial_due_s, Equals(clock.now_s + pause_s))
        clock.now_s = found.trial_due_s


def test_it_ends_by_a_good_end(quarantine, records, clock):
    for number in (1, 2, 3):
        crash(records, number, "cause", on_trial=["cause"])
    clock.now_s += FIRST_TRIAL_S
    records.acquit("cause")
    assert_that(standing(quarantine, "cause"), Is(Standing.FREE))


def test_the_trial_is_due_again_after_a_while_however_often_it_failed():
    assert_that(trial_pause_s(40, FIRST_TRIAL_S), Equals(MAX_TRIAL_PAUSE_S))


def test_while_endpoints_end_without_it_there_is_doubt(quarantine, records, clock):
    crash(records, 9, "other")
    for number in (1, 2, 3):
        crash(records, number, "met-by-chance", on_trial=["met-by-chance"] if number == 3 else [])
    due_s = quarantine.verdict("met-by-chance").trial_due_s
    assert_that(due_s, Equals(clock.now_s + FIRST_UNCERTAIN_TRIAL_S))
    clock.now_s += UNCERTAINTY_S + 1
    assert_that(quarantine.verdict("met-by-chance").trial_due_s, GreaterThan(due_s))


def test_a_trial_beside_one_with_as_many_crashes_shows_nothing(quarantine, records):
    for number in (1, 2):
        crash(records, number, "cause", "page")
    crash(records, 3, "cause", "page", on_trial=["cause", "page"])
    assert_that(standing(quarantine, "page"), Is(Standing.SUSPECT))
    assert_that(standing(quarantine, "cause"), Is(Standing.SUSPECT))


def test_once_the_other_one_is_acquitted_it_does(quarantine, records, clock):
    for number in (1, 2):
        crash(records, number, "cause", "page")
    crash(records, 3, "cause", "page", on_trial=["cause", "page"])
    clock.now_s += 0.5
    records.acquit("page")
    assert_that(standing(quarantine, "page"), Is(Standing.FREE))
    assert_that(standing(quarantine, "cause"), Is(Standing.QUARANTINED))


def test_what_fails_again_and_again_is_held_back_whatever_runs_beside_it(quarantine, records):
    for number in range(6):
        crash(records, number, "cause", "page", on_trial=["cause", "page"])
    assert_that(standing(quarantine, "cause"), Is(Standing.QUARANTINED))


def test_companions_share_two_crashes_and_rivals_a_failed_trial(quarantine, records):
    crash(records, 1, "cause", "page", "once")
    crash(records, 2, "cause", "page")
    crash(records, 3, "cause", "page", "late", on_trial=["cause", "page"])
    assert_that(quarantine.suspect_group("cause"), Equals(frozenset({"cause", "page"})))
    assert_that(quarantine.failed_together("cause"), Equals(frozenset({"page"})))
    assert_that(quarantine.suspect_group("unknown"), Equals(frozenset({"unknown"})))
