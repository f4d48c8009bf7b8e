"""Tests of how soon a fleet knows of a request that ends endpoints.

The load: each crash is seen by another node, and a tenth of the datagrams is lost. The sizes are
those of the users' deployments today and at their target.
"""

import pytest
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from springbridge_standins.gateway.simulated_crash_news import CrashNews
from springbridge_standins.gateway.simulated_fleet import simulated_time

# Seconds within which all nodes have to know: the aim.
KNOWN_S = 1.0
LOST = 0.1


@pytest.fixture
def play():
    """Return a function that runs a test's body on a fleet of a size."""

    def run(body, size, loss=LOST):
        with simulated_time() as clock:
            body(CrashNews(clock, size, seed=1, loss=loss))

    return run


@pytest.mark.parametrize("size", [9, 78, 195, 380])
def test_all_nodes_know_a_suspect_within_a_second(play, size):
    def body(news):
        news.crash("cause", 1)
        news.run(HEARTBEAT_INTERVAL_S)
        news.crash("cause", 2)
        assert_that(news.seconds_to_know("cause"), LessThan(KNOWN_S + HEARTBEAT_INTERVAL_S / 2))

    play(body, size)


def test_a_request_with_one_crash_is_told_to_few(play):
    def body(news):
        news.crash("once", 1)
        news.run(4 * HEARTBEAT_INTERVAL_S)
        told = sum(node.records.find("once") is not None for node in news.nodes.values())
        assert_that(told, LessThan(4))

    play(body, 78, loss=0.0)


def test_a_good_end_frees_it_everywhere(play):
    def body(news):
        for crash in (1, 2, 3):
            news.crash("page", crash)
        news.seconds_to_know("page")
        node = news.nodes[5]
        node.records.acquit("page")
        node.sharing.share("page", "model", was_known=True)
        news.run(4 * HEARTBEAT_INTERVAL_S)
        held = sum(each.knows("page") for each in news.nodes.values())
        assert_that(held, Equals(0))

    play(body, 78)


def test_a_node_that_starts_is_told(play):
    def body(news):
        for crash in (1, 2):
            news.crash("cause", crash)
        news.run(3.0)
        news.fleet.restart(7)
        news.nodes[7] = news.join(7)
        news.run(4 * HEARTBEAT_INTERVAL_S)
        assert_that(news.nodes[7].knows("cause"), Is(True))

    play(body, 78)


def test_a_node_that_missed_a_good_end_is_told_when_it_tells_of_the_crashes(play):
    def body(news):
        for crash in (1, 2):
            news.crash("page", crash)
        news.run(1.0)
        one, other = news.nodes[1], news.nodes[2]
        outdated = one.records.report("page")
        one.records.acquit("page")
        other.records.merge(outdated)
        other.sharing._send(["page"], [news.fleet.nodes[1].membership.me.peer_address])
        assert_that(other.knows("page"), Is(False))

    play(body, 9, loss=0.0)
