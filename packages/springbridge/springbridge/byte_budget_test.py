"""Tests of byte_budget.py: all holders together stay under the limit, and small ones have room."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge.byte_budget import LARGE_SHARE, SMALL_BYTES, STALLED_S, ByteBudget

LIMIT = 16 * SMALL_BYTES


class Client:
    """A connection that holds bytes, and gives them up unless they are being served."""

    def __init__(self, budget, is_served=False):
        self.held_bytes = 0
        self.progress_s = budget.now_s
        self.is_served = is_served
        self.was_evicted = False
        self._budget = budget

    def evictable_bytes(self):
        """Return what it holds, unless that is being served."""
        return 0 if self.is_served or self.was_evicted else self.held_bytes

    def evict(self):
        """Give up all."""
        self.was_evicted = True
        self._budget.resize(self, 0)


def holding(budget, size, is_served=False):
    """Return a new client that holds some bytes."""
    client = Client(budget, is_served)
    budget.resize(client, size)
    return client


# Guards against large bodies that take the room of small requests.
def test_the_largest_gives_way():
    budget = ByteBudget(LIMIT)
    large = holding(budget, 10 * SMALL_BYTES)
    small = [holding(budget, SMALL_BYTES) for _ in range(7)]
    assert_that((large.was_evicted, any(each.was_evicted for each in small)), Equals((True, False)))


# Guards against a body that is nearly whole and gives way to ones that stand still.
def test_a_body_that_stands_still_gives_way_before_a_larger_one():
    budget = ByteBudget(LIMIT)
    still = holding(budget, 5 * SMALL_BYTES)
    budget.now_s += 2 * STALLED_S
    moving = holding(budget, 8 * SMALL_BYTES)
    assert_that((still.was_evicted, moving.was_evicted), Equals((True, False)))


# Guards against an instance without room for small requests while it serves large ones.
def test_large_requests_leave_room_for_small_ones():
    budget = ByteBudget(LIMIT)
    served = [holding(budget, 4 * SMALL_BYTES, is_served=True) for _ in range(3)]
    refused = holding(budget, 2 * SMALL_BYTES)
    small = holding(budget, SMALL_BYTES)
    assert_that(sum(each.held_bytes for each in served), Equals(LARGE_SHARE * LIMIT))
    assert_that((refused.was_evicted, small.was_evicted), Equals((True, False)))


@pytest.mark.parametrize("seed", range(20))
def test_drawn_holders_stay_under_the_limit(seed):
    rng, budget, clients = random.Random(seed), ByteBudget(LIMIT), []
    for _ in range(300):
        if not clients or rng.random() < 0.3:
            clients.append(Client(budget))
        client = rng.choice(clients)
        if client.was_evicted or rng.random() < 0.2:
            budget.resize(client, 0)
            clients.remove(client)
        else:
            budget.resize(client, client.held_bytes + rng.randrange(4 * SMALL_BYTES))
        budget.now_s += rng.random()
        assert_that(budget.held_bytes, LessThan(LIMIT + 1))
        assert_that(budget.held_bytes, Equals(sum(each.held_bytes for each in clients)))
