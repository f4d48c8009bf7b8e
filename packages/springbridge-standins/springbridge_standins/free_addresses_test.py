"""Tests of free_addresses.py: runs side by side reserve different networks."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from springbridge_standins.free_addresses import loopback_network


def test_runs_of_the_same_seed_reserve_different_networks():
    with loopback_network(150) as first, loopback_network(150) as second:
        assert_that(second, Not(Equals(first)))


def test_a_network_is_free_again_after_its_run():
    with loopback_network(150) as first:
        pass
    with loopback_network(150) as again:
        assert_that(again, Equals(first))
