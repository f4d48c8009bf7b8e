"""Baseline slot policies for comparison, selected by ``--policy``; never the default.

docs/design/scheduling.md compares the scheduler with them.
"""

import asyncio
import itertools
from collections.abc import Callable

from returns.result import Failure, Result, Success

from springbridge.classes.decisions import Outcome, Sample
from springbridge.classes.entities import Endpoint
from springbridge.classes.ports import Attempt, Slot
from springbridge.classes.retry_times import NO_ENDPOINT_S
from springbridge.codes import Code
from springbridge.problems import Problem

# Slots that each node uses at an endpoint; with four nodes, an endpoint runs up to 24 streams.
SLOTS_PER_ENDPOINT = 6


class _LocalSlots:
    """Base of policies in which each node has a fixed number of slots at each endpoint, FIFO."""

    def __init__(self) -> None:
        self._free: dict[str, asyncio.Semaphore] = {}
        self._numbers = itertools.count(1)

    def _pick(self, attempt: Attempt) -> Endpoint:
        raise NotImplementedError

    async def acquire(self, attempt: Attempt) -> Result[Slot, Problem]:
        """Queue at the chosen endpoint until the attempt's wait is over."""
        if not attempt.endpoints:
            return Failure(Problem(Code.NO_ENGINE, retry_after_s=NO_ENDPOINT_S))
        endpoint = self._pick(attempt)
        free = self._free.setdefault(endpoint.name, asyncio.Semaphore(SLOTS_PER_ENDPOINT))
        try:
            async with asyncio.timeout(attempt.wait_s):
                await free.acquire()
        except TimeoutError:
            return Failure(Problem(Code.WAIT_EXPIRED, retry_after_s=NO_ENDPOINT_S))
        return Success(Slot(str(next(self._numbers)), endpoint))

    def sample(self, slot: Slot, sample: Sample) -> None:
        """Ignore the sample; baselines don't adapt."""

    def release(self, slot: Slot, outcome: Outcome, sample: Sample) -> None:
        """Give the slot to the next attempt in the queue."""
        self._free[slot.endpoint.name].release()

    async def preempted(self, slot: Slot) -> None:
        """Never return: baselines do not preempt."""
        await asyncio.Event().wait()


class RoundRobinSlots(_LocalSlots):
    """Round robin over the endpoints, separately on each node."""

    def __init__(self) -> None:
        super().__init__()
        self._turns = itertools.count()

    def _pick(self, attempt: Attempt) -> Endpoint:
        return attempt.endpoints[next(self._turns) % len(attempt.endpoints)]


class LeastLoadSlots(_LocalSlots):
    """Selects the endpoint with the least load by its last report, which lags."""

    def __init__(self, reported_load: Callable[[Endpoint], float]):
        super().__init__()
        self._reported_load = reported_load

    def _pick(self, attempt: Attempt) -> Endpoint:
        return min(attempt.endpoints, key=self._reported_load)
