"""Tests of directory.py: callers get live instances; in a large fleet all instances get callers."""

import random

import pytest
from springbridge.membership import Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from springbridge_node.gateway.callers.directory import MAX_ADDRESSES, AddressBook

FAILURE_DOMAINS = ("perth-a", "perth-b", "perth-c")
HOSTS = ("desk.example", "council.example", "airport.example", "transit.example")


def book_of(count, me=0):
    """Return the address book of one instance; each failure domain has a third of the fleet."""
    members = [
        Member(
            f"i{number}", f"n{number:03}", "", f"10.0.{number}.1:80", FAILURE_DOMAINS[number % 3]
        )
        for number in range(count)
    ]
    membership = Membership(members[me], lambda: 100.0, random.Random(me))
    others = members[:me] + members[me + 1 :]
    membership.merge(random.Random(me).sample(others, len(others)))
    return AddressBook(membership, 1.0)


@pytest.mark.parametrize("count", [1, 7, MAX_ADDRESSES])
def test_a_small_fleet_is_returned_completely(count):
    addresses = book_of(count).addresses_for("perth-a", "desk.example")
    assert_that(set(addresses), HasLength(count))


def test_of_a_large_fleet_only_instances_of_the_caller_s_domain_are_returned():
    addresses = book_of(300).addresses_for("perth-b", "desk.example")
    assert_that(addresses, HasLength(MAX_ADDRESSES))
    domains = {FAILURE_DOMAINS[int(address.split(".")[2]) % 3] for address in addresses}
    assert_that(domains, Equals({"perth-b"}))


# Callers close connections to addresses that a new answer lacks, so answers must agree.
def test_all_instances_return_the_same_addresses():
    answers = {
        tuple(sorted(book_of(300, me).addresses_for("perth-a", "desk.example")))
        for me in (0, 1, 150, 299)
    }
    assert_that(answers, HasLength(1))


def test_callers_of_different_hosts_get_different_instances():
    book = book_of(300)
    addresses = {address for host in HOSTS for address in book.addresses_for("perth-a", host)}
    assert_that(len(addresses), GreaterThan(90))
