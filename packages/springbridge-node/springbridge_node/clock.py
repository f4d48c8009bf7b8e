"""The clock of both programs: seconds that also count while the machine is suspended.

Every age, lease, deadline and time-out goes by now_s(). The kernel's steady clock stands still
while a machine is suspended: a node that woke would take its peers as just heard, its list as fresh
and its callers as still waiting. Boot time goes on. The time of day, which may jump, decides
nothing.

Where the system has no boot time, the steady clock takes its place and a suspension goes unnoticed;
`node.start` says which one a node uses.
"""

import asyncio
import time
from collections.abc import Coroutine
from functools import partial
from typing import Any

# Whether now_s() counts the time in which the machine is suspended.
COUNTS_SUSPENSION = hasattr(time, "CLOCK_BOOTTIME")
# Seconds by which boot time has to run ahead of the steady clock between two looks for the machine
# to count as suspended. Far above the time between two readings of clocks, and below the shortest
# suspension that is told of, 0.2 s.
SUSPENDED_S = 0.1


def now_s() -> float:
    """Return the moment, in seconds from a start that never changes while the process runs."""
    return _read()


_read = partial(time.clock_gettime, time.CLOCK_BOOTTIME) if COUNTS_SUSPENSION else time.monotonic


def wall_s() -> float:
    """Return the time of day, in seconds since the start of 1970; it may jump.

    Only for what the platform counts by the time of day; see springbridge/duties/true_time.py.
    """
    return time.time()


class SuspensionWatch:
    """Notices that the machine was suspended since the last look."""

    def __init__(self) -> None:
        """Take the first look."""
        self._ahead_s = _ahead_s()

    def suspended_s(self) -> float:
        """Return for how many seconds the machine was suspended since the last look, 0 if not."""
        before_s, self._ahead_s = self._ahead_s, _ahead_s()
        suspended_s = self._ahead_s - before_s
        return suspended_s if suspended_s > SUSPENDED_S else 0.0


def _ahead_s() -> float:
    """Return by how much boot time is ahead of the steady clock, in seconds."""
    return now_s() - time.monotonic()


class SuspensionAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers go by now_s().

    The kernel's own wait goes by the steady clock, so a timer whose moment passed in a suspension
    goes off with the next event or tick after it, some hundred milliseconds at the most.
    """

    def time(self) -> float:
        """Return the moment on the clock of all timers."""
        return now_s()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on a loop that counts suspensions."""
    with asyncio.Runner(loop_factory=SuspensionAwareLoop) as runner:
        runner.run(main)
