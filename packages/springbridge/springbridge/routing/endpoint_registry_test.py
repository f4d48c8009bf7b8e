"""Tests of endpoint_registry.py: installing endpoint lists."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import make_snapshot, usable_ids
from springbridge.routing.eligibility import OUTAGE_LIST_AGE_S
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.store_stamp import stamp


def known_ids(registry):
    """Return the ids of the endpoints that are listed or still have requests."""
    return {incarnation.endpoint_id for incarnation in registry.known_incarnations()}


def test_an_older_list_changes_nothing(registry):
    registry.install(make_snapshot(5, "a"), {}, 0.0)
    assert_that(registry.install(make_snapshot(4, "a", "b"), {}, 0.0), Equals(False))
    assert_that(usable_ids(registry), Equals(["a"]))


def test_a_list_has_the_same_fingerprint_whatever_its_revision_and_order(registry):
    before = registry.fingerprint
    registry.install(make_snapshot(2, "d", "c", "b", "a"), {}, 0.0)
    assert_that(registry.fingerprint, Equals(before))
    registry.install(make_snapshot(3, "a", "b"), {}, 0.0)
    assert_that(registry.fingerprint == before, Equals(False))


def test_an_endpoint_that_is_no_longer_listed_is_known_until_its_requests_end(registry):
    registry.apply_notice(LoadNotice(LoadPhase.STARTED, "me/1", "a"))
    registry.install(make_snapshot(2, "b", "c", "d"), {}, 0.0)
    assert_that(known_ids(registry), Equals({"a", "b", "c", "d"}))
    registry.apply_notice(LoadNotice(LoadPhase.ENDED, "me/1", "a"))
    registry.install(make_snapshot(3, "b", "c", "d"), {}, 0.0)
    assert_that(known_ids(registry), Equals({"b", "c", "d"}))


def test_endpoints_that_leave_are_known_as_long_as_they_are_listed():
    registry = EndpointRegistry(lambda: 0.0)
    staying, leaving = (
        EndpointEntry(name, "model", "10.0.0.1:80", "a", 4, draining)
        for name, draining in (("e-1", False), ("e-2", True))
    )
    registry.install(EndpointSnapshot(1, (staying, leaving)), {}, 0.0)
    assert_that([state.entry for state in registry.leaving("model")], Equals([leaving]))
    assert_that(registry.leaving("desk"), Equals([]))
    registry.mark_unreachable(registry.find("e-2"))
    assert_that(registry.leaving("model"), Equals([]))
    registry.install(EndpointSnapshot(2, (staying,)), {}, 0.0)
    assert_that(registry.leaving("model"), Equals([]))


# Guards against half an answer as whole, as a list that is out of date lacks its endpoint.
@pytest.mark.parametrize(
    ("age_s", "went_back", "departed"),
    [(0.2, False, True), (OUTAGE_LIST_AGE_S + 0.1, False, False), (0.2, True, False)],
)
def test_only_a_current_list_of_a_settled_store_shows_that_an_endpoint_has_left(
    registry, age_s, went_back, departed
):
    state = registry.find("a")
    registry.apply_notice(LoadNotice(LoadPhase.STARTED, "me/1", "a"))
    revision = stamp(1, 1) if went_back else 2
    registry.install(make_snapshot(revision, "b", "c", "d"), {}, age_s)
    assert_that((state.is_listed, state.has_departed), Equals((False, departed)))


def test_an_endpoint_whose_address_another_has_has_left_and_one_that_is_listed_again_has_not(
    registry,
):
    state = registry.find("a")
    registry.mark_gone(state)
    assert_that(state.has_departed, Equals(True))
    registry.install(make_snapshot(2, "a"), {}, 0.0)
    assert_that(state.has_departed, Equals(False))
