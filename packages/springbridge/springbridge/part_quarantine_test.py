"""Tests of part_quarantine.py: which parts of prompts are suspects, and what is refused."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.crash_records import NEVER_S, CrashRecords
from springbridge.part_quarantine import FREE, TRIAL_PAUSES_S, PartQuarantine, trial_pause_s
from springbridge.quarantine import Standing
from springbridge.recent_successes import CREDIT_S

# The part that crashes endpoints, the first part that it comes with, and one of another session.
BAD, FIRST, OTHER = "part-bad", "part-first", "part-other"


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        """Start at a time that is no special one."""
        self.now_s = 1000.0

    def __call__(self):
        """Return the time."""
        return self.now_s


@pytest.fixture
def clock():
    """Return the clock of the records."""
    return Clock()


@pytest.fixture
def records(clock):
    """Return the records of parts."""
    return CrashRecords(clock)


@pytest.fixture
def requests(clock):
    """Return the records of whole requests."""
    return CrashRecords(clock)


@pytest.fixture
def answered_s():
    """Return when this node got an answer for each part."""
    return {}


@pytest.fixture
def quarantine(records, requests, answered_s):
    """Return the quarantine."""
    return PartQuarantine(records, requests, lambda key: answered_s.get(key, NEVER_S))


def crash(records, number, *parts, on_trial=False):
    """Record that an endpoint crashed under a request with these parts."""
    for part in parts:
        records.record_crash(part, number, on_trial)


def standing(quarantine, *parts):
    """Return the standing of a request with these parts."""
    return quarantine.verdict(parts).standing


def test_a_request_is_free_until_a_part_of_it_was_in_two_crashes(records, quarantine):
    found = [quarantine.verdict([BAD, FIRST])]
    for number in (1, 2):
        crash(records, number, BAD)
        found.append(quarantine.verdict([BAD, FIRST]))
    assert_that(found[:2], Equals([FREE, FREE]))
    assert_that(found[2].standing, Equals(Standing.SUSPECT))
    assert_that(found[2].suspects, Equals(frozenset({BAD})))


# Guards against the refusal of sound requests that have all parts but the one that crashes.
def test_a_failed_trial_refuses_only_what_holds_all_its_suspects(records, quarantine):
    for number in (1, 2):
        crash(records, number, FIRST, BAD)
    crash(records, 3, FIRST, BAD, on_trial=True)
    assert_that(standing(quarantine, FIRST, BAD), Equals(Standing.QUARANTINED))
    assert_that(standing(quarantine, FIRST, BAD, OTHER), Equals(Standing.QUARANTINED))
    assert_that(standing(quarantine, FIRST, OTHER), Equals(Standing.SUSPECT))
    assert_that(standing(quarantine, BAD), Equals(Standing.SUSPECT))


def test_an_answer_leaves_the_other_suspects_of_a_failed_trial(records, quarantine):
    for number in (1, 2):
        crash(records, number, FIRST, BAD)
    crash(records, 3, FIRST, BAD, on_trial=True)
    records.acquit(FIRST)
    assert_that(standing(quarantine, FIRST, OTHER), Equals(Standing.FREE))
    assert_that(standing(quarantine, BAD), Equals(Standing.QUARANTINED))
    assert_that(standing(quarantine, OTHER, BAD), Equals(Standing.QUARANTINED))


# Guards against two such parts at a time, of which one makes a trial of the other fail.
def test_a_crash_with_two_causes_convicts_neither_until_one_is_told_apart(records, quarantine):
    for number in (1, 2):
        crash(records, number, BAD)
    for number in (3, 4):
        crash(records, number, OTHER)
    crash(records, 5, BAD, on_trial=True)
    crash(records, 5, OTHER)
    assert_that(standing(quarantine, BAD), Equals(Standing.SUSPECT))
    crash(records, 6, BAD, on_trial=True)
    assert_that(standing(quarantine, BAD), Equals(Standing.QUARANTINED))
    assert_that(standing(quarantine, OTHER), Equals(Standing.SUSPECT))


def test_a_part_that_was_answered_in_the_last_seconds_is_no_suspect(
    records, quarantine, answered_s, clock
):
    answered_s[FIRST] = clock.now_s - 1.0
    for number in (1, 2, 3):
        crash(records, number, FIRST)
    assert_that(standing(quarantine, FIRST), Equals(Standing.FREE))
    clock.now_s += CREDIT_S
    assert_that(standing(quarantine, FIRST), Equals(Standing.SUSPECT))


def test_crashes_without_a_trial_refuse_nothing(records, quarantine):
    for number in range(8):
        crash(records, number, FIRST)
    assert_that(standing(quarantine, FIRST), Equals(Standing.SUSPECT))


# Guards against a whole request that crashes endpoints, whose parts would be blamed for it.
def test_a_trial_is_inconclusive_if_a_whole_request_explains_all_crashes(
    records, requests, quarantine
):
    for number in (1, 2, 3):
        crash(records, number, OTHER, on_trial=number == 3)
        requests.record_crash("request", number)
    assert_that(standing(quarantine, OTHER), Equals(Standing.SUSPECT))
    crash(records, 4, OTHER)
    assert_that(standing(quarantine, OTHER), Equals(Standing.QUARANTINED))


def test_the_pause_grows_with_the_failed_trials(records, quarantine, clock):
    for number in (1, 2):
        crash(records, number, BAD)
    waits_s = []
    for number in (3, 4, 5, 6):
        crash(records, number, BAD, on_trial=True)
        waits_s.append(quarantine.verdict([BAD]).due_s - clock.now_s)
    assert_that(waits_s, Equals([*TRIAL_PAUSES_S, trial_pause_s(4)]))


def test_what_is_in_quarantine_is_listed_by_its_suspects(records, quarantine):
    for number in (1, 2):
        crash(records, number, FIRST, BAD)
    crash(records, 3, FIRST, BAD, on_trial=True)
    before = [each.suspects for each in quarantine.quarantined()]
    records.acquit(FIRST)
    after = [each.suspects for each in quarantine.quarantined()]
    assert_that((before, after), Equals(([{FIRST, BAD}], [{BAD}])))


# Guards against a caller that names a part of others in requests which crash endpoints.
def test_a_part_that_a_liar_names_is_free_if_others_use_it_and_with_one_answer_else(
    records, quarantine, answered_s, clock
):
    answered_s[FIRST] = clock.now_s
    for number in (1, 2, 3):
        crash(records, number, FIRST, OTHER, on_trial=number == 3)
    assert_that(standing(quarantine, FIRST), Equals(Standing.FREE))
    assert_that(standing(quarantine, OTHER), Equals(Standing.QUARANTINED))
    clock.now_s += TRIAL_PAUSES_S[0] + 0.01
    assert_that(quarantine.verdict([OTHER]).due_s < clock.now_s, Equals(True))
    records.acquit(OTHER)
    assert_that(standing(quarantine, OTHER), Equals(Standing.FREE))
