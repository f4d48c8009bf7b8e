"""Tests of hash_ring.py: who is assigned a key, and what a change of the nodes moves."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.hash_ring import HashRing

KEYS = [f"key-{number}" for number in range(400)]


def domains_of(count, domains=3):
    """Return nodes, spread over failure domains."""
    return {f"n{number}": f"domain-{number % domains}" for number in range(count)}


@pytest.mark.parametrize(("nodes", "wanted"), [(0, 2), (1, 2), (2, 3), (9, 3)])
def test_each_key_has_as_many_nodes_as_there_are_up_to_the_wanted(nodes, wanted):
    ring = HashRing(domains_of(nodes))
    for key in KEYS:
        found = ring.nodes_for(key, wanted)
        assert_that(set(found), HasLength(min(nodes, wanted)))
        assert_that(found, HasLength(min(nodes, wanted)))


def test_the_first_two_nodes_are_in_different_failure_domains():
    domains = domains_of(12)
    ring = HashRing(domains)
    for key in KEYS:
        first, second, *_ = ring.nodes_for(key, 3)
        assert_that(domains[first] != domains[second], Equals(True))


def test_in_one_failure_domain_the_first_two_nodes_are_as_good_as_any():
    assert_that(HashRing(domains_of(5, 1)).nodes_for("key", 2), HasLength(2))


def test_a_node_that_is_gone_leaves_the_others_of_its_keys_in_their_order():
    domains = domains_of(10, 1)
    before, after = HashRing(domains), HashRing(domains_of(9, 1))
    for key in KEYS:
        left = [name for name in before.nodes_for(key, 10) if name != "n9"]
        assert_that(after.nodes_for(key, 9), Equals(left))


def test_keys_spread_over_the_nodes():
    ring = HashRing(domains_of(10))
    firsts = [ring.nodes_for(key, 1)[0] for key in KEYS]
    counts = sorted(firsts.count(name) for name in set(firsts))
    assert_that(set(firsts), HasLength(10))
    assert_that(counts[-1] < len(KEYS) / 3, Equals(True))
