"""Periodic tasks that survive exceptions, and pauses that an event cuts short.

An exception in a step is logged by type and line, and the next step runs as usual, so that one
fault does not end a background task for the rest of the process's life. Tasks that sleep until the
next tick share a wake-up, as each wake-up costs a system call and an iteration of the event loop.

Owns the offset of this process's ticks.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from springbridge_node import logs

# Offset of this process's ticks as a fraction of the shortest interval. It is random so that nodes
# that start together do not send their heartbeats together: an update would then wait at each node
# for the next heartbeat.
OFFSET = random.random()
# Shortest interval between ticks, in seconds; the heartbeat interval. Ticks of intervals that are
# multiples of it coincide.
TICK_S = 0.25
# Fraction of an interval by which a timer may fire early. Far more than the resolution of clocks
# and far less than an interval.
EARLY_SHARE = 0.01


def until_tick_s(now_s: float, interval_s: float) -> float:
    """Return the seconds from now_s to the next tick of an interval, which is later than now_s.

    Args:
      now_s: A time on the event loop's clock.
    """
    left_s = interval_s - (now_s - OFFSET * TICK_S) % interval_s
    # A timer may fire a little early; its tick then counts as past.
    return left_s if left_s > EARLY_SHARE * interval_s else left_s + interval_s


async def next_tick(interval_s: float) -> None:
    """Sleep until the next tick of an interval."""
    await asyncio.sleep(until_tick_s(asyncio.get_running_loop().time(), interval_s))


async def every_tick(interval_s: float, step: Callable[[], Awaitable[None]]) -> None:
    """Run a step at each tick of an interval, and log its exceptions."""
    while True:
        await next_tick(interval_s)
        await guarded_step(step)


async def every(
    interval_s: float, step: Callable[[], Awaitable[None]], first_after_s: float = 0.0
) -> None:
    """Run a step repeatedly, and log its exceptions.

    Args:
      interval_s: Pause between the end of a step and the next one, in seconds; 0 for steps that
        wait by themselves.
      first_after_s: Pause before the first step, in seconds.
    """
    await asyncio.sleep(first_after_s)
    while True:
        if not await guarded_step(step):
            # A step that fails before its first await must not starve other tasks.
            await asyncio.sleep(0)
        if interval_s:
            await asyncio.sleep(interval_s)


async def pause(longest_s: float, woken: asyncio.Event) -> None:
    """Wait until an event is set, but at most longest_s seconds."""
    # The timeout is the usual end of this wait, not an error.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(longest_s):
            await woken.wait()


async def guarded_step(step: Callable[[], Awaitable[None]]) -> bool:
    """Run one step of a task, and return whether it ended without an exception, which is logged."""
    try:
        await step()
    except Exception as exc:
        logs.fault(exc, getattr(step, "__qualname__", ""))
        return False
    return True


def guarded(step: Callable[[], None]) -> None:
    """Run one step and log its exception, so that the steps after it run as well."""
    try:
        step()
    except Exception as exc:
        logs.fault(exc, step.__name__)
