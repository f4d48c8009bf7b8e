"""Tests of event_stream.py: complete events, however the stream is split into chunks."""

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.event_stream import EventSplitter

STREAM = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_come_whole_whatever_the_pieces(cuts):
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    events = [
        event
        for start, end in zip(bounds, bounds[1:], strict=False)
        for event in splitter.feed(STREAM[start:end])
    ]
    assert_that([event.event_id for event in events], Equals(["1", "2"]))
    assert_that(b"".join(event.raw for event in events) + splitter.rest, Equals(STREAM))


def test_an_event_without_an_id_has_none():
    (event,) = EventSplitter().feed(b"data: x\n\n")
    assert_that(event.event_id, Equals(None))


# Guards against buffering a stream with CRLF line ends until its end.
@given(st.lists(st.integers(0, len(STREAM) + 8), max_size=8))
def test_events_with_carriage_returns_come_whole_whatever_the_pieces(cuts):
    stream = STREAM.replace(b"\n", b"\r\n")
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(stream)]
    events = [
        event
        for start, end in zip(bounds, bounds[1:], strict=False)
        for event in splitter.feed(stream[start:end])
    ]
    assert_that([event.event_id for event in events], Equals(["1", "2"]))
    assert_that(b"".join(event.raw for event in events) + splitter.rest, Equals(stream))


def test_line_ends_of_both_kinds_end_an_event():
    events = EventSplitter().feed(b"data: x\r\n\ndata: y\n\r\ndata: z")
    assert_that([event.raw for event in events], Equals([b"data: x\r\n\n", b"data: y\n\r\n"]))
