"""Tests of periodic.py: steps continue after an exception, and an event cuts a pause short."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge_node.periodic import (
    TICK_S,
    every,
    every_tick,
    guarded,
    pause,
    until_tick_s,
)

LONG_S = 30.0


def seconds_of(wait):
    """Return how long a wait took, in seconds."""

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


def test_tasks_of_an_idle_node_share_their_wake_ups():
    # An idle node with four tasks that run four times a second and one that runs every two seconds,
    # each started at a different time.
    intervals_s = [TICK_S, TICK_S, TICK_S, TICK_S, 8 * TICK_S]
    woken_s = set()
    for number, interval_s in enumerate(intervals_s):
        now_s = 100.0 + 0.037 * number
        while now_s < 110.0:
            now_s += until_tick_s(now_s, interval_s)
            woken_s.add(round(now_s, 6))
    assert_that(len(woken_s), LessThan(10.0 / TICK_S + 2))


def test_a_timer_that_goes_off_early_does_not_tick_twice():
    tick_s = 100.0 + until_tick_s(100.0, TICK_S)
    assert_that(until_tick_s(tick_s - 1e-9, TICK_S), GreaterThan(TICK_S / 2))
    assert_that(until_tick_s(tick_s, TICK_S), GreaterThan(TICK_S / 2))


def test_a_tick_comes_after_a_step_that_failed():
    taken = []

    async def step():
        taken.append(1)
        raise ValueError

    async def body():
        task = asyncio.ensure_future(every_tick(0.01, step))
        while len(taken) < 3:
            await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(body())
    assert_that(len(taken), GreaterThan(2))
