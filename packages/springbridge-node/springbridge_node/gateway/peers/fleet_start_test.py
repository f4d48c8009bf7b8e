"""Tests of how soon the nodes of a large fleet that start together know each other.

All nodes start at the same moment, as after a power loss, and each knows three seeds only. Callers
arrive before the nodes know each other. Until then nodes disagree on which of them read the store
and select endpoints, and on how many share the retry budget. Without member lookup, 8% of the pairs
of 195 nodes did not count each other 16 s after the start.
"""

import pytest
from springbridge_standins.gateway.simulated_fleet import SimulatedFleet, simulated_time
from testtools.assertions import assert_that
from testtools.matchers import LessThan

# Seconds after which the nodes' views must agree: the time in which a fleet that was killed has to
# serve again.
FOUND_S = 3.0
# Largest share of pairs of running nodes of which one does not know the other then: twenty times
# that of an undisturbed fleet of that size.
LEFT_OUT = 0.02
# Bytes a second that a node may send meanwhile: a tenth of the 10 Mbit/s link of the smallest
# instances.
BYTES_PER_S = 125_000


@pytest.fixture
def clock():
    """Return the clock of a simulated fleet."""
    with simulated_time() as found:
        yield found


@pytest.mark.parametrize(("size", "lost"), [(78, 0.1), (195, 0.0)])
def test_nodes_of_a_fleet_that_start_together_know_each_other_within_seconds(clock, size, lost):
    fleet = SimulatedFleet(clock, size, seed=5, loss=lost)
    fleet.run(FOUND_S)
    assert_that(fleet.missing_share(), LessThan(LEFT_OUT))
    assert_that(fleet.network.sent_bytes / size / FOUND_S, LessThan(BYTES_PER_S))


def test_a_node_that_joins_a_running_fleet_knows_it_within_seconds(clock):
    fleet = SimulatedFleet(clock, 78, seed=6)
    fleet.run(FOUND_S)
    fleet.restart(77)
    fleet.run(FOUND_S / 2)
    joined = fleet.nodes[77].membership
    assert_that(78 - joined.live_count(), LessThan(3))
