"""Tests of places.py: how many requests may be sent to a brittle endpoint."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.rates.places import (
    CONFIRMED_AFTER_S,
    LATE_S,
    LEASE_EXPIRY_S,
    WINDOW_S,
    PlaceGrants,
    allowed_rejections,
)
from springbridge.routing.records import EndpointIncarnation

E = EndpointIncarnation("e", None)


@pytest.fixture
def grants(clock):
    """Return the grants of an instance that has granted nothing."""
    return PlaceGrants(clock)


def granted(grants, count, allowed, prefix="r"):
    """Ask for some places at once, and return the leases of those that are granted."""
    leases = [f"{prefix}/{number}" for number in range(count)]
    return [lease for lease in leases if grants.request(E, lease, allowed).granted]


def test_no_more_requests_may_be_rejected_at_once_than_the_endpoint_can_stand(grants):
    # Guards against a burst that crashes an endpoint whose room has just shrunk.
    assert_that(len(granted(grants, 50, 3)), Equals(3))


def test_rejections_of_the_last_second_count(grants, clock):
    for lease in granted(grants, 50, 3):
        grants.end(E, lease, rejected=True)
    clock.advance(WINDOW_S / 2)
    assert_that(granted(grants, 50, 3, "later"), Equals([]))
    clock.advance(WINDOW_S)
    assert_that(len(granted(grants, 50, 3, "latest")), Equals(1))


def test_requests_that_are_not_rejected_let_others_follow(grants, clock):
    first = granted(grants, 50, 3)
    clock.advance(CONFIRMED_AFTER_S * 2)
    assert_that(len(granted(grants, 50, 3, "next")), Equals(3))
    assert_that(len(first), Equals(3))


def test_a_place_whose_end_was_lost_is_free_in_the_end(grants, clock):
    for lease in granted(grants, 9, 9):
        grants.end(E, lease, rejected=lease.endswith("/8"))
    clock.advance(WINDOW_S * 2)
    lost = granted(grants, 8, 9, "lost")
    clock.advance(LEASE_EXPIRY_S + 1.0)
    assert_that(len(lost) > 0 and len(granted(grants, 9, 9, "new")) > 0, Is(True))


def test_a_request_that_arrives_after_its_end_gets_no_place(grants, clock):
    # Guards against places that are taken for twenty seconds by requests that nobody sends.
    grants.request(E, "other", 3)
    grants.end(E, "late", rejected=False)
    assert_that(grants.request(E, "late", 3).granted, Is(False))
    clock.advance(LATE_S + CONFIRMED_AFTER_S)
    grants.request(E, "more", 3)
    assert_that(grants.request(E, "late", 3).granted, Is(True))


@pytest.mark.parametrize(
    ("stated", "share", "is_settled", "expected"),
    [
        (1, 1.0, True, 1),
        (2, 1.0, True, 1),
        (4, 1.0, True, 3),
        (20, 1.0, True, 18),
        (20, 0.5, True, 9),
        (1, 0.6, True, 1),
        (1, 0.5, True, 0),
        (20, 1.0, False, 1),
        (2, 1.0, False, 1),
        (1, 1.0, False, 0),
    ],
)
def test_granters_that_may_be_two_allow_less(stated, share, is_settled, expected):
    assert_that(allowed_rejections(stated, share, is_settled), Equals(expected))
