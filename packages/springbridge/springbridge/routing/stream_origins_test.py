"""Tests of stream_origins.py: what an instance keeps of the streams that endpoints began."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from springbridge.routing import stream_origins
from springbridge.routing.stream_origins import (
    AMBIGUOUS,
    ORIGIN_LIFE_S,
    OriginTable,
    StreamOrigin,
    merged,
    stream_key,
)

V1 = StreamOrigin("v1", "i-1")
V2 = StreamOrigin("v2", "i-2")


@pytest.fixture
def table(clock):
    """Return an empty table."""
    return OriginTable(clock)


# Guards against one customer who steers, or learns of, the streams of another.
def test_the_same_request_id_of_another_customer_is_another_stream():
    keys = {stream_key(*each) for each in [("a", "bc"), ("ab", "c"), ("", "abc"), ("abc", "")]}
    assert_that(keys, HasLength(4))


@pytest.mark.parametrize(
    ("one", "other", "expected"),
    [
        (None, None, None),
        (V1, None, V1),
        (None, V1, V1),
        (V1, StreamOrigin("v1", "i-3"), V1),
        (V1, V2, AMBIGUOUS),
        (AMBIGUOUS, V1, AMBIGUOUS),
        (StreamOrigin("", "i-1"), StreamOrigin("", "i-1"), StreamOrigin("", "i-1")),
    ],
)
def test_sources_that_differ_make_the_origin_ambiguous(one, other, expected):
    assert_that(merged(one, other), Equals(expected))


# Guards against a stream that goes on at the version of another one under the same request id.
def test_an_id_that_began_streams_at_two_versions_stays_ambiguous(table):
    table.record("key", V1)
    table.record("key", V2)
    table.record("key", V2)
    assert_that(table.find("key"), Equals(AMBIGUOUS))


def test_an_origin_is_kept_for_its_life_after_it_was_asked_for(table, clock):
    table.record("key", V1)
    clock.advance(ORIGIN_LIFE_S - 1)
    assert_that(table.find("key"), Equals(V1))
    clock.advance(ORIGIN_LIFE_S - 1)
    assert_that(table.find("key"), Equals(V1))
    clock.advance(ORIGIN_LIFE_S)
    assert_that(table.find("key"), Is(None))
    assert_that(table, HasLength(0))


def test_the_oldest_origins_give_way_to_new_ones(table, monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 3)
    for name in ("a", "b", "c"):
        table.record(name, V1)
    table.find("a")
    table.record("d", V1)
    assert_that([table.find(name) for name in "abcd"], Equals([V1, None, V1, V1]))
