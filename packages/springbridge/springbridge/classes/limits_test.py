"""Tests of limits.py: the sum over all nodes exceeds a limit at most by the stated error."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.classes.entities import Share
from springbridge.classes.limits import (
    BURST_S,
    LEASE_S,
    OWNER_GRACE_S,
    LimitOwner,
    NodeLimit,
)
from springbridge.classes.retry_times import SHORTEST_S
from springbridge.codes import Code

RATE = 40.0
CONCURRENCY = 12
SHARE = Share("findwell", "claims", 1.0, RATE, CONCURRENCY)
NODES = ["node-1", "node-2", "node-3", "node-4"]


def settle(owner, clock):
    """Advance the clock until the owner's grace period is over."""
    owner.lease(NodeLimit(SHARE).lease_request(NODES[0]), SHARE, len(NODES))
    clock.advance(OWNER_GRACE_S)


def start(node, limit, owner, clock):
    """Try a start as an entry node does: from its lease, else after a request to the owner."""
    limit.count_demand()
    if limit.try_start(clock()):
        return True
    if owner is None:
        limit.fall_back(clock(), len(NODES))
    else:
        limit.take(owner.lease(limit.lease_request(node), SHARE, len(NODES)), clock(), len(NODES))
    return limit.try_start(clock())


def offered(owner, clock, seconds, seed=1, hold_s=0.0):
    """Offer three times the rate at random nodes; return the starts and the peak concurrency."""
    rng = random.Random(seed)
    limits = {node: NodeLimit(SHARE) for node in NODES}
    running = []
    started = most = 0
    end_s = clock() + seconds
    while clock() < end_s:
        clock.advance(rng.expovariate(3 * RATE))
        for until_s, limit in [one for one in running if one[0] <= clock()]:
            limit.finish()
            running.remove((until_s, limit))
        node = rng.choice(NODES)
        if start(node, limits[node], owner, clock):
            started += 1
            running.append((clock() + hold_s, limits[node]))
            most = max(most, len(running))
    return started, most


@pytest.mark.parametrize("seed", range(5))
def test_rate_holds_for_the_sum(clock, seed):
    owner = LimitOwner(clock)
    settle(owner, clock)
    started, _ = offered(owner, clock, 20.0, seed)
    assert_that(started, LessThan(RATE * (20.0 + BURST_S) + 1))
    assert_that(started, GreaterThan(RATE * 20.0 * 0.9))


@pytest.mark.parametrize("seed", range(5))
def test_concurrency_holds_for_the_sum(clock, seed):
    owner = LimitOwner(clock)
    settle(owner, clock)
    _, most = offered(owner, clock, 20.0, seed, hold_s=0.9)
    assert_that(most, LessThan(CONCURRENCY + 1))
    assert_that(most, GreaterThan(CONCURRENCY // 2))


@pytest.mark.parametrize("seed", range(5))
def test_equal_parts_hold_without_an_owner(clock, seed):
    started, most = offered(None, clock, 20.0, seed, hold_s=0.1)
    assert_that(started, LessThan(RATE * (20.0 + BURST_S) + len(NODES) + 1))
    assert_that(most, LessThan(CONCURRENCY + len(NODES)))


def test_change_of_owner_stays_within_the_stated_error(clock):
    first = LimitOwner(clock)
    settle(first, clock)
    before, _ = offered(first, clock, 5.0)
    after, _ = offered(LimitOwner(clock), clock, 5.0)
    bound = RATE * (10.0 + LEASE_S + 2 * BURST_S) + len(NODES)
    assert_that(before + after, LessThan(bound))


def test_first_requests_of_a_new_owner_pass(clock):
    owner = LimitOwner(clock)
    limits = {node: NodeLimit(SHARE) for node in NODES}
    started = [start(node, limits[node], owner, clock) for node in NODES * 3]
    assert_that(started, Equals([True] * 3 * len(NODES)))


def test_refusal_carries_a_retry_time(clock):
    owner = LimitOwner(clock)
    settle(owner, clock)
    limit = NodeLimit(SHARE)
    while start(NODES[0], limit, owner, clock):
        limit.finish()
    assert_that(limit.retry_after_s, GreaterThan(0.0))
    assert_that(limit.retry_after_s, LessThan(1 / RATE + 0.001))


def test_refusal_names_the_limit_that_was_reached():
    rate = NodeLimit(SHARE, starts=0.5, concurrency=CONCURRENCY, retry_after_s=3.0).refusal()
    assert_that((rate.code, rate.retry_after_s), Equals((Code.RATE_LIMITED, 3.0)))
    full = NodeLimit(SHARE, starts=2.0, concurrency=1, in_use=1, retry_after_s=0.0).refusal()
    assert_that(full.code, Equals(Code.CONCURRENCY_LIMITED))
    assert_that(full.retry_after_s, Equals(SHORTEST_S))
    assert_that(full.source, Equals("findwell/claims"))


def test_concurrency_refusal_names_the_expected_end_of_a_running_request():
    # With a retry time of 0.1 s however long the running requests take, callers retried ten times a
    # second.
    limit = NodeLimit(SHARE, starts=2.0, concurrency=4, in_use=4, retry_after_s=0.0)
    limit.record_duration(6.0)
    assert_that(limit.refusal().retry_after_s, Equals(6.0 / 4))
    for _ in range(40):
        limit.record_duration(2.0)
    assert_that(round(limit.refusal().retry_after_s, 2), Equals(2.0 / 4))


def test_retry_time_of_a_rate_refusal_depends_on_the_rate_alone():
    limit = NodeLimit(SHARE, starts=0.5, concurrency=4, in_use=4, retry_after_s=3.0)
    limit.record_duration(60.0)
    assert_that(limit.refusal().retry_after_s, Equals(3.0))


def test_silent_node_loses_its_concurrency(clock):
    owner = LimitOwner(clock)
    settle(owner, clock)
    gone, other = NodeLimit(SHARE), NodeLimit(SHARE)
    for _ in range(CONCURRENCY):
        start(NODES[0], gone, owner, clock)
    assert_that(start(NODES[1], other, owner, clock), Equals(False))
    clock.advance(LEASE_S + 0.1)
    assert_that(start(NODES[1], other, owner, clock), Equals(True))
