"""Tests of coordinators.py: which instances coordinate, and in which order they are asked."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.membership import Member
from springbridge.routing.coordinators import (
    COORDINATORS_PER_FAILURE_DOMAIN,
    coordinators,
    in_order_for,
)

PLACES = ("a", "b", "c")
MODEL = "model"


def fleet(count):
    return [
        Member(f"n{number}", f"n{number}", f"10.0.0.{number}:1", "", PLACES[number % len(PLACES)])
        for number in range(count)
    ]


def test_each_failure_domain_has_its_schedulers():
    places = [member.failure_domain for member in coordinators(fleet(30), MODEL)]
    assert_that(sorted(places), Equals(sorted(PLACES * COORDINATORS_PER_FAILURE_DOMAIN)))


def test_all_instances_agree_whatever_the_order_of_their_members():
    members = fleet(30)
    assert_that(coordinators(reversed(members), MODEL), Equals(coordinators(members, MODEL)))


def test_the_loss_of_one_moves_only_its_own_role():
    members = fleet(30)
    before = coordinators(members, MODEL)
    after = coordinators([member for member in members if member is not before[0]], MODEL)
    assert_that([member for member in after if member not in before], HasLength(1))
    assert_that([member for member in before if member not in after], Equals([before[0]]))


def test_an_instance_asks_its_own_failure_domain_first():
    ordered = in_order_for("b", coordinators(fleet(30), MODEL))
    assert_that([member.failure_domain for member in ordered[:2]], Equals(["b", "b"]))
    assert_that(ordered, HasLength(6))


def test_a_failure_domain_with_one_instance_has_one_scheduler():
    assert_that(coordinators(fleet(1), MODEL), HasLength(1))


def test_another_service_has_other_schedulers():
    members = fleet(90)
    assert_that(coordinators(members, "other") == coordinators(members, MODEL), Equals(False))


def test_instances_of_all_releases_select_the_same_coordinators():
    names = [member.instance for member in coordinators(fleet(30), MODEL)]
    assert_that(names, Equals(["n24", "n22", "n17", "n21", "n25", "n8"]))
