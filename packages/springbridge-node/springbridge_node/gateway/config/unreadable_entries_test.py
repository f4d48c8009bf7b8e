"""Tests of unreadable_entries.py: one log line for each distinct entry, on any number of reads."""

import pytest
from springbridge.routing.records import UnreadableEntry
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node import logs
from springbridge_node.gateway.config.unreadable_entries import MAX_REMEMBERED, UnreadableEntryLog

ENTRY = UnreadableEntry("i-1", "slots: missing", 11)
CHANGED = UnreadableEntry("i-1", "slots: missing", 12)


@pytest.fixture
def log():
    """Return a log without logged entries."""
    return UnreadableEntryLog()


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines that are written."""
    found = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: found.append((name, fields)))
    return found


def test_an_entry_is_named_once_until_its_content_changes(log, lines):
    for entries in ([ENTRY], [ENTRY], [CHANGED], [CHANGED]):
        log.note(entries)
    expected = ("engines.unreadable", {"key": "i-1", "reason": "slots: missing"})
    assert_that(lines, Equals([expected, expected]))


def test_an_entry_that_comes_and_goes_is_named_once(log, lines):
    for entries in ([ENTRY], [], [ENTRY]):
        log.note(entries)
    assert_that(lines, HasLength(1))
    assert_that(log.count, Equals(1))


def test_it_remembers_a_bounded_number(log, lines):
    many = [
        UnreadableEntry(f"i-{number}", "no JSON", number) for number in range(2 * MAX_REMEMBERED)
    ]
    log.note(many)
    del lines[:]
    log.note(many[-MAX_REMEMBERED:])
    assert_that(lines, HasLength(0))
    log.note(many[:1])
    assert_that(lines, HasLength(1))
