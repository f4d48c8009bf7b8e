"""The clock of both programs, which goes on while the machine is suspended (CLOCK_BOOTTIME).

Every age, lease, deadline and time-out uses now_s(). The kernel's monotonic clock stops while a
machine is suspended: after a resume a node would take its peers as just heard, its endpoint list as
fresh and its callers as still waiting. Boot time goes on. The time of day may jump, so no decision
depends on it.

On a system without boot time the monotonic clock is used and a suspension goes unnoticed; the event
`node.start` logs which one a node uses.
"""

import asyncio
import time
from collections.abc import Coroutine
from functools import partial
from typing import Any

# Whether now_s() counts the time in which the machine is suspended.
COUNTS_SUSPENSION = hasattr(time, "CLOCK_BOOTTIME")
# Seconds that boot time must gain on the monotonic clock between two checks for the machine to
# count as suspended. Far above the time between two clock reads, and below the shortest suspension
# known to occur, 0.2 s.
SUSPENDED_S = 0.1


def now_s() -> float:
    """Return the current time, in seconds since an origin that is fixed for the process."""
    return _read()


_read = partial(time.clock_gettime, time.CLOCK_BOOTTIME) if COUNTS_SUSPENSION else time.monotonic


def wall_s() -> float:
    """Return the time of day, in seconds since the start of 1970; it may jump.

    Only for values that the platform defines by the time of day; see
    springbridge/duties/true_time.py.
    """
    return time.time()


class SuspensionWatch:
    """Detects suspensions of the machine between two checks."""

    def __init__(self) -> None:
        """Start with a first reading of both clocks."""
        self._ahead_s = _ahead_s()

    def suspended_s(self) -> float:
        """Return the seconds that the machine was suspended since the last check, 0 if not."""
        before_s, self._ahead_s = self._ahead_s, _ahead_s()
        suspended_s = self._ahead_s - before_s
        return suspended_s if suspended_s > SUSPENDED_S else 0.0


def _ahead_s() -> float:
    """Return the lead of boot time over the monotonic clock, in seconds."""
    return now_s() - time.monotonic()


class SuspensionAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use now_s().

    The selector's wait uses the monotonic clock, so a timer that became due during a suspension
    fires with the next event or tick after it, a few hundred milliseconds later at most.
    """

    def time(self) -> float:
        """Return the current time on the clock of all timers."""
        return now_s()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion on an event loop whose clock counts suspensions."""
    with asyncio.Runner(loop_factory=SuspensionAwareLoop) as runner:
        runner.run(main)
