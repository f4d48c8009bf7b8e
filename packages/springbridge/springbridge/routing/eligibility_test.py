"""Tests of eligibility.py: which endpoints may get a request, and when they are excluded."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.routing import eligibility
from springbridge.routing.conftest import SERVICE, make_snapshot, usable_ids
from springbridge.routing.ejection import FAILURES_TO_EJECT
from springbridge.routing.eligibility import MASS_LAPSE_GRACE_S, OUTAGE_LIST_AGE_S
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import EndpointSnapshot


def test_draining_and_unlisted_endpoints_get_nothing(registry):
    registry.install(make_snapshot(2, "a", "b", draining=("c",)), {}, 0.0)
    assert_that(usable_ids(registry), Equals(["a", "b"]))


def test_one_endpoint_that_vanished_over_an_outage_gets_nothing(registry, clock):
    # Guards against taking the removal of one endpoint during an outage of the store for a lapse of
    # the list: the instance would send it requests for seconds.
    clock.advance(OUTAGE_LIST_AGE_S + 2.0)
    registry.install(make_snapshot(2, "a", "b", "c"), {}, 0.0)
    assert_that(usable_ids(registry), Equals(["a", "b", "c"]))


def test_endpoints_that_all_vanished_over_an_outage_stay_usable_for_a_grace(registry, clock):
    clock.advance(OUTAGE_LIST_AGE_S + 2.0)
    registry.install(make_snapshot(2), {}, 0.0)
    assert_that(usable_ids(registry), Equals(["a", "b", "c", "d"]))
    clock.advance(MASS_LAPSE_GRACE_S)
    assert_that(usable_ids(registry), Equals([]))


@pytest.mark.parametrize("drain_s", [1.5, 2.0, 3.0])
def test_lapsed_endpoints_get_nothing_once_the_time_to_drain_is_over(clock, drain_s):
    # After an instance has read that an endpoint left, it must stop using it even in an outage.
    registry = EndpointRegistry(clock, drain_s)
    registry.install(make_snapshot(1, "a", "b"), {}, 0.0)
    clock.advance(OUTAGE_LIST_AGE_S + 2.0)
    registry.install(make_snapshot(2), {}, 0.0)
    clock.advance(drain_s - 0.05)
    assert_that(usable_ids(registry), Equals([]))


def test_endpoints_that_all_vanish_without_an_outage_get_nothing(registry):
    registry.install(make_snapshot(2), {}, 0.0)
    assert_that(usable_ids(registry), Equals([]))


def test_a_lapsed_endpoint_that_is_listed_again_is_as_before(registry, clock):
    clock.advance(OUTAGE_LIST_AGE_S + 2.0)
    registry.install(make_snapshot(2), {}, 0.0)
    registry.install(make_snapshot(3, "a"), {}, 0.0)
    clock.advance(MASS_LAPSE_GRACE_S)
    assert_that(usable_ids(registry), Equals(["a"]))


def test_ejected_endpoints_are_used_when_there_is_no_other(registry):
    for name in "abcd":
        for _ in range(FAILURES_TO_EJECT):
            registry.record_failure(registry.find(name))
    assert_that(usable_ids(registry), Equals(["a", "b", "c", "d"]))


def test_an_unreachable_endpoint_gets_nothing_until_it_is_reached(registry):
    # Guards against requests that wait for connections and are refused late if no endpoint is
    # reachable.
    for name in "abcd":
        registry.mark_unreachable(registry.find(name))
    assert_that(usable_ids(registry), Equals([]))
    assert_that(
        [state.entry.endpoint_id for state in registry.unreachable_endpoints()], HasLength(4)
    )
    registry.mark_reachable(registry.find("b"))
    assert_that(usable_ids(registry), Equals(["b"]))


def test_an_endpoint_whose_address_another_has_gets_nothing(registry):
    registry.mark_gone(registry.find("b"))
    assert_that(usable_ids(registry), Equals(["a", "c", "d"]))


def test_endpoints_that_had_the_request_are_left_out(registry):
    assert_that(
        [state.entry.endpoint_id for state in registry.candidates(SERVICE, {"a", "c"})],
        Equals(["b", "d"]),
    )


@pytest.mark.parametrize(
    ("missing", "lapsed"), [("", False), ("a", False), ("ab", False), ("abc", True)]
)
def test_a_service_has_lapsed_if_more_than_half_of_its_endpoints_are_missing(missing, lapsed):
    known = make_snapshot(1, "a", "b", "c", "d").entries
    listed = set("abcd") - set(missing)
    expected = {SERVICE} if lapsed else set()
    assert_that(eligibility.lapsed_services(known, listed), Equals(expected))


def test_draining_endpoints_that_vanish_are_no_lapse():
    known = make_snapshot(1, "a", draining=("b", "c")).entries
    assert_that(eligibility.lapsed_services(known, {"a"}), Equals(set()))


def test_what_an_instance_avoids_is_ejected_or_unreachable_and_not_draining(registry):
    registry.install(make_snapshot(2, "a", "b", "c", draining=("d",)), {}, 0.0)
    for _ in range(FAILURES_TO_EJECT):
        registry.record_failure(registry.find("b"))
    registry.mark_unreachable(registry.find("c"))
    assert_that(sorted(registry.avoided(SERVICE)), Equals(["b", "c"]))


# Guards against an instance that excludes all endpoints because a peer has lost its own paths.
def test_endpoints_that_a_peer_reports_as_unreachable_are_used_if_there_is_no_other(registry):
    for name in "abcd":
        registry.apply_notice(LoadNotice(LoadPhase.UNREACHED, "", name), "10.0.0.2:80")
    assert_that(usable_ids(registry), Equals(["a", "b", "c", "d"]))


def test_a_peers_report_and_an_own_finding_are_told_apart(registry):
    # Guards against logs in which nobody can see who found an endpoint unreachable.
    registry.apply_notice(LoadNotice(LoadPhase.UNREACHED, "", "a"), "10.0.0.2:80")
    registry.apply_notice(LoadNotice(LoadPhase.UNREACHED, "", "b"))
    registry.apply_notice(LoadNotice(LoadPhase.UNREACHED, "", "b"), "10.0.0.2:80")
    counts = registry.exclusion_counts(SERVICE)
    assert_that(counts, Equals({"unreachable": 1, "said to be unreachable by a peer": 1}))


# Guards against a stream that goes on at another version as none of its own is at its best.
@pytest.mark.parametrize(
    ("version", "expected"),
    [(None, ["a"]), ("v1", ["a"]), ("v1.1", ["b"]), ("v1.2", []), ("V1", []), ("", ["d"])],
)
def test_an_endpoint_of_the_needed_version_is_used_even_if_it_is_ejected(
    registry, version, expected
):
    versions = {"a": "v1", "b": "v1.1", "c": None, "d": ""}
    entries = tuple(
        replace(entry, version=versions[entry.endpoint_id])
        for entry in make_snapshot(2, "a", "b", "c", "d").entries
    )
    registry.install(EndpointSnapshot(2, entries), {}, 0.0)
    for name in ("b", "c", "d"):
        for _ in range(FAILURES_TO_EJECT):
            registry.record_failure(registry.find(name))
    found = registry.candidates(SERVICE, (), version)
    assert_that([state.entry.endpoint_id for state in found], Equals(expected))
