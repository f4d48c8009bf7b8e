"""Tests of scaling.py: the numbers of endpoints for given loads.

The cases are bursts of three times the usual load, and failure domains whose spot endpoints leave
all at once, with a notice shorter than replacements take to start, and are unavailable for a while
after that.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.duties.scaling import (
    MIN_OBSERVATION_S,
    DesiredEndpoints,
    ListedEndpoints,
    Load,
    ScalingLimits,
    SpotFirst,
    TargetTracking,
    desired_endpoints,
)

LIMITS = ScalingLimits(
    least=1, most=30, boot_s=4.0, spot_price=0.18, prices={"a": 0.85, "b": 1.2, "c": 1.0}
)
DOMAINS = ("a", "b", "c")
UNSEEN = Load(now=0.0, peak=0.0, known_for_s=0.0, initial_endpoints=45)


def fleet(on_demand, spot):
    """Return a fleet with the same numbers of endpoints in each failure domain."""
    return dict.fromkeys(DOMAINS, ListedEndpoints(on_demand, spot))


def load(now, peak=None, known_for_s=30.0):
    """Return a load, as numbers of busy endpoints."""
    return Load(now, now if peak is None else peak, known_for_s, initial_endpoints=45)


def totals(found):
    """Return the total numbers of on-demand and of spot endpoints."""
    return (
        sum(each.on_demand for each in found.values()),
        sum(each.spot for each in found.values()),
    )


def test_before_any_load_spot_endpoints_are_added_and_none_is_given_up():
    assert_that(desired_endpoints(SpotFirst(), fleet(15, 0), UNSEEN, LIMITS), Equals(_all(15, 15)))


def _all(on_demand, spot):
    return {name: DesiredEndpoints(on_demand, spot) for name in DOMAINS}


def test_endpoints_on_demand_go_only_as_far_as_spot_endpoints_stand_in_their_place():
    counts = [
        totals(desired_endpoints(SpotFirst(), fleet(15, spot), UNSEEN, LIMITS))[0]
        for spot in range(16)
    ]
    for spot, on_demand in enumerate(counts):
        assert_that(on_demand + 3 * spot >= 45, Equals(True))
    assert_that(counts[0], Equals(45))
    assert_that(counts[-1], Equals(3 * SpotFirst().reserve))


def test_spot_endpoints_take_the_room_once_the_others_have_gone():
    reserve = SpotFirst().reserve
    assert_that(
        desired_endpoints(SpotFirst(), fleet(reserve, 15), UNSEEN, LIMITS),
        Equals(_all(reserve, 28)),
    )


def test_endpoints_on_demand_replace_spot_endpoints_that_leave_while_the_load_needs_them():
    two_gone = {"a": ListedEndpoints(2, 28), "b": ListedEndpoints(2, 0), "c": ListedEndpoints(2, 0)}
    calm = totals(desired_endpoints(SpotFirst(), two_gone, load(20), LIMITS))
    burst = totals(desired_endpoints(SpotFirst(), two_gone, load(90), LIMITS))
    assert_that(calm[0], Equals(6))
    assert_that(burst[0], GreaterThan(15))


def test_the_cheapest_failure_domain_with_room_gets_more_first():
    gone = {"a": ListedEndpoints(2, 0), "b": ListedEndpoints(2, 0), "c": ListedEndpoints(2, 28)}
    found = desired_endpoints(SpotFirst(), gone, load(90), LIMITS)
    assert_that(found["a"].on_demand, GreaterThan(found["b"].on_demand))


def test_no_order_is_outside_the_limits():
    for now in (0.0, 5.0, 50.0, 500.0):
        for spot in (0, 10, 30):
            found = desired_endpoints(SpotFirst(), fleet(15, spot), load(now), LIMITS)
            for each in found.values():
                assert_that(each.on_demand + each.spot, LessThan(LIMITS.most + 1))
                assert_that(each.on_demand, GreaterThan(LIMITS.least - 1))


def test_fewer_are_wanted_only_after_enough_of_the_load_was_seen():
    short = load(3, 5, known_for_s=MIN_OBSERVATION_S - 1)
    long = load(3, 5, known_for_s=MIN_OBSERVATION_S)
    assert_that(
        totals(desired_endpoints(SpotFirst(), fleet(2, 28), short, LIMITS)), Equals((6, 84))
    )
    assert_that(
        sum(totals(desired_endpoints(SpotFirst(), fleet(2, 28), long, LIMITS))), LessThan(20)
    )


def test_an_unknown_load_at_most_doubles_the_fleet():
    wide = ScalingLimits(least=1, most=1000, spot_price=0.2)
    assert_that(
        sum(totals(desired_endpoints(SpotFirst(), fleet(15, 0), UNSEEN, wide))), LessThan(91)
    )


def test_without_spot_endpoints_load_decides_alone():
    plain = ScalingLimits(least=1, most=30)
    assert_that(desired_endpoints(SpotFirst(), fleet(15, 0), UNSEEN, plain), Equals(_all(15, 0)))
    seen = desired_endpoints(
        TargetTracking(), fleet(15, 0), load(12, known_for_s=MIN_OBSERVATION_S), plain
    )
    assert_that(seen, Equals(_all(10, 0)))


def test_another_policy_is_an_error():
    with pytest.raises(TypeError):
        desired_endpoints("double", fleet(15, 0), UNSEEN, LIMITS)
