"""Tests of endpoint_state.py: the load of an endpoint and the estimate of its reading speed."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge.routing.endpoint_state import LOAD_EXPIRY_S, PREFILL_EXPIRY_S, EndpointState
from springbridge.routing.load_notices import LoadNotice, LoadPhase, make_attempt_id
from springbridge.routing.prompt_load import SHORT_PROMPT_TOKENS
from springbridge.routing.reading_speed import MIN_SAMPLE_TOKENS, USUAL_TOKENS_PER_S
from springbridge.routing.records import EndpointEntry

LONG_PROMPT = MIN_SAMPLE_TOKENS
ONE_S = LONG_PROMPT / USUAL_TOKENS_PER_S


@pytest.fixture
def state():
    """Return an endpoint without a load."""
    return EndpointState(EndpointEntry("e0", "model", "10.0.0.1:80", "perth-a", 64, False))


def start(state, attempt_id, now_s, tokens=LONG_PROMPT):
    state.record_start(LoadNotice(LoadPhase.STARTED, attempt_id, "e0", tokens), now_s)


def test_the_backlog_is_what_is_still_to_read(state):
    start(state, "a", 0.0)
    start(state, "b", 0.0)
    assert_that(state.backlog_s, Equals(2 * ONE_S))
    state.record_prompt_read("a", ONE_S)
    assert_that((state.backlog_s, state.in_flight), Equals((ONE_S, 2)))
    state.record_end("a")
    state.record_end("b")
    assert_that((state.backlog_s, state.in_flight), Equals((0.0, 0)))


def test_requests_are_counted_by_the_size_of_their_prompt_until_they_end(state):
    start(state, "long", 0.0)
    start(state, "short", 0.0, SHORT_PROMPT_TOKENS)
    start(state, "short", 0.0, SHORT_PROMPT_TOKENS)
    state.record_prompt_read("short", 0.1)
    assert_that((state.short.running, state.long.running), Equals((1, 1)))
    state.record_end("short")
    state.record_end("short")
    state.expire_loads(LOAD_EXPIRY_S + 1)
    assert_that((state.short.running, state.long.running), Equals((0, 0)))


def test_a_load_whose_end_is_never_reported_expires(state):
    start(state, "a", 0.0)
    state.expire_loads(PREFILL_EXPIRY_S + 1)
    assert_that((state.prefill_tokens, state.in_flight), Equals((0, 1)))
    state.expire_loads(LOAD_EXPIRY_S + 1)
    assert_that(state.in_flight, Equals(0))


@pytest.mark.parametrize("lost", ["expired", "failed"])
def test_a_prompt_that_was_never_read_says_nothing_of_the_speed(state, lost):
    start(state, "lost", 0.0)
    if lost == "expired":
        state.expire_loads(PREFILL_EXPIRY_S + 1)
    else:
        state.record_end("lost")
    start(state, "later", 100.0)
    state.record_prompt_read("later", 100.0 + ONE_S)
    assert_that(round(state.speed.tokens_per_s), Equals(round(USUAL_TOKENS_PER_S)))


def test_an_endpoint_that_reads_quickly_is_less_behind(state):
    start(state, "a", 0.0)
    start(state, "b", 0.0)
    before_s = state.backlog_s
    state.record_prompt_read("a", ONE_S / 4)
    start(state, "c", ONE_S / 4)
    assert_that(before_s, GreaterThan(state.backlog_s))


def test_the_load_of_a_silent_node_is_dropped(state):
    start(state, make_attempt_id("me", 1), 0.0)
    start(state, make_attempt_id("silent", 1), 0.0)
    state.drop_loads_except({"me", "other"})
    assert_that((set(state.loads), state.backlog_s), Equals(({make_attempt_id("me", 1)}, ONE_S)))
