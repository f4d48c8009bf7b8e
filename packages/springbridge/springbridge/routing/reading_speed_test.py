"""Tests of reading_speed.py: only tokens read during a backlog count."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.routing.reading_speed import (
    MAX_TOKENS_PER_S,
    MIN_SAMPLE_TOKENS,
    MIN_TOKENS_PER_S,
    USUAL_TOKENS_PER_S,
    ReadingSpeed,
)

PROMPT = 10_000


def read_steadily(speed, tokens_per_s, prompts=40, now_s=100.0):
    """Read prompts one after another at a speed."""
    speed.start_sample(now_s)
    for _ in range(prompts):
        now_s += PROMPT / tokens_per_s
        speed.record_read(PROMPT, now_s)


@pytest.mark.parametrize("tokens_per_s", [10_000.0, 36_700.0, 90_000.0])
def test_a_steady_speed_is_learnt(tokens_per_s):
    speed = ReadingSpeed()
    read_steadily(speed, tokens_per_s)
    assert_that(abs(speed.tokens_per_s - tokens_per_s), LessThan(0.01 * tokens_per_s))


def test_an_endpoint_that_turns_slow_is_seen_within_a_few_prompts():
    speed = ReadingSpeed()
    read_steadily(speed, 40_000.0)
    read_steadily(speed, 5_000.0, prompts=8, now_s=110.0)
    assert_that(speed.tokens_per_s, LessThan(10_000.0))


def test_a_time_without_work_does_not_count():
    speed = ReadingSpeed()
    speed.start_sample(0.0)
    speed.record_read(PROMPT, 0.25)
    speed.end_sample()
    speed.start_sample(60.0)
    speed.record_read(MIN_SAMPLE_TOKENS, 60.5)
    assert_that(speed.tokens_per_s, Equals(USUAL_TOKENS_PER_S))


def test_a_single_short_prompt_is_no_sample():
    speed = ReadingSpeed()
    speed.start_sample(0.0)
    speed.record_read(MIN_SAMPLE_TOKENS - 1, 30.0)
    assert_that(speed.tokens_per_s, Equals(USUAL_TOKENS_PER_S))


def test_no_sample_takes_the_estimate_out_of_bounds():
    slow, fast = ReadingSpeed(), ReadingSpeed()
    read_steadily(slow, 10.0)
    read_steadily(fast, 1e9)
    assert_that(slow.tokens_per_s, GreaterThan(MIN_TOKENS_PER_S - 1))
    assert_that(fast.tokens_per_s, LessThan(MAX_TOKENS_PER_S + 1))
