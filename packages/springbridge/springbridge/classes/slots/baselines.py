"""Baseline policies that springbridge is measured against; never the default."""

import asyncio
import itertools
from collections.abc import Callable

from returns.result import Failure, Result, Success

from springbridge.classes.decisions import Outcome, Sample
from springbridge.classes.entities import Engine
from springbridge.classes.ports import Attempt, Slot
from springbridge.codes import Code
from springbridge.problems import Problem

SLOTS_PER_ENGINE = 6


class _LocalSlots:
    """First-in first-out waiting at each node for a fixed number of slots per engine."""

    def __init__(self) -> None:
        self._free: dict[str, asyncio.Semaphore] = {}
        self._numbers = itertools.count(1)

    def _pick(self, attempt: Attempt) -> Engine:
        raise NotImplementedError

    async def acquire(self, attempt: Attempt) -> Result[Slot, Problem]:
        """Wait in line at the picked engine until the attempt's time is over."""
        if not attempt.engines:
            return Failure(Problem(Code.NO_ENGINE, retry_after_s=1.0))
        engine = self._pick(attempt)
        free = self._free.setdefault(engine.name, asyncio.Semaphore(SLOTS_PER_ENGINE))
        try:
            async with asyncio.timeout(attempt.wait_s):
                await free.acquire()
        except TimeoutError:
            return Failure(Problem(Code.WAIT_EXPIRED, retry_after_s=1.0))
        return Success(Slot(str(next(self._numbers)), engine))

    def sample(self, slot: Slot, sample: Sample) -> None:
        """Learn nothing."""

    def release(self, slot: Slot, outcome: Outcome, sample: Sample) -> None:
        """Let the next in line go."""
        self._free[slot.engine.name].release()

    async def preempted(self, slot: Slot) -> None:
        """Never return: baselines do not preempt."""
        await asyncio.Event().wait()


class RoundRobinSlots(_LocalSlots):
    """Each node takes the engines in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._turns = itertools.count()

    def _pick(self, attempt: Attempt) -> Engine:
        return attempt.engines[next(self._turns) % len(attempt.engines)]


class LeastLoadSlots(_LocalSlots):
    """Each node takes the engine whose lagging report shows the least load."""

    def __init__(self, reported_load: Callable[[Engine], float]):
        super().__init__()
        self._reported_load = reported_load

    def _pick(self, attempt: Attempt) -> Engine:
        return min(attempt.engines, key=self._reported_load)
