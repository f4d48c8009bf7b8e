"""Tests of engine_choice.py and prefix_cache.py: where a prompt goes, and what is fetched."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.endpoint_choice import (
    LEAST_FETCH_TOKENS,
    _quiet_engines,
    by_shared_prompt,
    by_token_cost,
    least_in_flight,
)
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.prefix_cache import PrefixCache
from springbridge.routing.records import PromptPart

LONG = (("shared", 13_000), ("own", 3_000))
SHORT = (("shared", 300), ("own", 900))
HERE = "perth-a"


def states_of(board):
    return board.candidates(MODEL, ())


def start(board, engine, attempt="a", parts=LONG):
    prompt_parts = tuple(PromptPart(name, tokens) for name, tokens in parts)
    tokens = sum(part.tokens for part in prompt_parts)
    board.take_notice(LoadNotice(LoadPhase.STARTED, attempt, engine, tokens, prompt_parts))


def finish(board, engine, attempt="a"):
    board.take_notice(LoadNotice(LoadPhase.ENDED, attempt, engine))


def chosen(board, parts, place=HERE, **fields):
    return by_token_cost(states_of(board), make_demand(parts, place=place, **fields))


def test_a_shared_prompt_returns_to_the_engine_that_read_it(engines):
    first = chosen(engines, LONG).state.entry.engine_id
    start(engines, first)
    finish(engines, first)
    again = (("shared", 13_000), ("other", 3_000))
    assert_that(chosen(engines, again).state.entry.engine_id, Equals(first))


def test_all_nodes_send_a_new_shared_prompt_to_the_same_engine(engines):
    names = {chosen(engines, LONG).state.entry.engine_id for _ in range(5)}
    assert_that(len(names), Equals(1))


def test_a_busy_home_is_left_and_its_prompt_is_fetched(engines):
    home = chosen(engines, LONG).state.entry.engine_id
    start(engines, home, "read", LONG)
    for number in range(4):
        start(engines, home, f"busy-{number}", ((f"x{number}", 20_000), ("own", 5_000)))
    choice = chosen(engines, LONG)
    assert_that(choice.state.entry.engine_id, Not(Equals(home)))
    assert_that(choice.source.entry.engine_id, Equals(home))


def test_nothing_is_fetched_where_the_service_cannot(engines):
    home = chosen(engines, LONG, fetches=False).state.entry.engine_id
    start(engines, home, "read", LONG)
    for number in range(4):
        start(engines, home, f"busy-{number}", ((f"x{number}", 20_000), ("own", 5_000)))
    assert_that(chosen(engines, LONG, fetches=False).source, Is(None))


def test_a_small_part_is_not_fetched(engines):
    small = (("shared", LEAST_FETCH_TOKENS - 1), ("own", 900))
    start(engines, "e1", "read", (small[0], ("other", 900)))
    for number in range(4):
        start(engines, "e1", f"busy-{number}", ((f"x{number}", 20_000), ("own", 5_000)))
    assert_that(chosen(engines, small).source, Is(None))


def test_short_prompts_go_to_the_quiet_engine_and_long_ones_do_not(engines):
    (quiet,) = _quiet_engines(states_of(engines))
    assert_that(chosen(engines, SHORT).state.entry.engine_id, Equals(quiet))
    for number in range(8):
        parts = ((f"shared-{number}", 13_000), ("own", 3_000))
        assert_that(chosen(engines, parts).state.entry.engine_id, Not(Equals(quiet)))


def test_long_prompts_use_the_quiet_engine_when_the_others_are_far_behind(engines):
    (quiet,) = _quiet_engines(states_of(engines))
    for name in {"e0", "e1", "e2", "e3", "e4"} - {quiet}:
        for number in range(3):
            start(engines, name, f"{name}-{number}", ((f"{name}{number}", 20_000), ("own", 5_000)))
    assert_that(chosen(engines, LONG).state.entry.engine_id, Equals(quiet))


def test_an_engine_that_has_read_a_prompt_is_no_longer_behind(engines):
    start(engines, "e1", "a", LONG)
    assert_that(engines.find("e1").prefill_tokens, Equals(16_000))
    engines.take_notice(LoadNotice(LoadPhase.READ, "a", "e1"))
    assert_that(engines.find("e1").prefill_tokens, Equals(0))
    assert_that(engines.find("e1").in_flight, Equals(1))
    finish(engines, "e1")
    assert_that(engines.find("e1").in_flight, Equals(0))


def test_a_load_whose_end_was_never_heard_of_expires(engines, clock):
    start(engines, "e1", "a", LONG)
    clock.advance(60.0)
    engines.expire_loads()
    assert_that((engines.find("e1").in_flight, engines.find("e1").prefill_tokens), Equals((0, 0)))


def test_a_request_without_a_prompt_goes_where_the_fewest_are(engines):
    for name in ("e0", "e1", "e2", "e4"):
        start(engines, name, name, ())
    assert_that(chosen(engines, ()).state.entry.engine_id, Equals("e3"))


@pytest.mark.parametrize("choose", [least_in_flight, by_shared_prompt])
def test_the_baselines_choose_an_engine(engines, choose):
    assert_that(choose(states_of(engines), make_demand(LONG)).state.entry.service, Equals(MODEL))


def test_the_least_recently_used_parts_give_way():
    cache = PrefixCache(100)
    first, second = (PromptPart("a", 60),), (PromptPart("b", 30),)
    cache.note(first)
    cache.note(second)
    assert_that(cache.kept_tokens(first), Equals(60))
    cache.note(first)
    cache.note((PromptPart("c", 20),))
    assert_that((cache.kept_tokens(first), cache.kept_tokens(second)), Equals((60, 0)))


def test_a_part_counts_only_behind_the_parts_before_it():
    cache = PrefixCache(1000)
    cache.note((PromptPart("a", 10), PromptPart("b", 20)))
    assert_that(cache.kept_tokens((PromptPart("b", 20),)), Equals(0))
    assert_that(cache.kept_tokens((PromptPart("a", 10), PromptPart("c", 20))), Equals(10))


def test_nothing_is_kept_without_a_capacity():
    cache = PrefixCache(0)
    cache.note((PromptPart("a", 10),))
    assert_that(cache.kept_tokens((PromptPart("a", 10),)), Equals(0))
