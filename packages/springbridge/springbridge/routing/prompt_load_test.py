"""Tests of prompt_load.py: running requests and the rate of prompt tokens at an endpoint."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.prompt_load import (
    AVERAGING_TIME_S,
    SHORT_PROMPT_TOKENS,
    PromptLoad,
    is_short,
)


@pytest.mark.parametrize(
    ("tokens", "short"), [(0, True), (SHORT_PROMPT_TOKENS, True), (3001, False)]
)
def test_a_prompt_is_short_up_to_a_limit(tokens, short):
    assert_that(is_short(tokens), Equals(short))


def test_requests_that_started_and_did_not_end_are_running():
    load = PromptLoad()
    load.record_start(100, 0.0)
    load.record_start(100, 0.0)
    load.record_end()
    assert_that(load.running, Equals(1))


def test_a_steady_stream_of_prompts_is_seen_at_its_rate():
    load = PromptLoad()
    for step in range(1000):
        load.record_start(50, step * 0.1)
    assert_that(round(load.tokens_per_s(100.0) / 500, 1), Equals(1.0))


def test_what_was_read_long_ago_counts_for_little():
    load = PromptLoad()
    load.record_start(1000, 0.0)
    load.record_end()
    at_once = load.tokens_per_s(0.0)
    assert_that(at_once, Equals(1000 / AVERAGING_TIME_S))
    assert_that(load.tokens_per_s(10 * AVERAGING_TIME_S) < at_once / 1000, Equals(True))


def test_a_moment_before_the_last_start_adds_nothing():
    load = PromptLoad()
    load.record_start(1000, 5.0)
    assert_that(load.tokens_per_s(4.0), Equals(load.tokens_per_s(5.0)))
