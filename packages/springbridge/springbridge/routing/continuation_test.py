"""Tests of continuation.py: what may follow the part of a stream that a caller has."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing import continuation
from springbridge.routing.continuation import (
    NOTHING_READ,
    START,
    Misfit,
    Placement,
    Position,
    Reading,
    StreamHead,
)
from springbridge.routing.event_stream import Event

FIRST = StreamHead(200)


def event(event_id, **more):
    """Return an event with an id, or without one."""
    return Event(b"data: x\n\n", event_id, **more)


def position_of(*ids):
    """Return the position of a caller that has events with these ids."""
    position = START
    for event_id in ids:
        position = continuation.position_after(position, event(event_id))
    return position


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        (StreamHead(200), None),
        (StreamHead(206), Misfit.STATUS),
        (StreamHead(204), Misfit.STATUS),
        (StreamHead(302), Misfit.STATUS),
        (StreamHead(413), Misfit.STATUS),
        (StreamHead(200, is_event_stream=False), Misfit.CONTENT_TYPE),
        (StreamHead(200, is_encoded=True), Misfit.ENCODED),
    ],
)
def test_a_later_head_says_nothing_that_the_first_does_not_say(later, expected):
    assert_that(continuation.head_misfit(FIRST, later), Equals(expected))


@pytest.mark.parametrize(
    ("ids", "resume_after", "rises_by_one"),
    [
        ((), None, True),
        (("1",), "1", True),
        (("7", "8"), "8", True),
        (("1", "3"), "3", False),
        (("2", "1"), "1", False),
        (("1", None), None, True),
        (("1", None, "2"), "2", True),
        ((None,), None, True),
        (("a", "b"), None, False),
        (("9" * 30,), None, True),
    ],
)
def test_a_stream_can_go_on_behind_a_last_event_whose_id_is_a_number(
    ids, resume_after, rises_by_one
):
    position = position_of(*ids)
    assert_that(
        (position.resume_after, position.rises_by_one), Equals((resume_after, rises_by_one))
    )


def test_a_stream_cannot_go_on_inside_an_event():
    parts = [event("2", ends=False), event("2", begins=False, ends=False)]
    position = position_of("1")
    for part in parts:
        position = continuation.position_after(position, part)
        assert_that(position.resume_after, Equals(None))
    position = continuation.position_after(position, event("2", begins=False))
    assert_that((position.resume_after, position.rises_by_one), Equals(("2", True)))


def test_lines_without_an_event_leave_the_position():
    blank = event(None, is_blank=True)
    assert_that(continuation.position_after(position_of("1"), blank), Equals(position_of("1")))


NEW, HELD = Placement.NEW, Placement.HELD


@pytest.mark.parametrize(
    ("ids", "reading", "later", "expected"),
    [
        (("1", "2"), NOTHING_READ, event("3"), Reading(3, NEW)),
        (("1", "2"), NOTHING_READ, event("1"), Reading(1, HELD)),
        (("1", "2"), Reading(1, HELD), event("2"), Reading(2, HELD)),
        (("1", "2"), NOTHING_READ, event("4"), Misfit.GAP),
        (("1",), NOTHING_READ, event("3"), Misfit.GAP),
        (("10", "20"), NOTHING_READ, event("30"), Reading(30, NEW)),
        (("10", "20"), NOTHING_READ, event("20"), Reading(20, HELD)),
        (("1", "2"), NOTHING_READ, event(None), Misfit.UNPLACED),
        (("1", "2"), Reading(1, HELD), event(None), Reading(1, HELD)),
        (("1", "2"), Reading(2, HELD), event(None), Reading(2, NEW)),
        (("1", "2"), NOTHING_READ, event("c"), Misfit.UNPLACED),
        (("1", "2"), NOTHING_READ, event("9" * 5000), Misfit.UNPLACED),
        (("1", "2"), NOTHING_READ, event(None, is_blank=True), Reading(None, NEW)),
        (("1", "2"), Reading(3, NEW), event("3", begins=False), Reading(3, NEW)),
        (("1", "2"), Reading(1, HELD), event("1", begins=False), Reading(1, HELD)),
    ],
)
def test_the_place_of_a_later_event_follows_from_its_id(ids, reading, later, expected):
    assert_that(continuation.place(position_of(*ids), reading, later), Equals(expected))


@pytest.mark.parametrize(
    ("reading", "expected"),
    [
        (NOTHING_READ, Misfit.SHORT),
        (Reading(None, NEW), Misfit.SHORT),
        (Reading(1, HELD), Misfit.SHORT),
        (Reading(2, HELD), None),
    ],
)
def test_an_end_counts_where_the_last_event_of_the_caller_was_reached(reading, expected):
    assert_that(continuation.end_misfit(Position("2", True, True), reading), Equals(expected))
