"""Tests of how soon a large fleet that starts together finds itself.

The load: all nodes of a large deployment start within the same moment, as after a loss of power,
and each knows three seeds only. Callers are there before the nodes know each other. Until then
nodes disagree on who reads the store, who chooses endpoints and how many share the retry budget.
Seen before lookups: 16 s after the start 8% of the pairs of 195 nodes did not count each other.
"""

import pytest
from springbridge_standins.gateway.simulated_fleet import SimulatedFleet, simulated_time
from testtools.assertions import assert_that
from testtools.matchers import LessThan

# Seconds after which nodes may disagree on the fleet no more. Chosen as the time in which a fleet
# that was killed has to serve again.
FOUND_S = 3.0
# Share of the pairs of running nodes of which one does not count the other then. Chosen as twenty
# times what a fleet of that size shows when it is calm.
LEFT_OUT = 0.02
# Bytes a second that a node may send meanwhile. Chosen as a tenth of a link of 10 Mbit/s, which the
# smallest instances have.
BYTES_PER_S = 125_000


@pytest.fixture
def clock():
    """Return the clock of a simulated fleet."""
    with simulated_time() as found:
        yield found


@pytest.mark.parametrize(("size", "lost"), [(78, 0.1), (195, 0.0)])
def test_a_fleet_that_starts_together_has_found_itself_within_seconds(clock, size, lost):
    fleet = SimulatedFleet(clock, size, seed=5, loss=lost)
    fleet.run(FOUND_S)
    assert_that(fleet.share_left_out(), LessThan(LEFT_OUT))
    assert_that(fleet.network.sent_bytes / size / FOUND_S, LessThan(BYTES_PER_S))


def test_a_node_that_joins_a_running_fleet_knows_it_within_seconds(clock):
    fleet = SimulatedFleet(clock, 78, seed=6)
    fleet.run(FOUND_S)
    fleet.restart(77)
    fleet.run(FOUND_S / 2)
    joined = fleet.nodes[77].membership
    assert_that(78 - joined.live_count(), LessThan(3))
