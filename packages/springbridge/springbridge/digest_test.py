"""Tests of digest.py: which members a digest names, and which peers receive it."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.digest import (
    DIGEST_LIMIT,
    Observation,
    digest_members,
    digest_receivers,
    youngest_heartbeats,
)
from springbridge.member import Member, Phase


def member(name, failure_domain="a", **fields):
    return Member(name, name, f"{name}:1", f"{name}:2", failure_domain, **fields)


ME = member("me")
NEAR = [member(f"near-{number}") for number in range(4)]
FAR = [member(f"far-{number}", "b") for number in range(4)]


def test_a_digest_names_its_sender_first_and_those_that_leave_before_the_others():
    observed = [Observation(member(f"n{number}"), 0.0, 0.0) for number in range(100)]
    observed.append(Observation(member("leaving", phase=Phase.LEAVING), 0.0, 0.0))
    members = digest_members(ME, observed, random.Random(1), 0.0)
    assert_that([each.incarnation for each in members[:2]], Equals(["me", "leaving"]))
    assert_that(members, HasLength(DIGEST_LIMIT))


def test_ages_count_on_from_the_observation():
    observed = [Observation(member("n", confirmed_ago_s=0.5), 10.0, 9.0)]
    _, sent = digest_members(ME, observed, random.Random(1), 12.0)
    assert_that((sent.confirmed_ago_s, sent.heard_ago_s), Equals((2.5, 3.0)))


def test_the_youngest_heartbeats_are_told_of_first():
    observed = [Observation(member(f"n{number}"), 0.0, float(number)) for number in range(9)]
    ages = [(age.incarnation, age.age_s) for age in youngest_heartbeats(observed, 2, 10.0)]
    assert_that(ages, Equals([("n8", 2.0), ("n7", 3.0)]))


def test_one_digest_crosses_to_another_failure_domain_and_the_others_stay():
    receivers = digest_receivers(ME, NEAR + FAR, 3, random.Random(1))
    assert_that([each.failure_domain for each in receivers], Equals(["b", "a", "a"]))


def test_without_enough_near_peers_more_digests_cross():
    receivers = digest_receivers(ME, NEAR[:1] + FAR, 3, random.Random(1))
    assert_that([each.failure_domain for each in receivers], Equals(["b", "a", "b"]))
