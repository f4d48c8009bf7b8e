"""Tests of part_trials.py: which prompts with suspected parts are on trial at the same time."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.crash_records import CrashRecords
from springbridge.part_quarantine import TRIAL_PAUSES_S, PartQuarantine
from springbridge.part_trials import MAX_EXCLUSIVE_S, MIN_TRIAL_PAUSE_S, PartTrials
from springbridge.trials import Answer

ENDPOINTS = 4
LEFT_S = 5.0


class Fleet:
    """The coordinator's records and trials, on a clock that tests advance."""

    def __init__(self):
        """Start with three suspects, which were in the same two crashes."""
        self.now_s = 1000.0
        self.records = CrashRecords(lambda: self.now_s)
        self.trials = PartTrials(PartQuarantine(self.records, CrashRecords(lambda: self.now_s)))
        for number in (1, 2):
            self.crash(number, "first", "bad", "other")

    def crash(self, number, *parts, on_trial=False):
        """Record that an endpoint crashed under a request with these parts."""
        for part in parts:
            self.records.record_crash(part, number, on_trial)

    def ask(self, holder, *parts, endpoint="i-1", left=ENDPOINTS):
        """Return the answer to a request for a trial, where some endpoints are left."""
        return self.trials.request(parts, holder, endpoint, LEFT_S, left).answer


@pytest.fixture
def fleet():
    """Return the fleet."""
    return Fleet()


def test_one_trial_at_a_time_is_granted_for_a_suspect(fleet):
    assert_that(fleet.ask("n/1", "first", "bad"), Equals(Answer.GRANTED))
    assert_that(fleet.ask("n/2", "first", endpoint="i-2"), Equals(Answer.WAIT))
    assert_that(fleet.ask("n/1", "first", "bad"), Equals(Answer.GRANTED))


def test_prompts_without_a_common_suspect_are_on_trial_at_different_endpoints(fleet):
    assert_that(fleet.ask("n/1", "first"), Equals(Answer.GRANTED))
    assert_that(fleet.ask("n/2", "other"), Equals(Answer.ANOTHER_ENDPOINT))
    assert_that(fleet.ask("n/2", "other", endpoint="i-2"), Equals(Answer.GRANTED))


def test_a_piece_of_what_failed_is_tried_at_once_and_all_of_it_later(fleet):
    fleet.ask("n/1", "first", "bad")
    fleet.crash(3, "first", "bad", on_trial=True)
    fleet.trials.finish("n/1")
    assert_that(fleet.ask("n/2", "first", "bad"), Equals(Answer.QUARANTINED))
    assert_that(fleet.ask("n/3", "first"), Equals(Answer.GRANTED))
    fleet.trials.finish("n/3")
    fleet.now_s += TRIAL_PAUSES_S[0] + 0.01
    assert_that(fleet.ask("n/2", "first", "bad"), Equals(Answer.GRANTED))


# Guards against two causes that are always tried on the same last endpoint and convict neither.
def test_what_failed_together_is_not_tried_on_one_endpoint_again(fleet):
    fleet.ask("n/1", "first")
    fleet.ask("n/2", "bad", endpoint="i-2")
    fleet.crash(3, "first", "bad", on_trial=True)
    for holder in ("n/1", "n/2"):
        fleet.trials.finish(holder)
    fleet.now_s += MIN_TRIAL_PAUSE_S + 0.01
    found = [fleet.ask(f"n/{part}", part, left=1) for part in ("first", "bad", "other")]
    assert_that(found, Equals([Answer.GRANTED, Answer.ANOTHER_ENDPOINT, Answer.GRANTED]))


# Guards against sound prompts that wait for a trial whose node has ended.
def test_a_trial_that_does_not_end_keeps_others_waiting_for_a_moment_only(fleet):
    fleet.ask("n/1", "first")
    fleet.now_s += MAX_EXCLUSIVE_S + 0.01
    assert_that(fleet.ask("n/2", "first"), Equals(Answer.GRANTED))


# Guards against a prompt that is sent again and again because full endpoints turn its trials away.
def test_a_trial_that_told_nothing_is_followed_by_a_pause(fleet):
    fleet.ask("n/1", "first", "bad")
    fleet.trials.finish("n/1")
    assert_that(fleet.ask("n/2", "first", "bad"), Equals(Answer.WAIT))
    fleet.now_s += MIN_TRIAL_PAUSE_S + 0.01
    assert_that(fleet.ask("n/2", "first", "bad"), Equals(Answer.GRANTED))


def test_an_answered_prompt_needs_no_trial(fleet):
    for part in ("first", "bad"):
        fleet.records.acquit(part)
    assert_that([fleet.ask(f"n/{number}", "first", "bad") for number in range(3)], Equals([0] * 3))
