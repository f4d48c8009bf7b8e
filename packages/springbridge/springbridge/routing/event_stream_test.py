"""Tests of event_stream.py: complete events, however the stream is split into chunks."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.event_stream import (
    END_OF_EVENT,
    MAX_EVENT_BYTES,
    MAX_EVENTS_AT_ONCE,
    EventSplitter,
)

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


# Guards against events with CR line ends that wait for the end of their stream.
def test_an_event_with_cr_line_ends_is_complete_at_once():
    splitter = EventSplitter()
    (event,) = splitter.feed(b"id: 1\rdata: x\r\r")
    assert_that((event.event_id, splitter.rest), Equals(("1", b"")))


# Guards against half a CRLF that is taken for an empty line: the other half would be torn off.
def test_an_event_is_not_split_within_its_last_line_end():
    splitter = EventSplitter()
    assert_that(splitter.feed(b"id: 1\r\ndata: x\r\n\r"), Equals([]))
    (event,) = splitter.feed(b"\nid: 2")
    assert_that((event.raw[-4:], splitter.rest), Equals((b"\r\n\r\n", b"id: 2")))


@given(st.lists(st.integers(0, 40), max_size=8))
def test_events_with_cr_come_whole_whatever_the_pieces(cuts):
    stream = STREAM.replace(b"\n", b"\r")
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(stream)]
    events = [
        event
        for start, end in zip(bounds, bounds[1:], strict=False)
        for event in splitter.feed(stream[start:end])
    ]
    assert_that([event.event_id for event in events], Equals(["1", "2"]))
    assert_that(b"".join(event.raw for event in events) + splitter.rest, Equals(stream))


# Guards against the id of a first event that is not seen behind a byte order mark: its stream could
# not be resumed.
def test_the_first_event_may_have_a_byte_order_mark():
    splitter = EventSplitter()
    first, second = splitter.feed(b"\xef\xbb\xbfid: 1\n\nid: 2\n\n")
    assert_that((first.event_id, second.event_id), Equals(("1", "2")))
    assert_that(first.raw, Equals(b"\xef\xbb\xbfid: 1\n\n"))


# Guards against half an event that passes for the end of a stream, and against harmless last bytes
# that pass for half an event.
@pytest.mark.parametrize(
    ("rest", "is_inside"),
    [
        (b"", False),
        (b"\n", False),
        (b"\r\n", False),
        (b"\r", False),
        (b": bye\n", False),
        (b"retry: 9\n", False),
        (b"retry: 9\r\n: bye\r\n", False),
        (b": by", True),
        (b"retry: ", True),
        (b"i", True),
        (b"id: 3", True),
        (b"id: 3\n", True),
        (b"id: 3\ndata: x", True),
        (b"id: 3\ndata: x\n", True),
        (b"id: 3\r\ndata: x\r\n", True),
        (b"data: x\r\n\r", True),
        (b"weight-versions: 2\n", True),
        (b"\xef\xbb\xbf", True),
    ],
)
def test_the_last_bytes_of_a_stream_show_whether_it_ended_inside_an_event(rest, is_inside):
    splitter = EventSplitter()
    splitter.feed(b"id: 2\ndata: x\n\n" + rest)
    assert_that(splitter.is_inside_event(), Equals(is_inside))


@pytest.mark.parametrize(
    ("start", "is_inside"),
    [(b"", False), (b"\xef\xbb\xbf", False), (b"\xef\xbb", True), (b"\xef\xbb\xbfid", True)],
)
def test_a_byte_order_mark_alone_is_no_event(start, is_inside):
    splitter = EventSplitter()
    splitter.feed(start)
    assert_that(splitter.is_inside_event(), Equals(is_inside))


@pytest.mark.parametrize(
    ("raw", "is_blank"),
    [
        (b": hello\n\n", True),
        (b"retry: 9\n\n", True),
        (b": a\r\nretry: 9\r\n\r\n", True),
        (b"\n\n", True),
        (b"id: 1\n\n", False),
        (b"data: x\n\n", False),
        (b": a\ndata: x\n\n", False),
    ],
)
def test_lines_that_take_effect_without_an_event_are_told_apart(raw, is_blank):
    (found,) = EventSplitter().feed(raw)
    assert_that(found.is_blank, Equals(is_blank))


# Guards against an event that is kept in memory whole, however large it is, and against one that is
# changed on the way.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("piece_bytes", [1 << 10, 1 << 16, 1 << 20])
def test_a_large_event_comes_in_parts_that_have_its_id(line_end, piece_bytes):
    large = b"id: 2" + line_end + b"data: " + b"x" * (3 << 20) + line_end * 2
    stream = b"id: 1" + line_end * 2 + large + b"id: 3" + line_end * 2
    splitter, events, kept = EventSplitter(), [], 0
    for start in range(0, len(stream), piece_bytes):
        events += splitter.feed(stream[start : start + piece_bytes])
        kept = max(kept, len(splitter.rest))
    assert_that(b"".join(each.raw for each in events), Equals(stream))
    assert_that(kept <= MAX_EVENT_BYTES, Equals(True))
    parts = [each for each in events if each.event_id == "2"]
    assert_that([each.begins for each in parts], Equals([True] + [False] * (len(parts) - 1)))
    assert_that([each.ends for each in parts], Equals([False] * (len(parts) - 1) + [True]))
    assert_that([each.event_id for each in (events[0], events[-1])], Equals(["1", "3"]))


# Guards against a large event that ends inside it and passes for whole.
def test_a_stream_that_ends_between_parts_of_an_event_ends_inside_it():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES + b"\n\n"[:1])
    assert_that(splitter.is_inside_event(), Equals(True))


# Guards against work that grows with the square of an event's length.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_bytes_of_an_event_are_searched_once(line_end, monkeypatch):
    searched = 0
    search = EventSplitter._end_of_event

    def count(self, start):
        nonlocal searched
        searched += len(self._rest) - start
        return search(self, start)

    monkeypatch.setattr(EventSplitter, "_end_of_event", count)
    splitter, pieces = EventSplitter(), 400
    splitter.feed(b"id: 1" + line_end)
    for _ in range(pieces):
        splitter.feed(b"x" * 100)
    assert_that(searched < 2 * 100 * pieces, Equals(True))


# Guards against thousands of events that are handled in one go, while nothing else runs.
@pytest.mark.parametrize("raw", [b"\n\n", b"\r\r", b"\r\n\r\n", b"id: 1\n\n"])
def test_many_events_come_in_turns(raw):
    splitter, data = EventSplitter(), raw * 10_000
    events = [splitter.feed(data)]
    while splitter.has_more:
        events.append(splitter.feed(b""))
    assert_that(max(map(len, events)), Equals(MAX_EVENTS_AT_ONCE))
    assert_that(b"".join(each.raw for turn in events for each in turn), Equals(data))


def split_simply(data):
    """Return the events of some bytes, by the end of each and nothing else."""
    events, start = [], 0
    for end in END_OF_EVENT.finditer(data):
        events.append(data[start : end.end()])
        start = end.end()
    return events, data[start:]


# Guards against an end of an event that is missed, or found twice, at the border of two pieces.
@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.text("\r\n:xi", max_size=40), st.lists(st.integers(0, 40), max_size=6))
def test_drawn_bytes_are_split_alike_whatever_the_pieces(text, cuts):
    data, splitter, raws = text.encode(), EventSplitter(), []
    bounds = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    for start, end in zip(bounds, bounds[1:], strict=False):
        raws += [event.raw for event in splitter.feed(data[start:end])]
    assert_that((raws, splitter.rest), Equals(split_simply(data)))
