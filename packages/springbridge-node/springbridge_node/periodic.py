"""Periodic steps of a node, which go on after a fault.

Owns nothing. A step that fails is logged by type and line, and the next one is taken as usual, so
that one fault does not end a background task for the rest of the process's life.
"""

import asyncio
from collections.abc import Awaitable, Callable

from springbridge_node import logs


async def every(
    interval_s: float, step: Callable[[], Awaitable[None]], first_after_s: float = 0.0
) -> None:
    """Take a step again and again, and log its faults.

    Args:
      interval_s: Pause between the end of a step and the next one, in seconds.
      first_after_s: Pause before the first step, in seconds.
    """
    await asyncio.sleep(first_after_s)
    while True:
        try:
            await step()
        except Exception as exc:
            logs.fault(exc, getattr(step, "__name__", ""))
        await asyncio.sleep(interval_s)


def guarded(step: Callable[[], None]) -> None:
    """Take one step and log its fault, so that the steps after it are taken as well."""
    try:
        step()
    except Exception as exc:
        logs.fault(exc, step.__name__)
