"""Tests of unreadable_items.py: one log line for each distinct item, on any number of reads."""

import pytest
from springbridge.item_reader import UnreadableItem
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node.gateway.config.unreadable_items import (
    MAX_LOGGED_AT_ONCE,
    MAX_REMEMBERED,
    UnreadableItemLog,
)

ITEM = UnreadableItem("i-1", "slots: missing", 11)
CHANGED = UnreadableItem("i-1", "slots: missing", 12)


@pytest.fixture
def lines():
    """Return the items that are logged."""
    return []


@pytest.fixture
def log(lines):
    """Return a log without logged items."""
    return UnreadableItemLog(lines.append)


def many_items(count):
    """Return distinct items."""
    return [UnreadableItem(f"i-{number}", "no JSON", number) for number in range(count)]


def log_all(log, items):
    """Note some items until all have been logged."""
    for _ in range(len(items) // MAX_LOGGED_AT_ONCE + 1):
        log.note(items)


def test_an_item_is_named_once_until_its_content_changes(log, lines):
    for items in ([ITEM], [ITEM], [CHANGED], [CHANGED]):
        log.note(items)
    assert_that(lines, Equals([ITEM, CHANGED]))


def test_an_item_that_comes_and_goes_is_named_once(log, lines):
    for items in ([ITEM], [], [ITEM]):
        log.note(items)
    assert_that(lines, HasLength(1))
    assert_that(log.count, Equals(1))


def test_many_items_at_once_are_each_named_once_and_few_with_one_read(log, lines):
    many = many_items(MAX_REMEMBERED)
    log.note(many)
    assert_that(lines, HasLength(MAX_LOGGED_AT_ONCE))
    assert_that(log.count, Equals(MAX_REMEMBERED))
    log_all(log, many)
    log_all(log, many)
    assert_that(lines, Equals(many))


def test_it_remembers_a_bounded_number(log, lines):
    many = many_items(2 * MAX_REMEMBERED)
    log_all(log, many[:MAX_REMEMBERED])
    log_all(log, many[MAX_REMEMBERED:])
    del lines[:]
    log.note(many[MAX_REMEMBERED:])
    assert_that(lines, HasLength(0))
    log.note(many[:1])
    assert_that(lines, HasLength(1))
