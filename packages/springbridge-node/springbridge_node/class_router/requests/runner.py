"""Runs a request to its end: acquires slots, makes attempts, retries or fails.

Repeatable work continues at another endpoint from the offset that it reached. Work that is not
repeatable is sent once; when its stream breaks, it is only resumed by id at the same endpoint.
"""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Success
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.ports import Attempt
from springbridge.classes.retry_budget import RetryBudget
from springbridge.codes import Code
from springbridge.problems import Problem

from springbridge_node.class_router.requests.growing_answers import Answer
from springbridge_node.class_router.requests.resumption import resume
from springbridge_node.class_router.requests.slot_attempt import AttemptPorts, SlotAttempt
from springbridge_node.class_router.requests.work import (
    AttemptEnd,
    Work,
    adjust_if_started,
    record_failed_attempt,
)

# Minimum pause before work that has started is queued again after a scheduler refused it.
MIN_REQUEUE_DELAY_S = 0.25


class Runner:
    """Runs requests against endpoints through a slot source."""

    def __init__(self, ports: AttemptPorts):
        """Store the dependencies and start with a fresh retry budget.

        The budget belongs to this node and is a fraction of its first attempts. The gateway's is
        part of the library's routing rules, since its platform limits the retries of all nodes
        together.
        """
        self._ports = ports
        self._clock = ports.clock
        self._budget = RetryBudget()

    async def run(
        self,
        work: Work,
        answer: Answer,
        settle: Callable[[Problem | None], Problem | None] = lambda problem: problem,
    ) -> None:
        """Run a request and write its answer; the answer always ends.

        Args:
          settle: Returns the problem to report to the caller, given the one that ended the request.
        """
        self._budget.fresh()
        problem: Problem | None = Problem(Code.INTERNAL)
        try:
            problem = await self._run_attempts(work, answer)
        finally:
            if not work.request.repeatable:
                self._ports.bindings.finish(work.request.request_id, problem)
            answer.end(settle(problem))

    async def _run_attempts(self, work: Work, answer: Answer) -> Problem | None:
        """Make attempts until the answer is complete or the request has failed."""
        while True:
            match await self._ports.slots.acquire(self._next_attempt(work)):
                case Failure(problem):
                    if not await self._wait_to_requeue(work, problem):
                        return adjust_if_started(work, problem)
                    continue
                case Success(slot):
                    end = await SlotAttempt(self._ports, work, slot, answer).run()
            if end is AttemptEnd.COMPLETED:
                return None
            if end is AttemptEnd.PREEMPTED:
                work.wait_start_s = self._clock()
            problem = record_failed_attempt(work, slot.endpoint, end, self._budget)
            if problem is not None:
                return problem

    def _next_attempt(self, work: Work) -> Attempt:
        """Return the next attempt; it excludes endpoints that failed the work unless all did."""
        endpoints = work.endpoints()
        untried = tuple(endpoint for endpoint in endpoints if endpoint.name not in work.avoid)
        wait_s = work.wait_left_s(self._clock())
        return Attempt(work.request, untried or endpoints, wait_s, work.preemptible())

    async def _wait_to_requeue(self, work: Work, problem: Problem) -> bool:
        """Pause work that has started; return whether it may ask for a slot again."""
        if not work.started or not work.request.repeatable:
            return False
        if work.wait_left_s(self._clock()) <= 0:
            return False
        await asyncio.sleep(max(MIN_REQUEUE_DELAY_S, problem.retry_after_s or 0.0))
        return True

    async def resume(self, endpoint: Endpoint, request: Request, answer: Answer) -> bool:
        """Resume a job by its id at an endpoint; return whether the answer was completed."""
        client = self._ports.clients[endpoint.kind]
        return await resume(client, endpoint, request, answer, self._clock)
