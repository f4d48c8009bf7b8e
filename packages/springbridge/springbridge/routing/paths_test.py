"""Tests of paths.py: which paths are lost or doubtful, and when they are probed."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.routing.paths import (
    DOUBT_S,
    FIRST_RETRY_S,
    MAX_DOUBLINGS,
    SETTLE_S,
    UNSTABLE_S,
    PathTable,
)
from springbridge.routing.records import EndpointIncarnation

A, B, C = (EndpointIncarnation(name, None) for name in "abc")


@pytest.fixture
def paths(clock):
    """Return the paths of an instance, none of which is lost."""
    return PathTable(clock)


def test_a_path_is_lost_until_a_direct_connection_comes_up(paths):
    assert_that((paths.record_lost(A), paths.record_lost(A)), Equals((True, False)))
    assert_that((paths.is_lost(A), paths.is_lost(B)), Equals((True, False)))
    assert_that((paths.record_up(A), paths.record_up(A)), Equals((True, False)))
    assert_that(paths.is_lost(A), Is(False))


def test_a_lost_path_is_probed_ever_more_seldom(paths, clock):
    # Guards against probes of hundreds of lost paths four times a second.
    paths.record_lost(A)
    pauses = []
    for _ in range(MAX_DOUBLINGS + 2):
        began_s = clock.now_s
        while not paths.due():
            clock.advance(FIRST_RETRY_S / 2)
        pauses.append(clock.now_s - began_s)
        paths.record_lost(A)
    assert_that(pauses, Equals([FIRST_RETRY_S * 2**n for n in (0, 1, 2, 3, 4, 4)]))


def test_a_path_that_is_back_lets_the_others_be_probed_at_once(paths, clock):
    for each in (A, B, C):
        paths.record_lost(each)
        paths.record_lost(each)
    paths.record_up(A)
    assert_that(set(paths.due()), Equals({B, C}))


def test_a_path_that_is_lost_again_keeps_its_longer_pause(paths, clock):
    # Guards against a path that loses packets and changes between direct and not twice a second.
    paths.record_lost(A)
    for _ in range(3):
        paths.record_up(A)
        paths.record_lost(A)
    clock.advance(FIRST_RETRY_S)
    assert_that(paths.due(), Equals([]))


def test_a_path_that_stays_up_is_forgotten(paths, clock):
    paths.record_lost(A)
    paths.record_up(A)
    clock.advance(UNSTABLE_S + 1.0)
    paths.forget_old({A, B})
    paths.record_lost(A)
    clock.advance(FIRST_RETRY_S)
    assert_that(paths.due(), Equals([A]))


def test_an_endpoint_that_is_gone_is_forgotten(paths):
    paths.record_lost(A)
    paths.forget_old({B})
    assert_that((paths.is_lost(A), paths.lost()), Equals((False, [])))


def test_two_lost_paths_make_the_others_doubtful_until_they_are_verified(paths, clock):
    # Guards against requests that are sent on idle connections of a link which was just cut.
    paths.record_lost(A)
    assert_that(paths.is_doubtful(C), Is(False))
    paths.record_lost(B)
    assert_that(paths.is_doubtful(C), Is(True))
    clock.advance(0.1)
    paths.record_up(C)
    assert_that(paths.is_doubtful(C), Is(False))


def test_doubt_ends_by_itself(paths, clock):
    paths.record_lost(A)
    paths.record_lost(B)
    clock.advance(DOUBT_S + 0.1)
    assert_that(paths.is_doubtful(C), Is(False))


def test_connections_through_peers_are_used_a_little_longer_than_the_path_is_lost(paths, clock):
    assert_that(paths.prefers_direct(A), Is(True))
    paths.record_lost(A)
    clock.advance(10.0)
    assert_that(paths.prefers_direct(A), Is(False))
    paths.record_up(A)
    assert_that(paths.prefers_direct(A), Is(False))
    clock.advance(SETTLE_S + 0.1)
    assert_that(paths.prefers_direct(A), Is(True))
