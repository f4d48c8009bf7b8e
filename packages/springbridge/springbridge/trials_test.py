"""Tests of trials.py: a suspected request runs once in the fleet, its suspect group spread out."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from springbridge.crash_records import CrashRecords
from springbridge.quarantine import FIRST_TRIAL_S, Quarantine
from springbridge.trials import (
    MAX_TRIAL_RUN_S,
    TRIAL_COORDINATORS,
    Answer,
    Trials,
    trial_coordinators,
)

LEFT_S = 10.0
ENDPOINTS = 4


@pytest.fixture
def records(clock):
    """Return records without an entry."""
    return CrashRecords(clock)


@pytest.fixture
def trials(records):
    """Return the trials over them."""
    return Trials(Quarantine(records))


@pytest.fixture
def suspects(records):
    """Return a function that makes requests which share two crashes and returns their names."""

    def make(count):
        names = [f"s-{number}" for number in range(count)]
        for name in names:
            records.record_crash(name, 1)
            records.record_crash(name, 2)
        return names

    return make


def ask(trials, name, endpoint_id="i-1", left_s=LEFT_S, holder="one"):
    """Return the answer to a request for a trial."""
    return trials.request(name, holder, endpoint_id, left_s, ENDPOINTS).answer


def test_who_is_free_needs_no_trial(trials):
    assert_that([ask(trials, "free"), ask(trials, "free")], Equals([Answer.GRANTED] * 2))


def test_a_suspect_runs_once_however_many_nodes_ask(trials, suspects):
    (name,) = suspects(1)
    assert_that(ask(trials, name), Is(Answer.GRANTED))
    others = [ask(trials, name, f"i-{one}", holder=f"other-{one}") for one in range(5)]
    assert_that(others, Equals([Answer.WAIT] * 5))
    trials.finish(name, "other-1")
    assert_that(ask(trials, name, holder="other-1"), Is(Answer.WAIT))
    trials.finish(name, "one")
    assert_that(ask(trials, name, holder="other-1"), Is(Answer.GRANTED))


def test_who_holds_a_trial_may_ask_again(trials, suspects):
    # The earlier answer is a datagram, which may have been lost.
    (name,) = suspects(1)
    assert_that([ask(trials, name), ask(trials, name)], Equals([Answer.GRANTED] * 2))


def test_a_trial_whose_end_nobody_tells_ends_with_its_deadline(trials, suspects, clock):
    (name,) = suspects(1)
    ask(trials, name, left_s=2.0)
    clock.now_s += 2.1
    assert_that(ask(trials, name, left_s=900.0, holder="two"), Is(Answer.GRANTED))
    clock.now_s += MAX_TRIAL_RUN_S + 0.1
    assert_that(ask(trials, name, holder="three"), Is(Answer.GRANTED))


def test_in_quarantine_nothing_is_sent_before_the_next_trial_is_due(trials, records, clock):
    for number in (1, 2, 3):
        records.record_crash("cause", number, on_trial=number == 3)
    answer = trials.request("cause", "one", "i-1", LEFT_S, ENDPOINTS)
    assert_that((answer.answer, answer.wait_s), Equals((Answer.QUARANTINED, FIRST_TRIAL_S)))
    clock.now_s += FIRST_TRIAL_S
    assert_that(ask(trials, "cause"), Is(Answer.GRANTED))
    assert_that(ask(trials, "cause", holder="two"), Is(Answer.WAIT))


def test_a_trial_that_endpoints_turned_away_is_not_followed_by_another_at_once(
    trials, records, clock
):
    for number in (1, 2, 3):
        records.record_crash("cause", number, on_trial=number == 3)
    clock.now_s += FIRST_TRIAL_S
    assert_that(ask(trials, "cause"), Is(Answer.GRANTED))
    trials.finish("cause", "one")
    clock.now_s += 0.1
    assert_that(ask(trials, "cause", holder="two"), Is(Answer.QUARANTINED))
    clock.now_s += FIRST_TRIAL_S
    assert_that(ask(trials, "cause", holder="two"), Is(Answer.GRANTED))


def test_those_that_may_be_the_cause_are_tried_at_different_endpoints(trials, suspects):
    first, second, *_ = suspects(ENDPOINTS)
    assert_that(ask(trials, first, "i-1"), Is(Answer.GRANTED))
    answer = trials.request(second, "one", "i-1", LEFT_S, ENDPOINTS)
    assert_that((answer.answer, answer.avoided), Equals((Answer.ANOTHER_ENDPOINT, ("i-1",))))
    assert_that(ask(trials, second, "i-2"), Is(Answer.GRANTED))


def test_if_there_are_more_of_them_than_endpoints_none_has_to_wait(trials, suspects):
    names = suspects(3 * ENDPOINTS)
    answers = [ask(trials, name, f"i-{one % ENDPOINTS}") for one, name in enumerate(names)]
    assert_that(answers, Equals([Answer.GRANTED] * len(names)))


def test_requests_that_share_no_crashes_do_not_wait_for_each_other(trials, records):
    for name, crashes in (("a", (1, 2)), ("b", (3, 4))):
        for crash in crashes:
            records.record_crash(name, crash)
    assert_that([ask(trials, "a"), ask(trials, "b")], Equals([Answer.GRANTED] * 2))


def test_those_that_failed_a_trial_together_are_not_tried_together_again(trials, records):
    names = [f"s-{number}" for number in range(3 * ENDPOINTS)]
    for name in names:
        records.record_crash(name, 1)
        records.record_crash(name, 2)
    for name in names[:2]:
        records.record_crash(name, 3, on_trial=True)
    assert_that(ask(trials, names[0], "i-1"), Is(Answer.GRANTED))
    assert_that(ask(trials, names[1], "i-1"), Is(Answer.ANOTHER_ENDPOINT))


def test_all_nodes_select_the_same_coordinators(trials):
    names = [f"n-{number}" for number in range(9)]
    found = trial_coordinators("desk", names)
    assert_that(found, HasLength(TRIAL_COORDINATORS))
    assert_that(trial_coordinators("desk", reversed(names)), Equals(found))
    left = [name for name in names if name != found[0]]
    assert_that(trial_coordinators("desk", left)[0], Equals(found[1]))
