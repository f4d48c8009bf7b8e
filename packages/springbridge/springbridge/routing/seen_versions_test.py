"""Tests of seen_versions.py: which versions an instance has seen, and for how long it watched."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.records import EndpointEntry
from springbridge.routing.seen_versions import MAX_GAP_S, SeenVersions


def listed(*versions, service="model"):
    """Return entries of endpoints with some versions."""
    return [
        EndpointEntry(f"e{number}", service, "10.0.0.1:80", "a", 4, False, version=version)
        for number, version in enumerate(versions)
    ]


@pytest.fixture
def seen(clock):
    """Return what an instance has seen that has just read a list with a single version."""
    found = SeenVersions(clock)
    found.note(listed("v1", "v1"), float("inf"), False)
    return found


def test_nothing_was_watched_before_the_first_list(clock):
    report = SeenVersions(clock).report("model", 10.0)
    assert_that((report.versions, report.watched_s), Equals((frozenset(), 0.0)))


def test_a_version_counts_until_its_last_endpoint_is_gone_for_long_enough(seen, clock):
    clock.advance(5.0)
    seen.note(listed("v1", "v2"), 0.5, False)
    seen.note(listed("v2"), 0.5, False)
    clock.advance(9.0)
    assert_that(seen.report("model", 10.0).versions, Equals({"v1", "v2"}))
    assert_that(seen.report("model", 8.0).versions, Equals({"v2"}))
    assert_that(seen.report("model", 8.0).watched_s, Equals(14.0))
    assert_that(seen.report("desk", 8.0).versions, Equals(set()))


def test_an_endpoint_without_a_version_counts_as_one_of_unknown_version(seen):
    seen.note(listed("v1", None), 0.5, False)
    assert_that(seen.report("model", 1.0).versions, Equals({"v1", None}))


# Guards against taking a list that was out of date, or an older copy, for all that there was.
@pytest.mark.parametrize(
    ("gap_s", "went_back", "watched_s"),
    [(0.5, False, 7.0), (MAX_GAP_S, False, 7.0), (MAX_GAP_S + 0.1, False, 3.0), (0.5, True, 3.0)],
)
def test_a_gap_or_an_older_copy_of_the_store_begins_the_watch_anew(
    seen, clock, gap_s, went_back, watched_s
):
    clock.advance(4.0)
    seen.note(listed("v1"), gap_s, went_back)
    clock.advance(3.0)
    assert_that(seen.report("model", 1.0).watched_s, Equals(watched_s))
