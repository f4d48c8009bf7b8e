"""Tests of how endpoints' statements about themselves exclude them from routing."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.routing.conftest import SERVICE, make_snapshot
from springbridge.routing.ejection import FAILURES_TO_EJECT
from springbridge.routing.eligibility import OUTAGE_LIST_AGE_S, ExclusionReason, exclusion_reason
from springbridge.statements.rests import TRIAL_S


def leave(registry, *names):
    """Record the endpoints' statements that they are leaving."""
    for name in names:
        registry.mark_leaving(registry.find(name).entry.incarnation)


def rest(registry, name, seconds):
    """Record an endpoint's request for a rest of some seconds."""
    registry.statements.asked_rest(registry.find(name).entry.incarnation, seconds)


def candidates(registry):
    """Return the ids of the endpoints that may get a request."""
    return sorted(each.entry.endpoint_id for each in registry.candidates(SERVICE, ()))


def test_an_endpoint_that_leaves_is_no_candidate_though_its_entry_says_ready(registry):
    registry.install(make_snapshot(2, "a", "b"), {}, 0.0)
    leave(registry, "a")
    registry.install(make_snapshot(3, "a", "b"), {}, 0.0)
    assert_that(candidates(registry), Equals(["b"]))
    assert_that(registry.avoided(SERVICE), Equals(["a"]))
    assert_that([each.entry.endpoint_id for each in registry.leaving(SERVICE)], Equals(["a"]))
    assert_that([each.entry.endpoint_id for each in registry.staying()], Equals(["b"]))


def test_where_all_leave_the_last_ones_are_used_for_a_moment(registry, clock):
    registry.install(make_snapshot(2, "a", "b"), {}, 0.0)
    leave(registry, "a", "b")
    assert_that(candidates(registry), Equals(["a", "b"]))
    clock.now_s += 1.95
    assert_that(candidates(registry), Equals([]))


def test_one_whose_entry_says_so_as_well_is_no_last_resort(registry):
    registry.install(make_snapshot(2, "a"), {}, 0.0)
    leave(registry, "a")
    registry.install(make_snapshot(3, draining=("a",)), {}, 0.0)
    assert_that(candidates(registry), Equals([]))


def test_a_lapse_and_the_return_of_the_entry_do_not_revive_it(registry, clock):
    registry.install(make_snapshot(2, "a", "b"), {}, 0.0)
    leave(registry, "a")
    clock.now_s += OUTAGE_LIST_AGE_S + 1.0
    registry.install(make_snapshot(3), {}, 0.0)
    # The entry of b lapsed with the outage, while a has left.
    assert_that(candidates(registry), Equals(["b"]))
    clock.now_s += 5.0
    registry.install(make_snapshot(4), {}, 0.0)
    assert_that(registry.find("a"), Is(None))
    registry.install(make_snapshot(5, "a", "b"), {}, 0.0)
    assert_that(candidates(registry), Equals(["b"]))


def test_an_endpoint_that_rests_is_neither_candidate_nor_used_for_want_of_another(registry, clock):
    registry.install(make_snapshot(2, "a", "b"), {}, 0.0)
    for _ in range(FAILURES_TO_EJECT):
        registry.record_failure(registry.find("b"))
    rest(registry, "a", 3.0)
    assert_that(candidates(registry), Equals(["b"]))
    rest(registry, "b", 3.0)
    assert_that(candidates(registry), Equals([]))
    assert_that(len(registry.resting(SERVICE)), Equals(2))
    clock.now_s += 3.0
    assert_that(candidates(registry), Equals(["a", "b"]))


def test_at_the_end_of_a_rest_the_second_request_looks_elsewhere(registry, clock):
    registry.install(make_snapshot(2, "a", "b"), {}, 0.0)
    rest(registry, "a", 3.0)
    clock.now_s += 3.0
    state = registry.find("a")
    assert_that(registry.may_get_request(state), Is(True))
    registry.record_send(state)
    assert_that(registry.may_get_request(state), Is(False))
    assert_that(candidates(registry), Equals(["b"]))
    clock.now_s += TRIAL_S
    assert_that(candidates(registry), Equals(["a", "b"]))


def test_exclusion_reasons_are_checked_in_their_order(registry, clock):
    registry.install(make_snapshot(2, "a", "b"), {}, 0.0)
    state = registry.find("a")
    assert_that(exclusion_reason(state, clock.now_s), Is(None))
    registry.statements.told_leaving(state.entry.incarnation)
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.REPORTED_LEAVING))
    for _ in range(FAILURES_TO_EJECT):
        registry.record_failure(state)
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.EJECTED))
    leave(registry, "a")
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.LEAVING))
    rest(registry, "a", 3.0)
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.RESTING))
    registry.mark_unreachable(state)
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.UNREACHABLE))
    registry.set_evacuated_domains(frozenset({"perth-a"}))
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.EVACUATED))
    registry.install(make_snapshot(3, "b", draining=("a",)), {}, 0.0)
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.DRAINING))
    registry.install(make_snapshot(4, "b"), {}, 0.0)
    assert_that(exclusion_reason(state, clock.now_s), Is(ExclusionReason.NOT_LISTED))


def test_an_endpoint_that_wants_nothing_is_not_probed(registry, clock):
    registry.install(make_snapshot(2, "a", "b", "c"), {}, 0.0)
    for name in ("a", "b", "c"):
        registry.mark_unreachable(registry.find(name))
    leave(registry, "a")
    rest(registry, "b", 3.0)
    probed = [each.entry.endpoint_id for each in registry.unreachable_endpoints()]
    assert_that(probed, Equals(["c"]))
    clock.now_s += 3.0
    probed = [each.entry.endpoint_id for each in registry.unreachable_endpoints()]
    assert_that(probed, Equals(["b", "c"]))


def test_endpoints_of_an_evacuated_domain_are_no_candidates_also_for_want_of_others(registry):
    registry.set_evacuated_domains(frozenset({"perth-a"}))
    assert_that(candidates(registry), Equals([]))
    assert_that(registry.avoided(SERVICE), Equals([]))
    assert_that(registry.may_get_request(registry.find("a"), last_resort=True), Is(False))
    registry.set_evacuated_domains(frozenset())
    assert_that(candidates(registry), Equals(["a", "b", "c", "d"]))


def test_an_endpoint_that_comes_into_an_evacuated_domain_is_no_candidate(registry):
    registry.set_evacuated_domains(frozenset({"perth-a"}))
    registry.install(make_snapshot(2, "e"), {}, 0.0)
    assert_that(candidates(registry), Equals([]))


def test_an_unreachable_endpoint_of_an_evacuated_domain_is_not_probed(registry):
    registry.mark_unreachable(registry.find("a"))
    registry.set_evacuated_domains(frozenset({"perth-a"}))
    assert_that(registry.unreachable_endpoints(), Equals([]))
