"""Steps that a node takes again and again."""

import asyncio
from collections.abc import Awaitable, Callable

from springbridge_node import logs


async def every(
    interval_s: float, step: Callable[[], Awaitable[None]], first_after_s: float = 0.0
) -> None:
    """Take a step again and again; a fault in one is logged and does not end the task."""
    await asyncio.sleep(first_after_s)
    while True:
        try:
            await step()
        except Exception as exc:
            logs.fault(exc, getattr(step, "__name__", ""))
        await asyncio.sleep(interval_s)


def guarded(step: Callable[[], None]) -> None:
    """Take one step; a fault in it is logged and does not end the others."""
    try:
        step()
    except Exception as exc:
        logs.fault(exc, step.__name__)
