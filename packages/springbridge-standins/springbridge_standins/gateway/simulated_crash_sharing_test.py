"""Tests of how fast crash reports spread in a fleet.

The load: a random node detects each crash, and a tenth of the datagrams is lost. The sizes are
those of the users' deployments today and at their target.
"""

import pytest
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from springbridge_standins.gateway.simulated_crash_sharing import CrashSharingFleet
from springbridge_standins.gateway.simulated_fleet import simulated_time

# Required time until all nodes know of a suspected request.
MAX_SPREAD_S = 1.0
LOSS = 0.1


@pytest.fixture
def play():
    """Return a function that runs a test's body on a fleet of a size."""

    def run(body, size, loss=LOSS):
        with simulated_time() as clock:
            body(CrashSharingFleet(clock, size, seed=1, loss=loss))

    return run


@pytest.mark.parametrize("size", [9, 78, 195, 380])
def test_all_nodes_know_a_suspect_within_a_second(play, size):
    def body(sharing_fleet):
        sharing_fleet.crash("cause", 1)
        sharing_fleet.run(HEARTBEAT_INTERVAL_S)
        sharing_fleet.crash("cause", 2)
        assert_that(
            sharing_fleet.seconds_to_know("cause"),
            LessThan(MAX_SPREAD_S + HEARTBEAT_INTERVAL_S / 2),
        )

    play(body, size)


def test_a_request_with_one_crash_is_shared_with_few_nodes(play):
    def body(sharing_fleet):
        sharing_fleet.crash("once", 1)
        sharing_fleet.run(4 * HEARTBEAT_INTERVAL_S)
        informed = sum(
            node.records.find("once") is not None for node in sharing_fleet.nodes.values()
        )
        assert_that(informed, LessThan(4))

    play(body, 78, loss=0.0)


def test_a_success_frees_the_request_at_all_nodes(play):
    def body(sharing_fleet):
        for crash in (1, 2, 3):
            sharing_fleet.crash("page", crash)
        sharing_fleet.seconds_to_know("page")
        node = sharing_fleet.nodes[5]
        node.records.acquit("page")
        node.sharing.share("page", "model", was_known=True)
        sharing_fleet.run(4 * HEARTBEAT_INTERVAL_S)
        held = sum(each.knows("page") for each in sharing_fleet.nodes.values())
        assert_that(held, Equals(0))

    play(body, 78)


def test_a_node_that_starts_receives_the_suspects(play):
    def body(sharing_fleet):
        for crash in (1, 2):
            sharing_fleet.crash("cause", crash)
        sharing_fleet.run(3.0)
        sharing_fleet.fleet.restart(7)
        sharing_fleet.nodes[7] = sharing_fleet.join(7)
        sharing_fleet.run(4 * HEARTBEAT_INTERVAL_S)
        assert_that(sharing_fleet.nodes[7].knows("cause"), Is(True))

    play(body, 78)


def test_a_node_that_missed_a_success_receives_it_when_it_shares_the_crashes(play):
    def body(sharing_fleet):
        for crash in (1, 2):
            sharing_fleet.crash("page", crash)
        sharing_fleet.run(1.0)
        one, other = sharing_fleet.nodes[1], sharing_fleet.nodes[2]
        outdated = one.records.report("page")
        one.records.acquit("page")
        other.records.merge(outdated)
        other.sharing._send(["page"], [sharing_fleet.fleet.nodes[1].membership.me.peer_address])
        assert_that(other.knows("page"), Is(False))

    play(body, 9, loss=0.0)
