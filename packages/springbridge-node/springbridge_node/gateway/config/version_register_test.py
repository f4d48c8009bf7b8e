"""Tests of version_register.py and of the rules in routing/version_record.py.

Guards against a version that instances use and the record lacks, and against endpoints that wait
for the record for no reason.
"""

import asyncio
from dataclasses import replace

import pytest
from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.routing.seen_versions import REMEMBERED_S
from springbridge.routing.version_record import (
    MAX_VERSIONS,
    NEVER_S,
    RecordReading,
    VersionRecord,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.config.version_register import RETRY_S, VersionRegister

FAILED = Failure(Problem(Code.TABLE_UNAVAILABLE, "status 503", "store"))
CONFLICT = Failure(Problem(Code.VERSION_CONFLICT, "another revision", "store"))


class Store:
    """A store with the record of versions alone, whose writes can fail."""

    def __init__(self, clock):
        self.clock = clock
        self.record = None
        self.stamp = 0
        self.era = 0
        self.reads = 0
        self.takes_writes = True

    async def read_versions(self):
        """Return the record."""
        self.reads += 1
        return Success(RecordReading(self.record, self.stamp, self.clock(), self.era))

    async def write_versions(self, record, before):
        """Write the record."""
        if not self.takes_writes:
            return FAILED
        if before != self.stamp:
            return CONFLICT
        self.record, self.stamp = record, self.stamp + 1
        return Success(None)


@pytest.fixture
def store(clock):
    """Return a store without a record."""
    return Store(clock)


def register_of(store, all_record=lambda: True, first_start=False):
    """Return the register of an instance."""
    return VersionRegister(store, all_record, first_start, store.clock)


def list_of(*versions, service="model"):
    """Return a list with an endpoint of each version."""
    entries = tuple(
        EndpointEntry(
            f"i-{version}", service, f"10.0.0.{number}:80", "a", 4, False, version=version
        )
        for number, version in enumerate(versions)
    )
    return EndpointSnapshot(1, entries)


def admitted(register, snapshot):
    """Return the versions of a list that may be used."""

    async def body():
        found = await register.admit(snapshot)
        return [entry.version for entry in found.entries]

    return asyncio.run(body())


def report(register, service="model"):
    """Return what the record tells of a service."""
    return asyncio.run(register.report(service))


def recorded(store):
    """Return the versions in the record."""
    return sorted(version for _, version in store.record.versions)


def test_versions_are_recorded_before_they_are_used_and_once(store):
    register = register_of(store)
    assert_that(admitted(register, list_of("v1")), Equals(["v1"]))
    assert_that(admitted(register, list_of("v1", "v2")), Equals(["v1", "v2"]))
    reads = store.reads
    assert_that(admitted(register, list_of("v2")), Equals(["v2"]))
    assert_that((recorded(store), store.reads), Equals((["v1", "v2"], reads)))


def test_a_version_that_cannot_be_recorded_waits_and_the_others_do_not(store, clock):
    register = register_of(store)
    admitted(register, list_of("v1"))
    store.takes_writes = False
    assert_that(admitted(register, list_of("v1", "v2")), Equals(["v1"]))
    store.takes_writes = True
    clock.now_s += RETRY_S
    assert_that(admitted(register, list_of("v1", "v2")), Equals(["v1", "v2"]))


def test_a_service_none_of_whose_versions_are_recorded_keeps_its_endpoints(store):
    register = register_of(store)
    store.takes_writes = False
    assert_that(admitted(register, list_of("v1")), Equals(["v1"]))


def test_unrecorded_endpoints_are_used_where_all_others_leave(store):
    register = register_of(store)
    admitted(register, list_of("v1"))
    store.takes_writes = False
    found = list_of("v1", "v2")
    leaver = replace(found.entries[0], draining=True)
    leaving = replace(found, entries=(leaver, found.entries[1]))
    assert_that(admitted(register, leaving), Equals(["v1", "v2"]))


# Guards against a version that another instance has taken off the record meanwhile.
def test_a_version_that_comes_back_is_recorded_again(store, clock):
    first, second = register_of(store), register_of(store)
    admitted(first, list_of("v1", "v2"))
    admitted(first, list_of("v2"))
    clock.now_s += REMEMBERED_S / 2
    admitted(second, list_of("v2"))
    clock.now_s += REMEMBERED_S / 2
    admitted(first, list_of("v2"))
    assert_that(recorded(store), Equals(["v2"]))
    admitted(second, list_of("v1", "v2"))
    assert_that(recorded(store), Equals(["v1", "v2"]))


def test_two_instances_that_record_at_once_lose_no_version(store):
    first, second = register_of(store), register_of(store)

    async def body():
        lists = list_of("v1"), list_of("v2")
        await asyncio.gather(first.admit(lists[0]), second.admit(lists[1]))

    asyncio.run(body())
    assert_that(recorded(store), Equals(["v1", "v2"]))


@pytest.mark.parametrize(("first_start", "watched_s"), [(True, 107.0), (False, 7.0)])
def test_the_record_tells_since_when_it_has_all_versions(store, clock, first_start, watched_s):
    admitted(register_of(store, first_start=first_start), list_of("v1"))
    clock.now_s += 7.0
    found = report(register_of(store))
    assert_that((found.versions, found.watched_s), Equals((frozenset({"v1"}), watched_s)))


def test_a_version_is_removed_long_after_its_last_endpoint_has_left(store, clock):
    register = register_of(store)
    admitted(register, list_of("v1", "v2"))
    admitted(register, list_of("v2"))
    clock.now_s += REMEMBERED_S - 1.0
    admitted(register, list_of("v2"))
    assert_that(recorded(store), Equals(["v1", "v2"]))
    clock.now_s += 1.0
    admitted(register, list_of("v2"))
    assert_that(recorded(store), Equals(["v2"]))


def test_a_record_of_an_earlier_era_tells_nothing_and_is_begun_anew(store, clock):
    register = register_of(store)
    admitted(register, list_of("v1"))
    store.era += 1
    clock.now_s += 50.0
    assert_that(report(register_of(store)).versions, Equals(frozenset()))
    register.store_went_back()
    admitted(register, list_of("v1"))
    clock.now_s += 3.0
    assert_that(report(register_of(store)).watched_s, Equals(3.0))


def test_the_record_tells_nothing_while_older_builds_use_unrecorded_versions(store, clock):
    all_record = [True]
    register = register_of(store, all_record=lambda: all_record[0])
    admitted(register, list_of("v1"))
    all_record[0] = False
    admitted(register, list_of("v1"))
    assert_that(store.record, Equals(VersionRecord(frozenset(), NEVER_S, 0)))
    assert_that(report(register).watched_s, Equals(0.0))
    all_record[0] = True
    clock.now_s += RETRY_S
    admitted(register, list_of("v1"))
    clock.now_s += 4.0
    assert_that(report(register_of(store)).watched_s, Equals(4.0))


@pytest.mark.parametrize(
    "versions", [[f"v{each}" for each in range(MAX_VERSIONS + 1)], ["v1", "v" * 400]]
)
def test_too_many_or_too_long_versions_wait_for_nothing_and_the_record_tells_nothing(
    store, clock, versions
):
    register = register_of(store)
    assert_that(admitted(register, list_of(*versions)), Equals(versions))
    assert_that(report(register).watched_s, Equals(0.0))


def test_a_store_that_does_not_answer_tells_nothing(store):
    async def fail():
        return FAILED

    store.read_versions = fail
    register = register_of(store)
    assert_that(admitted(register, list_of("v1")), Equals(["v1"]))
    assert_that(report(register).watched_s, Equals(0.0))
