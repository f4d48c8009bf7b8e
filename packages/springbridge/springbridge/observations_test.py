"""Tests of observations.py: the cached view is exact and seldom recomputed.

The load is that of a node in a stable fleet, which reads the running members at every digest, at
every read of the store and for every request, while heartbeats of all others keep coming: 195
members, 12 digests a second with the ages of a third of them, and 60 reads a second, as counted on
a node of such a fleet.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge.digest import Observation
from springbridge.member import Member, Phase
from springbridge.observations import Observations
from springbridge.suspicion import GossipTiming, stretch_by_hops

MEMBERS = 195
DIGESTS_PER_S = 12
QUESTIONS_PER_S = 60
WATCHED_S = 10
SUSPECT_S = 1.2


class CountedStretch:
    """The stretch of the suspicion time, which is called whenever the view is recomputed."""

    def __init__(self):
        self.calls = 0

    def __call__(self, nodes):
        """Return the factor."""
        self.calls += 1
        return stretch_by_hops(nodes)


@pytest.fixture
def stretch():
    """Return a stretch that counts its calls."""
    return CountedStretch()


@pytest.fixture
def others(clock, stretch):
    """Return the members of a large fleet, each with a heartbeat as of now."""
    found = Observations(clock, GossipTiming(suspect_s=SUSPECT_S, stretch=stretch))
    for number in range(MEMBERS):
        found.add(Observation(member(number), clock.now_s, clock.now_s))
    return found


def member(number, phase=Phase.LIVE):
    """Return a member of a fleet."""
    return Member(f"n{number}", f"n{number}", f"10.0.0.{number}:1", "", "a", phase=phase)


def found_one_by_one(others, now_s):
    """Return the unsuspected, running and live members, by a scan of all members."""
    addresses = {each.member.peer_address for each in others.all()}
    limit_s = now_s - SUSPECT_S * stretch_by_hops(len(addresses) + 1)
    unsuspected = [each for each in others.all() if each.heartbeat_s >= limit_s]
    running = [each for each in unsuspected if each.member.phase is not Phase.GONE]
    live = [each for each in running if each.member.phase is Phase.LIVE]
    return unsuspected, running, live


def change_something(others, rng, clock):
    """Make one random change that may alter which members run."""
    known = list(others.all())
    one = rng.choice(known)
    match rng.randrange(7):
        case 0:
            clock.advance(rng.random() * 2.0)
        case 1 | 2:
            for each in rng.sample(known, len(known) // 3):
                others.record_heartbeat(each, clock.now_s - rng.random(), "teller")
        case 3:
            others.cap_heartbeat(one, clock.now_s - 0.6)
        case 4:
            phase = Phase(max(one.member.phase, rng.randrange(3)))
            number = int(one.member.incarnation.removeprefix("n"))
            others.update(one, member(number, phase))
        case 5:
            number = MEMBERS + rng.randrange(1000)
            others.add(Observation(member(number), clock.now_s, clock.now_s - rng.random()))
        case 6:
            others.forget_before(clock.now_s - 30.0)


@pytest.mark.parametrize("seed", range(20))
def test_the_cached_view_equals_a_scan_of_all_members(others, clock, seed):
    rng = random.Random(seed)
    for _ in range(200):
        change_something(others, rng, clock)
        found = (others.unsuspected(), others.running(), others.live())
        assert_that(found, Equals(found_one_by_one(others, clock.now_s)))


def test_in_a_stable_fleet_the_view_is_seldom_recomputed(others, clock, stretch):
    rng = random.Random(1)
    known = list(others.all())
    for _ in range(WATCHED_S * DIGESTS_PER_S):
        clock.advance(1 / DIGESTS_PER_S)
        for each in rng.sample(known, MEMBERS // 3):
            others.record_heartbeat(each, clock.now_s - rng.random() * 0.5, "teller")
        for _ in range(QUESTIONS_PER_S // DIGESTS_PER_S):
            others.live()
    # At most once in the second or so until the member with the oldest heartbeat is suspected.
    assert_that(stretch.calls / WATCHED_S, LessThan(2.0))


def test_the_version_changes_with_who_is_live_and_not_with_heartbeats(others, clock):
    others.live()
    before = others.version
    first, second, *_ = others.all()
    others.record_heartbeat(first, clock.now_s + 1.0, "teller")
    others.live()
    assert_that(others.version, Equals(before))
    others.update(second, member(1, Phase.LEAVING))
    others.live()
    assert_that(others.version, Equals(before + 1))
    clock.advance(10.0)
    others.live()
    assert_that(others.version, Equals(before + 2))
