"""Tests of the rows of quarantined requests after the store was restored from an older copy."""

import asyncio

import pytest
from returns.result import Success
from springbridge.crash_records import CrashRecords
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.config.stored_quarantine import StoredQuarantine


class Rows:
    """A store that keeps only the fingerprints of its rows."""

    def __init__(self):
        self.fingerprints = set()

    async def read_crashes(self):
        """Return no rows."""
        return Success([])

    async def write_crashes(self, stored):
        """Keep a row."""
        self.fingerprints.add(stored.fingerprint)
        return Success(None)

    async def remove_crashes(self, fingerprint):
        """Remove a row."""
        self.fingerprints.discard(fingerprint)
        return Success(None)


class EveryReader:
    """A stand-in for StoreReaders in which this node is always a reader."""

    def include_me(self, readers):
        """Return True for any number of readers."""
        return True


@pytest.fixture
def rows():
    """Return a store without rows."""
    return Rows()


@pytest.fixture
def quarantine(rows):
    """Return a StoredQuarantine that has written the row of one quarantined request."""
    records = CrashRecords(lambda: 0.0)
    records.record_crash("f", 1)
    kept = StoredQuarantine(rows, EveryReader(), records.find, lambda told: None)
    kept.entered("f")
    asyncio.run(kept.step())
    return kept


def test_a_row_that_an_older_copy_lacks_is_written_again(quarantine, rows):
    rows.fingerprints.clear()
    quarantine.rewrite_rows()
    asyncio.run(quarantine.step())
    assert_that(rows.fingerprints, Equals({"f"}))


# Guards against quarantine of an acquitted request whose row comes back with an older copy.
def test_a_row_that_an_older_copy_brings_back_is_removed_again(quarantine, rows):
    quarantine.left("f")
    asyncio.run(quarantine.step())
    rows.fingerprints.add("f")
    quarantine.rewrite_rows()
    asyncio.run(quarantine.step())
    assert_that(rows.fingerprints, Equals(set()))


def test_a_request_that_came_into_quarantine_again_keeps_its_row(quarantine, rows):
    quarantine.left("f")
    asyncio.run(quarantine.step())
    quarantine.entered("f")
    asyncio.run(quarantine.step())
    quarantine.rewrite_rows()
    asyncio.run(quarantine.step())
    assert_that(rows.fingerprints, Equals({"f"}))
