"""Tests of resumption.py: at which version a stream goes on, row by row of its table."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import make_arrival, make_route
from springbridge.routing.resumption import at_origin, takes_up_stream, without_origin
from springbridge.routing.seen_versions import SeenReport
from springbridge.routing.stream_origins import AMBIGUOUS, StreamOrigin

V1 = StreamOrigin("v1", "i-1")
MAX_AGE_S = 12.0


def report(*versions, watched_s=MAX_AGE_S):
    """Return what an instance has seen."""
    return SeenReport(frozenset(versions), watched_s)


# Guards against a stream that goes on at a guess.
@pytest.mark.parametrize(
    ("origin", "listed_version", "expected"),
    [
        (V1, "v1", "v1"),
        (V1, None, "v1"),
        (StreamOrigin("", "i-1"), "", ""),
        (V1, "v1.1", None),
        (AMBIGUOUS, None, None),
    ],
)
def test_a_known_origin_decides_unless_its_id_has_had_another_version(
    origin, listed_version, expected
):
    assert_that(at_origin(origin, listed_version).version, Equals(expected))


# Guards against a stream of unknown origin that goes on although it may have begun at another
# version, and against one that is given up although there was never more than one version.
@pytest.mark.parametrize(
    ("reports", "is_current", "expected"),
    [
        ([report("v1")], True, "v1"),
        ([report("v1", watched_s=1.0), report("v1")], True, "v1"),
        ([report("v1")], False, None),
        ([report("v1", watched_s=MAX_AGE_S - 0.1)], True, None),
        ([report("v1", "v1.1")], True, None),
        ([report("v1"), report("v1.1")], True, None),
        ([report("v1", None)], True, None),
        ([report(None)], True, None),
        ([report()], True, None),
    ],
)
def test_without_an_origin_only_a_single_version_all_along_decides(reports, is_current, expected):
    assert_that(without_origin(reports, is_current, MAX_AGE_S).version, Equals(expected))


@pytest.mark.parametrize(
    ("resume_after", "fields", "expected"),
    [
        ("3", {"streaming": True, "resumable": True}, True),
        (None, {"streaming": True, "resumable": True}, False),
        ("", {"streaming": True, "resumable": True}, False),
        ("3", {"streaming": True, "resumable": False}, False),
        ("3", {"streaming": False, "resumable": False}, False),
    ],
)
def test_only_a_request_with_a_last_event_takes_up_a_stream(resume_after, fields, expected):
    arrival = make_arrival(resume_after=resume_after)
    assert_that(takes_up_stream(make_route(**fields), arrival), Equals(expected))
