"""Tests of engine_board.py: which engines may get a request, and when no longer."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.routing.endpoint_registry import (
    EJECT_S,
    FAILURES_TO_EJECT,
    LAPSE_GRACE_S,
    OUTAGE_S,
    EndpointRegistry,
)
from springbridge.routing.records import EndpointEntry, EndpointSnapshot

SERVICE = "matching"


def endpoint(name, draining=False, address="10.0.0.1:80"):
    return EndpointEntry(name, SERVICE, address, "perth-a", 4, draining)


def snapshot(revision, *names, draining=()):
    entries = [endpoint(name) for name in names] + [endpoint(name, True) for name in draining]
    return EndpointSnapshot(revision, tuple(entries))


def usable(registry):
    return sorted(state.entry.endpoint_id for state in registry.candidates(SERVICE, ()))


@pytest.fixture
def registry(clock):
    """Return a board with four engines."""
    registry = EndpointRegistry(clock)
    registry.install(snapshot(1, "a", "b", "c", "d"), {}, 0.0)
    return registry


def test_draining_and_unlisted_engines_get_nothing(registry):
    registry.install(snapshot(2, "a", "b", draining=("c",)), {}, 0.0)
    assert_that(usable(registry), Equals(["a", "b"]))


def test_an_older_list_changes_nothing(registry):
    registry.install(snapshot(5, "a"), {}, 0.0)
    assert_that(registry.install(snapshot(4, "a", "b"), {}, 0.0), Equals(False))
    assert_that(usable(registry), Equals(["a"]))


def test_one_engine_that_vanished_over_an_outage_gets_nothing(registry, clock):
    # Found by hunt-14ef-7 on caroni-charts: a node that was cut off took the removal of one engine
    # for a lapse of the list, and sent it requests for seconds.
    clock.advance(OUTAGE_S + 2.0)
    registry.install(snapshot(2, "a", "b", "c"), {}, 0.0)
    assert_that(usable(registry), Equals(["a", "b", "c"]))


def test_engines_that_all_vanished_over_an_outage_stay_usable_for_a_grace(registry, clock):
    clock.advance(OUTAGE_S + 2.0)
    registry.install(snapshot(2), {}, 0.0)
    assert_that(usable(registry), Equals(["a", "b", "c", "d"]))
    clock.advance(LAPSE_GRACE_S)
    assert_that(usable(registry), Equals([]))


@pytest.mark.parametrize("drain_s", [1.5, 2.0, 3.0])
def test_lapsed_engines_get_nothing_once_the_time_to_drain_is_over(clock, drain_s):
    # The platform's pages: who has read that an engine is gone is bound by that over an outage too.
    registry = EndpointRegistry(clock, drain_s)
    registry.install(snapshot(1, "a", "b"), {}, 0.0)
    clock.advance(OUTAGE_S + 2.0)
    registry.install(snapshot(2), {}, 0.0)
    clock.advance(drain_s - 0.05)
    assert_that(usable(registry), Equals([]))


def test_engines_that_all_vanish_without_an_outage_get_nothing(registry):
    registry.install(snapshot(2), {}, 0.0)
    assert_that(usable(registry), Equals([]))


def test_a_lapsed_engine_that_is_listed_again_is_as_before(registry, clock):
    clock.advance(OUTAGE_S + 2.0)
    registry.install(snapshot(2), {}, 0.0)
    registry.install(snapshot(3, "a"), {}, 0.0)
    clock.advance(LAPSE_GRACE_S)
    assert_that(usable(registry), Equals(["a"]))


def test_failures_in_a_row_make_an_engine_rest(registry, clock):
    state = registry.find("a")
    for _ in range(FAILURES_TO_EJECT):
        registry.failed(state)
    assert_that(usable(registry), Equals(["b", "c", "d"]))
    clock.advance(EJECT_S)
    assert_that(usable(registry), Equals(["a", "b", "c", "d"]))


def test_resting_engines_are_used_when_there_is_no_other(registry):
    for name in "abcd":
        for _ in range(FAILURES_TO_EJECT):
            registry.failed(registry.find(name))
    assert_that(usable(registry), Equals(["a", "b", "c", "d"]))


def test_an_unreachable_engine_gets_nothing_until_it_is_reached(registry):
    # With all engines dark, requests waited for connections and were refused late.
    for name in "abcd":
        registry.unreachable(registry.find(name))
    assert_that(usable(registry), Equals([]))
    assert_that(
        [state.entry.endpoint_id for state in registry.unreachable_endpoints()], HasLength(4)
    )
    registry.reached(registry.find("b"))
    assert_that(usable(registry), Equals(["b"]))


def test_an_engine_whose_address_another_has_gets_nothing(registry):
    registry.misnamed(registry.find("b"))
    assert_that(usable(registry), Equals(["a", "c", "d"]))


def test_engines_that_had_the_request_are_left_out(registry):
    assert_that(
        [state.entry.endpoint_id for state in registry.candidates(SERVICE, {"a", "c"})],
        Equals(["b", "d"]),
    )
