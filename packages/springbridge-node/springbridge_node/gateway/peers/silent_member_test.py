"""Tests of how soon no caller is sent any more to a node that ended without a word.

Seen: in a fleet of 78 nodes the directory named an instance 7.2 s after it had lost power; callers
lose a connection's time-out there. How it came about: each digest names a few other members, so
the last heartbeats were still passed on from node to node seconds after the power was gone. Cause:
a heartbeat that came by a third node counted as a sign of life of the moment at which it came,
however long it had been on its way, and the time to suspicion grew with all incarnations known,
ended ones included. Proof: the same fleet on a simulated clock, without any stall, loss or delay,
named the ended node for 10 to 12 s.
"""

import pytest
from springbridge_standins.gateway.simulated_fleet import SimulatedFleet, simulated_time
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from springbridge_node.gateway.peers.heartbeats import BEAT_S

# Seconds in which a fleet finds itself from three seeds.
SETTLE_S = 15.0
# Seconds after its last heartbeat for which an ended node may be named, by the size of the fleet.
NAMED_FOR_S = {9: 2.0, 30: 2.0, 78: 3.0}
# Share of the datagrams that a bad network loses, and seconds for which such a fleet is watched.
LOST = 0.1
WATCHED_S = 5.0


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet and waits until it has found itself."""
    with simulated_time() as clock:

        def make(size, seed, lost=0.0):
            fleet = SimulatedFleet(clock, size, seed, lost)
            fleet.run(SETTLE_S)
            return fleet

        yield make


@pytest.mark.parametrize("size", NAMED_FOR_S)
def test_a_node_that_lost_power_is_named_nowhere_within_seconds(make_fleet, size):
    fleet = make_fleet(size, seed=1)
    assert_that(fleet.seconds_named(size - 1), LessThan(NAMED_FOR_S[size] + BEAT_S))


@pytest.mark.parametrize("size", NAMED_FOR_S)
def test_it_is_so_after_every_node_was_started_anew(make_fleet, size):
    fleet = make_fleet(size, seed=2)
    for number in range(size):
        fleet.restart(number)
    fleet.run(SETTLE_S)
    assert_that(fleet.seconds_named(size - 1), LessThan(NAMED_FOR_S[size] + BEAT_S))


@pytest.mark.parametrize(("lost", "limit"), [(0.0, 0.001), (LOST, 0.01)])
@pytest.mark.parametrize("size", NAMED_FOR_S)
def test_a_running_node_is_not_left_out(make_fleet, size, lost, limit):
    fleet = make_fleet(size, seed=3, lost=lost)
    shares = []
    for _ in range(round(WATCHED_S / BEAT_S)):
        fleet.run(BEAT_S)
        shares.append(fleet.share_left_out())
    assert_that(sum(shares) / len(shares), LessThan(limit))
