"""Tests of scaler.py: what is ordered while the endpoint list is still incomplete.

Guards against a removal of endpoints at a start of the whole system: one node acquires the lease
within a second, while endpoints are still being added to the list. If it takes the first few for a
complete list, it removes the others just before the traffic begins.
"""

import asyncio
import contextlib

import pytest
from returns.result import Success
from springbridge.duties.demand import FleetDemand
from springbridge.duties.scaling import ScalingLimits
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointSnapshot, Service
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.duties.duty_platform import Credentials
from springbridge_node.gateway.duties.scaler import NO_REDUCTION_S, Scaler

SERVICE = Service("model", scaling=ScalingLimits(least=1, most=30, spot_price=0.18))
DOMAINS = ("a", "b", "c")


class World:
    """A clock, a lease that is always held, and a platform that accepts all orders."""

    now_s = 100.0
    credentials = Credentials("node-1", 7)

    def __init__(self):
        self.orders = {}
        self.demand = FleetDemand(self)
        self.registry = EndpointRegistry(self)
        self.scaler = Scaler(self, self, self, self.registry, lambda: {"model": SERVICE}, self)

    def __call__(self):
        """Return the time."""
        return self.now_s

    @contextlib.contextmanager
    def credentials_for_call(self, call_s):
        """Yield the credentials."""
        yield self.credentials

    async def order_endpoints(self, credentials, order):
        """Accept an order."""
        self.orders[order.failure_domain, order.spot] = order.count
        return Success(None)

    def list_endpoints(self, on_demand, spot=0):
        """Install a list with the given numbers of endpoints in each failure domain."""
        entries = tuple(
            (
                EndpointEntry(f"{name}-{is_spot}-{number}", "model", "10.0.0.1:80", name, 64, False)
                if not is_spot
                else EndpointEntry(
                    f"{name}-{is_spot}-{number}",
                    "model",
                    "10.0.0.1:80",
                    name,
                    64,
                    False,
                    None,
                    True,
                )
            )
            for name in DOMAINS
            for is_spot, count in ((False, on_demand), (True, spot))
            for number in range(count)
        )
        self.registry.install(EndpointSnapshot(int(self.now_s * 1000), entries), {}, 0.0)

    def step(self, seconds=0.5):
        """Advance the clock and run one step of the scaler."""
        self.now_s += seconds
        asyncio.run(self.scaler.step())


@pytest.fixture
def world():
    """Return a world without endpoints."""
    return World()


def wait(world, on_demand, spot=0):
    """Let the time pass in which a new holder orders no reduction, with an unchanged list."""
    for _ in range(round(2 * NO_REDUCTION_S)):
        world.list_endpoints(on_demand, spot)
        world.step()


def on_demand_orders(world):
    """Return the orders for on-demand endpoints, by failure domain."""
    return {name: count for (name, spot), count in world.orders.items() if not spot}


def test_nothing_is_given_up_while_endpoints_still_come_onto_the_list(world):
    for listed in (1, 2, 6, 15):
        world.list_endpoints(on_demand=listed)
        world.step(1.0)
        assert_that(world.orders, Equals({}))
    wait(world, on_demand=15)
    assert_that(on_demand_orders(world), Equals({}))
    assert_that(world.orders, Equals({(name, True): 15 for name in DOMAINS}))


def test_endpoints_on_demand_go_once_spot_endpoints_stand_in_their_place(world):
    world.list_endpoints(on_demand=1)
    world.step()
    wait(world, on_demand=15)
    wait(world, on_demand=15, spot=15)
    assert_that(on_demand_orders(world), Equals(dict.fromkeys(DOMAINS, 2)))


def test_a_new_holder_keeps_the_spot_endpoints_that_stand(world):
    wait(world, on_demand=2, spot=28)
    wait(world, on_demand=2, spot=28)
    assert_that(world.orders, Equals({}))


def test_an_old_list_leads_to_no_order(world):
    wait(world, on_demand=15)
    world.orders.clear()
    world.step(5.0)
    assert_that(world.orders, Equals({}))
