"""Fixtures of the gateway's tests: simulated fleets of real parts, in virtual time."""

import asyncio
import random
from unittest import mock

import pytest
from springbridge_standins.rates.fleet import SimulatedRateFleet
from springbridge_standins.virtual_loop import run_virtual

from springbridge_node import logs

# Seconds until the instances have been granters for long enough to grant permits.
SETTLED_S = 4.0


@pytest.fixture
def with_instances():
    """Return a function that runs a test's coroutine on a simulated fleet."""

    def run(body, size, endpoints=1, loss=0.0):
        async def play():
            fleet = SimulatedRateFleet(random.Random(size), size, endpoints)
            fleet.network.loss = loss
            await asyncio.sleep(SETTLED_S)
            await body(fleet)
            for instance in fleet.instances:
                instance.kill()

        with mock.patch.object(logs, "event"):
            run_virtual(play())

    return run
