"""Tests of periodic.py: steps go on after a fault, and an event cuts a pause short."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge_node.periodic import every, guarded, pause

LONG_S = 30.0


def seconds_of(wait):
    """Return how long a wait took."""

    async def body():
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await wait()
        return loop.time() - began_s

    return asyncio.run(body())


def test_an_event_cuts_a_pause_short():
    async def wait():
        woken = asyncio.Event()
        asyncio.get_running_loop().call_soon(woken.set)
        await pause(LONG_S, woken)

    assert_that(seconds_of(wait), LessThan(LONG_S / 2))


def test_a_pause_without_an_event_ends_by_itself():
    async def wait():
        await pause(0.01, asyncio.Event())

    assert_that(seconds_of(wait), LessThan(LONG_S / 2))


def test_a_fault_in_a_step_does_not_end_the_steps():
    steps = []

    async def step():
        steps.append(len(steps))
        raise ValueError("not logged")

    async def body():
        task = asyncio.ensure_future(every(0.0, step))
        while len(steps) < 3:
            await asyncio.sleep(0.0)
        task.cancel()

    asyncio.run(body())
    assert_that(len(steps), GreaterThan(2))


def test_a_guarded_step_that_fails_raises_nothing():
    def step():
        raise ValueError("not logged")

    assert_that(guarded(step), Equals(None))
