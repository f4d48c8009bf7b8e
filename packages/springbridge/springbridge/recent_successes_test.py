"""Tests of recent_successes.py."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.crash_records import NEVER_S
from springbridge.prompt_parts import part_key
from springbridge.recent_successes import MAX_ANSWERS, RecentSuccesses
from springbridge.routing.records import PromptPart


def parts(*names):
    """Return the parts of a prompt."""
    return tuple(PromptPart(name, 100) for name in names)


def test_the_latest_answer_counts_for_all_parts_but_the_last():
    now_s = [10.0]
    found = RecentSuccesses(lambda: now_s[0])
    found.record(parts("a", "b", "own"))
    now_s[0] = 12.0
    found.record(parts("a", "own"))
    times_s = [found.last_s(part_key(name)) for name in ("a", "b", "own")]
    assert_that(times_s, Equals([12.0, 10.0, NEVER_S]))


def test_the_oldest_answers_are_dropped():
    now_s = [0.0]
    found = RecentSuccesses(lambda: now_s[0])
    for number in range(MAX_ANSWERS + 10):
        now_s[0] = float(number)
        found.record(parts("page", f"session-{number}", "own"))
        if number % 100 == 0:
            found.last_s(part_key("page"))
    times_s = [found.last_s(part_key(name)) for name in ("page", "session-0", "session-500")]
    assert_that(times_s, Equals([MAX_ANSWERS + 9.0, NEVER_S, 500.0]))
