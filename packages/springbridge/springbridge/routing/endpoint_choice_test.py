"""Tests of endpoint_choice.py: which endpoint gets a prompt, and what it fetches."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.endpoint_choice import by_shared_prompt, by_token_cost, least_in_flight
from springbridge.routing.endpoint_cost import MIN_FETCH_TOKENS
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import PromptPart
from springbridge.routing.reserved_endpoints import reserved_endpoints

LONG = (("shared", 13_000), ("own", 3_000))
SHORT = (("shared", 300), ("own", 900))
HERE = "perth-a"
NOW_S = 0.0


def states_of(registry):
    return registry.candidates(MODEL, ())


def start(registry, endpoint, attempt="a", parts=LONG):
    prompt_parts = tuple(PromptPart(name, tokens) for name, tokens in parts)
    tokens = sum(part.tokens for part in prompt_parts)
    registry.apply_notice(LoadNotice(LoadPhase.STARTED, attempt, endpoint, tokens, prompt_parts))


def finish(registry, endpoint, attempt="a"):
    registry.apply_notice(LoadNotice(LoadPhase.ENDED, attempt, endpoint))


def chosen(registry, parts, failure_domain=HERE, **fields):
    return by_token_cost(
        states_of(registry),
        make_demand(parts, failure_domain=failure_domain, **fields),
        registry.now_s(),
    )


def test_a_shared_prompt_returns_to_the_endpoint_that_read_it(endpoints):
    first = chosen(endpoints, LONG).state.entry.endpoint_id
    start(endpoints, first)
    finish(endpoints, first)
    again = (("shared", 13_000), ("other", 3_000))
    assert_that(chosen(endpoints, again).state.entry.endpoint_id, Equals(first))


def test_all_instances_send_a_new_shared_prompt_to_the_same_endpoint(endpoints):
    names = {chosen(endpoints, LONG).state.entry.endpoint_id for _ in range(5)}
    assert_that(len(names), Equals(1))


def test_a_busy_preferred_endpoint_is_avoided_and_its_prompt_is_fetched(endpoints):
    preferred = chosen(endpoints, LONG).state.entry.endpoint_id
    start(endpoints, preferred, "read", LONG)
    for number in range(4):
        start(endpoints, preferred, f"busy-{number}", ((f"x{number}", 20_000), ("own", 5_000)))
    choice = chosen(endpoints, LONG)
    assert_that(choice.state.entry.endpoint_id, Not(Equals(preferred)))
    assert_that(choice.source.entry.endpoint_id, Equals(preferred))


def test_nothing_is_fetched_where_the_service_cannot(endpoints):
    preferred = chosen(endpoints, LONG, fetches=False).state.entry.endpoint_id
    start(endpoints, preferred, "read", LONG)
    for number in range(4):
        start(endpoints, preferred, f"busy-{number}", ((f"x{number}", 20_000), ("own", 5_000)))
    assert_that(chosen(endpoints, LONG, fetches=False).source, Is(None))


def test_a_small_part_is_not_fetched(endpoints):
    small = (("shared", MIN_FETCH_TOKENS - 1), ("own", 900))
    start(endpoints, "e1", "read", (small[0], ("other", 900)))
    for number in range(4):
        start(endpoints, "e1", f"busy-{number}", ((f"x{number}", 20_000), ("own", 5_000)))
    assert_that(chosen(endpoints, small).source, Is(None))


def test_short_prompts_go_to_the_reserved_endpoint_and_long_ones_do_not(endpoints):
    (reserved,) = reserved_endpoints(states_of(endpoints), endpoints.now_s())
    assert_that(chosen(endpoints, SHORT).state.entry.endpoint_id, Equals(reserved))
    for number in range(8):
        parts = ((f"shared-{number}", 13_000), ("own", 3_000))
        assert_that(chosen(endpoints, parts).state.entry.endpoint_id, Not(Equals(reserved)))


def test_long_prompts_use_the_reserved_endpoint_when_the_others_are_far_behind(endpoints):
    (reserved,) = reserved_endpoints(states_of(endpoints), endpoints.now_s())
    for name in {"e0", "e1", "e2", "e3", "e4"} - {reserved}:
        for number in range(3):
            start(
                endpoints, name, f"{name}-{number}", ((f"{name}{number}", 20_000), ("own", 5_000))
            )
    assert_that(chosen(endpoints, LONG).state.entry.endpoint_id, Equals(reserved))


def test_an_endpoint_that_has_read_a_prompt_is_no_longer_behind(endpoints):
    start(endpoints, "e1", "a", LONG)
    assert_that(endpoints.find("e1").prefill_tokens, Equals(16_000))
    endpoints.apply_notice(LoadNotice(LoadPhase.READ, "a", "e1"))
    assert_that(endpoints.find("e1").prefill_tokens, Equals(0))
    assert_that(endpoints.find("e1").in_flight, Equals(1))
    finish(endpoints, "e1")
    assert_that(endpoints.find("e1").in_flight, Equals(0))


def test_a_load_whose_end_was_never_reported_expires(endpoints, clock):
    start(endpoints, "e1", "a", LONG)
    clock.advance(60.0)
    endpoints.expire_loads()
    assert_that(
        (endpoints.find("e1").in_flight, endpoints.find("e1").prefill_tokens), Equals((0, 0))
    )


def test_a_request_without_a_prompt_goes_where_the_fewest_are(endpoints):
    for name in ("e0", "e1", "e2", "e4"):
        start(endpoints, name, name, ())
    assert_that(chosen(endpoints, ()).state.entry.endpoint_id, Equals("e3"))


@pytest.mark.parametrize("choose", [least_in_flight, by_shared_prompt])
def test_the_baselines_choose_an_endpoint(endpoints, choose):
    choice = choose(states_of(endpoints), make_demand(LONG), NOW_S)
    assert_that(choice.state.entry.service, Equals(MODEL))


def test_instances_of_all_releases_prefer_the_same_endpoint_for_a_shared_part(endpoints):
    prompts = [((f"shared-{number}", 13_000), ("own", 3_000)) for number in range(8)]
    choices = [
        by_shared_prompt(states_of(endpoints), make_demand(parts), NOW_S) for parts in prompts
    ]
    names = [choice.state.entry.endpoint_id for choice in choices]
    assert_that(names, Equals(["e1", "e1", "e2", "e0", "e1", "e2", "e2", "e3"]))


def test_prompts_are_fetched_from_endpoints_that_leave_within_a_burst(endpoints):
    # Spot endpoints of a failure domain leave together, with their caches, while prompts that share
    # cached parts keep arriving. Each part is fetched once from a leaving endpoint, not read again.
    preferred = chosen(endpoints, LONG).state
    start(endpoints, preferred.entry.endpoint_id)
    finish(endpoints, preferred.entry.endpoint_id)
    staying = [state for state in states_of(endpoints) if state is not preferred]
    choice = by_token_cost(staying, make_demand(LONG, failure_domain=HERE), NOW_S, [preferred])
    assert_that(choice.state, Not(Is(preferred)))
    assert_that(choice.source, Is(preferred))
    assert_that(choice.fetched_tokens, Equals(16_000))


def test_nothing_is_fetched_from_an_endpoint_that_leaves_and_keeps_nothing(endpoints):
    preferred = chosen(endpoints, LONG).state
    staying = [state for state in states_of(endpoints) if state is not preferred]
    choice = by_token_cost(staying, make_demand(LONG, failure_domain=HERE), NOW_S, [preferred])
    assert_that(choice.source, Is(None))


# Guards against memory that one version made and another one goes on from.
@pytest.mark.parametrize(("version", "fetches"), [(None, True), ("v1.1", False)])
def test_a_prompt_is_fetched_only_from_an_endpoint_of_the_same_version(endpoints, version, fetches):
    preferred = chosen(endpoints, LONG).state
    start(endpoints, preferred.entry.endpoint_id, "read", LONG)
    for number in range(4):
        parts = ((f"x{number}", 20_000), ("own", 5_000))
        start(endpoints, preferred.entry.endpoint_id, f"busy-{number}", parts)
    preferred.entry = replace(preferred.entry, version=version)
    choice = chosen(endpoints, LONG)
    assert_that(choice.state, Not(Is(preferred)))
    assert_that(choice.source, Is(preferred if fetches else None))
