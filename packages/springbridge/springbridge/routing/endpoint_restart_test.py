"""Tests of endpoint_registry.py: an endpoint that restarts under the same id.

The new process has none of the old one's requests, caches or connections, so the state of the old
process must not influence routing to the new one.
"""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from springbridge.routing.conftest import MODEL
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase, endpoint_notice
from springbridge.routing.reading_speed import USUAL_TOKENS_PER_S
from springbridge.routing.records import EndpointEntry, EndpointSnapshot, PromptPart

FIRST = EndpointEntry("e0", MODEL, "10.0.0.1:80", "perth-a", 64, False, born_ms=1000)
SECOND = replace(FIRST, born_ms=2000)
WITHOUT_START = replace(FIRST, born_ms=None)
PROMPT = (PromptPart("p", 900),)


def install(registry, revision, entry):
    """Install a list of one endpoint and return whether it changed anything."""
    return registry.install(EndpointSnapshot(revision, (entry,)), {MODEL: 500_000}, 0.0)


@pytest.fixture
def registry(clock):
    """Return a registry of one endpoint that runs a request, has its prompt cached and fails."""
    registry = EndpointRegistry(clock)
    install(registry, 1, FIRST)
    registry.apply_notice(LoadNotice(LoadPhase.STARTED, "me/1", "e0", 900, PROMPT))
    state = registry.find("e0")
    state.speed.tokens_per_s = USUAL_TOKENS_PER_S / 2
    for _ in range(5):
        registry.record_failure(state)
    registry.mark_unreachable(state)
    return registry


def test_a_new_process_has_nothing_of_the_one_before(registry):
    assert_that(install(registry, 2, SECOND), Is(True))
    state = registry.find("e0")
    assert_that((state.in_flight, state.prefill_tokens, state.failures), Equals((0, 0, 0)))
    assert_that(state.cache.cached_tokens(PROMPT), Equals(0))
    assert_that(state.speed.tokens_per_s, Equals(USUAL_TOKENS_PER_S))
    assert_that((state.reachable, state.ejected_until_s), Equals((True, 0.0)))
    assert_that([each.entry for each in registry.candidates(MODEL, ())], Equals([SECOND]))


def test_what_ends_at_the_old_process_changes_nothing_at_the_new_one(registry):
    install(registry, 2, SECOND)
    registry.apply_notice(LoadNotice(LoadPhase.STARTED, "me/2", "e0", 900, PROMPT))
    registry.apply_notice(LoadNotice(LoadPhase.READ, "me/1", "e0"))
    registry.apply_notice(LoadNotice(LoadPhase.ENDED, "me/1", "e0"))
    state = registry.find("e0")
    assert_that((state.in_flight, state.prefill_tokens), Equals((1, 900)))


@pytest.mark.parametrize("phase", [LoadPhase.UNREACHED, LoadPhase.GONE])
def test_a_notice_about_the_old_process_leaves_the_new_one_in_use(registry, phase):
    install(registry, 2, SECOND)
    registry.apply_notice(endpoint_notice(phase, FIRST))
    assert_that([each.entry for each in registry.candidates(MODEL, ())], Equals([SECOND]))
    registry.apply_notice(endpoint_notice(phase, SECOND))
    assert_that(registry.candidates(MODEL, ()), Equals([]))


@pytest.mark.parametrize("phase", [LoadPhase.UNREACHED, LoadPhase.GONE])
def test_a_notice_without_a_start_time_applies_to_the_listed_process(registry, phase):
    install(registry, 2, SECOND)
    registry.apply_notice(LoadNotice(phase, "", "e0"))
    assert_that(registry.candidates(MODEL, ()), Equals([]))


def test_a_list_without_starts_changes_no_process(registry):
    before = registry.find("e0")
    assert_that(install(registry, 2, WITHOUT_START), Is(False))
    assert_that(registry.find("e0"), Is(before))
    assert_that(before.entry, Equals(FIRST))


def test_a_start_that_becomes_known_changes_no_process(clock):
    registry = EndpointRegistry(clock)
    install(registry, 1, WITHOUT_START)
    before = registry.find("e0")
    install(registry, 2, FIRST)
    assert_that(registry.find("e0"), Is(before))
    install(registry, 3, SECOND)
    assert_that(registry.find("e0"), Not(Is(before)))


def test_nodes_with_another_process_on_their_list_have_another_fingerprint(registry):
    before = registry.fingerprint
    install(registry, 2, SECOND)
    assert_that(registry.fingerprint, Not(Equals(before)))


def test_old_and_new_process_share_no_connections(registry):
    old = registry.known_incarnations()
    install(registry, 2, SECOND)
    assert_that(registry.known_incarnations() & old, Equals(set()))


# Guards against a stream that goes on at a process that took over the id with another version.
@pytest.mark.parametrize("born_ms", [None, 1000])
def test_an_id_with_another_version_is_a_new_process(clock, born_ms):
    registry = EndpointRegistry(clock)
    first = replace(FIRST, born_ms=born_ms, version="v1")
    install(registry, 1, first)
    before, fingerprint = registry.find("e0"), registry.fingerprint
    assert_that(install(registry, 2, replace(first, version="v1.1")), Is(True))
    assert_that(registry.find("e0"), Not(Is(before)))
    assert_that(registry.version_of("e0"), Equals("v1.1"))
    assert_that(registry.fingerprint, Not(Equals(fingerprint)))


def test_a_list_without_versions_keeps_the_known_one(clock):
    registry = EndpointRegistry(clock)
    install(registry, 1, replace(FIRST, version="v1"))
    assert_that(install(registry, 2, FIRST), Is(False))
    assert_that(registry.version_of("e0"), Equals("v1"))
    assert_that(registry.lacks_versions(), Is(False))
