"""Tests of granters.py: which instance grants an endpoint's permits, and its share of the rate."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.member import Member
from springbridge.rates.granters import HANDOVER_S, granted_share, granters


def members(count):
    return [Member(f"i{n}", f"n{n}", f"{n}:1", "", "abc"[n % 3]) for n in range(count)]


def granter(members, endpoint_id, failure_domain):
    return granters(members, endpoint_id, failure_domain)[0]


def test_all_instances_name_the_same_granter_whatever_the_order():
    fleet = members(30)
    assert_that(granters(reversed(fleet), "e1", "b"), Equals(granters(fleet, "e1", "b")))


def test_the_granter_is_in_the_failure_domain_of_the_endpoint_if_there_is_an_instance():
    assert_that(granter(members(30), "e1", "b").failure_domain, Equals("b"))
    assert_that(granter(members(1), "e1", "b").failure_domain, Equals("a"))
    assert_that(granters([], "e1", "b"), Equals([]))


def test_only_endpoints_of_an_instance_that_is_gone_get_another_granter():
    fleet = members(30)
    names = [f"e{n}" for n in range(300)]
    before = {name: granter(fleet, name, "b") for name in names}
    gone = before["e1"]
    left = [member for member in fleet if member is not gone]
    moved = {name for name in names if granter(left, name, "b") != before[name]}
    assert_that(moved, Equals({name for name in names if before[name] is gone}))


def test_the_sides_of_a_cut_grant_no_more_than_the_rate_together():
    assert_that(granted_share(60.0, 5 / 8) + granted_share(60.0, 3 / 8), Equals(1.0))


def test_one_that_has_just_become_the_granter_or_is_none_grants_little():
    assert_that(granted_share(0.0, 1.0), Equals(granted_share(HANDOVER_S - 0.01, 1.0)))
    assert_that(granted_share(0.0, 1.0), GreaterThan(0.0))
    # Three such granters beside the previous one: within one and a half times the rate.
    assert_that(1.0 + 3 * granted_share(0.0, 1.0), LessThan(1.5))


def test_the_substitute_is_the_granter_once_that_is_gone():
    fleet = members(30)
    first, second = granters(fleet, "e1", "b")
    left = [member for member in fleet if member is not first]
    assert_that(granter(left, "e1", "b"), Equals(second))
