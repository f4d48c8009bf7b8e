"""Tests of how soon a node that ended without leaving is no longer named to callers.

Callers that are sent to such a node lose a connection timeout. Each digest has a few other members,
so a node's last heartbeats still circulate seconds after it ended. If a heartbeat that arrives by a
third node counts as a sign of life at its arrival, however old it is, and the suspicion timeout
grows with all known incarnations, ended ones included, then a fleet of 78 nodes names the ended
node for 7.2 s, and for 10 to 12 s on a simulated clock without any stall, loss or delay.
"""

import pytest
from springbridge_standins.gateway.simulated_fleet import SimulatedFleet, simulated_time
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S

# Seconds in which the nodes of a fleet come to know each other from three seeds.
SETTLE_S = 15.0
# Seconds after its last heartbeat for which an ended node may be named, by the size of the fleet.
NAMED_FOR_S = {9: 2.0, 30: 2.0, 78: 3.0}
# Share of the datagrams that a bad network loses, and seconds for which a fleet is observed.
LOST = 0.1
WATCHED_S = 5.0


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet and runs it for SETTLE_S."""
    with simulated_time() as clock:

        def make(size, seed, lost=0.0):
            fleet = SimulatedFleet(clock, size, seed, lost)
            fleet.run(SETTLE_S)
            return fleet

        yield make


@pytest.mark.parametrize("size", NAMED_FOR_S)
def test_a_node_that_lost_power_is_named_nowhere_within_seconds(make_fleet, size):
    fleet = make_fleet(size, seed=1)
    assert_that(fleet.removal_delay_s(size - 1), LessThan(NAMED_FOR_S[size] + HEARTBEAT_INTERVAL_S))


@pytest.mark.parametrize("size", NAMED_FOR_S)
def test_a_node_that_lost_power_is_named_nowhere_after_every_node_was_restarted(make_fleet, size):
    fleet = make_fleet(size, seed=2)
    for number in range(size):
        fleet.restart(number)
    fleet.run(SETTLE_S)
    assert_that(fleet.removal_delay_s(size - 1), LessThan(NAMED_FOR_S[size] + HEARTBEAT_INTERVAL_S))


@pytest.mark.parametrize(("lost", "limit"), [(0.0, 0.001), (LOST, 0.01)])
@pytest.mark.parametrize("size", NAMED_FOR_S)
def test_a_running_node_is_not_left_out(make_fleet, size, lost, limit):
    fleet = make_fleet(size, seed=3, lost=lost)
    shares = []
    for _ in range(round(WATCHED_S / HEARTBEAT_INTERVAL_S)):
        fleet.run(HEARTBEAT_INTERVAL_S)
        shares.append(fleet.missing_share())
    assert_that(sum(shares) / len(shares), LessThan(limit))
