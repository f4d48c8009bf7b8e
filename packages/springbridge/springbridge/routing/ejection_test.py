"""Tests of ejection.py: consecutive failures eject an endpoint, each further one for longer."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import usable_ids
from springbridge.routing.ejection import FAILURES_TO_EJECT, FIRST_EJECTION_S, ejection_s


def test_consecutive_failures_eject_an_endpoint(registry, clock):
    state = registry.find("a")
    for _ in range(FAILURES_TO_EJECT):
        registry.record_failure(state)
    assert_that(usable_ids(registry), Equals(["b", "c", "d"]))
    clock.advance(FIRST_EJECTION_S)
    assert_that(usable_ids(registry), Equals(["a", "b", "c", "d"]))


def test_each_further_failure_ejects_for_longer_up_to_a_limit():
    failures = range(1, FAILURES_TO_EJECT + 5)
    expected = [0.0, 0.0, 1.0, 2.0, 4.0, 4.0, 4.0]
    assert_that([ejection_s(count) for count in failures], Equals(expected))


def test_very_many_failures_eject_for_the_same_time():
    assert_that(ejection_s(10_000), Equals(4.0))
