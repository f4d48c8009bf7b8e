"""Periodic steps of a node, which go on after a fault, and pauses that an event cuts short.

A step that fails is logged by type and line, and the next one is taken as usual, so that one fault
does not end a background task for the rest of the process's life. Tasks that sleep until the next
tick share a wake-up: each costs a system call and a turn of the event loop.

Owns the offset of this process's ticks.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from springbridge_node import logs

# Offset of this process's ticks as a share of the shortest interval. It is drawn so that nodes
# which start together do not beat together: news would wait at each node for the next beat.
OFFSET = random.random()
# Shortest interval between ticks, in seconds. Ticks of intervals that are multiples of it coincide.
# It is the interval of the heartbeats.
TICK_S = 0.25
# Share of an interval by which a timer may go off early. Far more than the resolution of clocks and
# far less than an interval.
EARLY_SHARE = 0.01


def until_tick_s(now_s: float, interval_s: float) -> float:
    """Return the seconds from a moment to the next tick of an interval, which is not this moment.

    Args:
      now_s: A moment on the event loop's clock.
    """
    left_s = interval_s - (now_s - OFFSET * TICK_S) % interval_s
    # A timer may go off a little early, and its tick is then over.
    return left_s if left_s > EARLY_SHARE * interval_s else left_s + interval_s


async def next_tick(interval_s: float) -> None:
    """Sleep until the next tick of an interval."""
    await asyncio.sleep(until_tick_s(asyncio.get_running_loop().time(), interval_s))


async def every_tick(interval_s: float, step: Callable[[], Awaitable[None]]) -> None:
    """Take a step at each tick of an interval, and log its faults."""
    while True:
        await next_tick(interval_s)
        try:
            await step()
        except Exception as exc:
            logs.fault(exc, getattr(step, "__name__", ""))


async def every(
    interval_s: float, step: Callable[[], Awaitable[None]], first_after_s: float = 0.0
) -> None:
    """Take a step again and again, and log its faults.

    Args:
      interval_s: Pause between the end of a step and the next one, in seconds; 0 for steps that
        wait for something themselves.
      first_after_s: Pause before the first step, in seconds.
    """
    await asyncio.sleep(first_after_s)
    while True:
        try:
            await step()
        except Exception as exc:
            logs.fault(exc, getattr(step, "__name__", ""))
            # A step that fails before it waits for anything must not keep others from running.
            await asyncio.sleep(0)
        if interval_s:
            await asyncio.sleep(interval_s)


async def pause(longest_s: float, woken: asyncio.Event) -> None:
    """Wait until an event is set, but no longer than a time in seconds."""
    # The timeout is the usual end of this wait, not an error.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(longest_s):
            await woken.wait()


def guarded(step: Callable[[], None]) -> None:
    """Take one step and log its fault, so that the steps after it are taken as well."""
    try:
        step()
    except Exception as exc:
        logs.fault(exc, step.__name__)
