"""Tests of lease_keeper.py: renewal and release while a duty call is in progress."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from springbridge_standins.lease_histories import CALL_S, LEASE_S, NodeStoreClient, SimulatedStore
from springbridge_standins.virtual_loop import run_virtual
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper


class Machine:
    """A machine that is never frozen, and its rank among the candidates."""

    cut_until_s = 0.0
    ranking = 0

    async def wait_while_frozen(self):
        """Return at once."""

    def rank(self):
        """Return the set rank."""
        return self.ranking

    def include_me(self):
        """Return whether the rank is that of a candidate."""
        return self.ranking < 3


@pytest.fixture
def with_holder():
    """Return a function that runs a test body with a keeper that holds the lease."""

    def run(body):
        async def play():
            store, machine = SimulatedStore(random.Random(1), loss_rate=0.0), Machine()
            keeper = LeaseKeeper(
                NodeStoreClient(store, machine),
                machine,
                "node-1",
                "run-1",
                LEASE_S,
                asyncio.get_running_loop().time,
            )
            await keeper.step()
            assert_that(keeper.credentials is not None, Equals(True))
            await body(SimpleNamespace(store=store, machine=machine, keeper=keeper))

        run_virtual(play())

    return run


def test_the_lease_is_handed_on_only_after_the_call_under_way(with_holder):
    async def body(holder):
        async def call():
            with holder.keeper.credentials_for_call(CALL_S) as credentials:
                assert_that(credentials is not None, Equals(True))
                await asyncio.sleep(0.5)
                assert_that(holder.store.row.handed_on, Is(False))

        calling = asyncio.ensure_future(call())
        await asyncio.sleep(0.01)
        holder.machine.ranking = 3
        await holder.keeper.step()
        await calling
        assert_that(holder.store.row.handed_on, Is(True))

    with_holder(body)


def test_no_call_begins_once_the_lease_is_being_handed_on(with_holder):
    async def body(holder):
        holder.machine.ranking = 3
        handing_on = asyncio.ensure_future(holder.keeper.step())
        await asyncio.sleep(0)
        with holder.keeper.credentials_for_call(CALL_S) as credentials:
            assert_that(credentials, Is(None))
        await handing_on

    with_holder(body)


def test_a_call_that_could_outlast_the_tenure_is_not_begun(with_holder):
    async def body(holder):
        await asyncio.sleep(LEASE_S - CALL_S)
        with holder.keeper.credentials_for_call(CALL_S) as credentials:
            assert_that(credentials, Is(None))

    with_holder(body)


# Guards against two holders: the store was restored while a renewal was under way, and its
# condition holds for the row of the copy as well.
def test_a_renewal_that_took_effect_in_another_era_extends_the_tenure_only_with_the_next_one(
    with_holder,
):
    async def body(holder):
        renewed = []
        holder.keeper.connect(lambda takeover: None, lambda era: b"", lambda: renewed.append(1))
        before = holder.keeper._tenure
        holder.store.copy()
        holder.store.go_back()
        await asyncio.sleep(1.0)
        await holder.keeper.step()
        assert_that(holder.keeper._tenure.until_s, Equals(before.until_s))
        assert_that(renewed, Equals([]))
        await holder.keeper.step()
        assert_that(holder.keeper._tenure.until_s, GreaterThan(before.until_s))
        assert_that((renewed, holder.keeper.credentials.token), Equals(([1], before.token)))

    with_holder(body)
