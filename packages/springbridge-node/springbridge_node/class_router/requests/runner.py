"""Runs a request to its end: waits for slots, makes attempts, retries and gives up.

Work that may be repeated goes on at another endpoint from the offset that it reached. Work that may
not be repeated is sent once; when its stream breaks, only the endpoint that has it is asked, by id.
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
from springbridge_node.class_router.requests.work import End, Work, after_start, next_step

# Shortest time for which work that has started stays away from all queues after a refusal.
PARK_S = 0.25


class Runner:
    """Runs requests against endpoints through a slot source."""

    def __init__(self, ports: AttemptPorts):
        """Keep the ports and start with a fresh retry budget.

        The budget is this node's own, a share of its fresh requests. The gateway's stands in the
        library's routing rules, since its platform bounds the retries of all nodes together.
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
        """Run a request into its answer; the answer always ends.

        Args:
          settle: Returns what the caller may be told of the problem with which the request ended.
        """
        self._budget.fresh()
        problem: Problem | None = Problem(Code.INTERNAL)
        try:
            problem = await self._attempts(work, answer)
        finally:
            if not work.request.repeatable:
                self._ports.bindings.finish(work.request.request_id, problem)
            answer.end(settle(problem))

    async def _attempts(self, work: Work, answer: Answer) -> Problem | None:
        """Try until the answer is whole or the request has to be given up."""
        while True:
            match await self._ports.slots.acquire(self._wanted(work)):
                case Failure(problem):
                    if not await self._park(work, problem):
                        return after_start(work, problem)
                    continue
                case Success(slot):
                    end = await SlotAttempt(self._ports, work, slot, answer).run()
            if end is End.WHOLE:
                return None
            if end is End.PREEMPTED:
                work.wait_from_s = self._clock()
            problem = next_step(work, slot.endpoint, end, self._budget)
            if problem is not None:
                return problem

    def _wanted(self, work: Work) -> Attempt:
        """Return what a slot is wanted for; endpoints that failed the work only if all did."""
        endpoints = work.endpoints()
        rest = tuple(endpoint for endpoint in endpoints if endpoint.name not in work.avoid)
        wait_s = work.wait_left_s(self._clock())
        return Attempt(work.request, rest or endpoints, wait_s, work.resumable())

    async def _park(self, work: Work, problem: Problem) -> bool:
        """Keep work that has started away from all queues; return whether it may ask again."""
        if not work.started or not work.request.repeatable:
            return False
        if work.wait_left_s(self._clock()) <= 0:
            return False
        await asyncio.sleep(max(PARK_S, problem.retry_after_s or 0.0))
        return True

    async def resume(self, endpoint: Endpoint, request: Request, answer: Answer) -> bool:
        """Follow a job that an endpoint has by id; return whether the answer became whole."""
        client = self._ports.clients[endpoint.kind]
        return await resume(client, endpoint, request, answer, self._clock)
