"""Runs a request to its end: slots, attempts, preemptions, retries and resumption.

Work that may be repeated goes on at another endpoint from the offset that it reached. Work that may
not be repeated is sent once; when its stream breaks, only the endpoint that has it is asked, by id.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from returns.result import Failure, Success
from springbridge.classes.binding import Bindings
from springbridge.classes.decisions import Outcome
from springbridge.classes.entities import Endpoint, EndpointKind, Request
from springbridge.classes.ports import (
    Attempt,
    EndpointClient,
    EndpointError,
    Job,
    NotAdmittedError,
    Slot,
    SlotSource,
)
from springbridge.classes.retry_budget import RetryBudget
from springbridge.classes.stream import Chunk, StreamCheck
from springbridge.codes import Code
from springbridge.problems import Problem

from springbridge_node.class_router.requests.growing_answers import Answer
from springbridge_node.class_router.requests.work import (
    End,
    Progress,
    Work,
    after_start,
    note,
    outcome_of,
    stall_s_of,
)

# Preemptions that one request has to bear; after them its work counts as fixed and never takes the
# last slot of an endpoint. Not measured.
MAX_PREEMPTIONS = 2
# Endpoints that may turn one request away before it is given up. No budget applies to these
# retries, as nothing ran. Not measured.
MAX_REFUSED_ATTEMPTS = 4
# When the caller of such a request may come back. Not measured.
REFUSED_RETRY_S = 1.0
# Interval of looking for a stall, an eighth of the shortest silence that counts as one. Not
# measured.
WATCH_INTERVAL_S = 0.25
# Interval of reporting a stream's latencies to its scheduler. Measured: a sample costs 50 us, which
# is 5.8% of a core for 580 streams at the planned size (docs/CAPACITY.md); shorter costs more.
SAMPLE_INTERVAL_S = 0.5
# Tries to resume a stream by its id at the endpoint that has it: with the pause, an endpoint that
# refuses connections for 2 s does not cost the request. Not measured.
RESUME_TRIES = 8
# Pause between two of these tries. Not measured.
RESUME_PAUSE_S = 0.25
# Shortest time for which work that has started stays away from all queues after a refusal. Not
# measured.
PARK_S = 0.25


class Runner:
    """Runs requests against endpoints through a slot source."""

    def __init__(
        self,
        slots: SlotSource,
        clients: dict[EndpointKind, EndpointClient],
        bindings: Bindings,
        clock: Callable[[], float],
    ):
        """Keep the ports."""
        self._slots = slots
        self._clients = clients
        self._bindings = bindings
        self._clock = clock
        self._budget = RetryBudget()

    async def run(
        self,
        work: Work,
        answer: Answer,
        settle: Callable[[Problem | None], Problem | None] = lambda problem: problem,
    ) -> None:
        """Run a request into its answer; the answer always ends.

        Args:
          settle: Returns what may be told of the problem with which the request ended.
        """
        self._budget.fresh()
        problem: Problem | None = Problem(Code.INTERNAL)
        try:
            problem = await self._attempts(work, answer)
        finally:
            if work.bound:
                self._bindings.finish(work.request.request_id, problem)
            answer.end(settle(problem))

    async def _attempts(self, work: Work, answer: Answer) -> Problem | None:
        """Try until the answer is whole or the request has to be given up."""
        while True:
            match await self._slots.acquire(self._attempt_for(work)):
                case Failure(problem):
                    if not await self._park(work, problem):
                        return after_start(work, problem)
                    continue
                case Success(slot):
                    end = await self._attempt(work, slot, answer)
            if end is End.WHOLE:
                return None
            problem = self._next(work, slot, end)
            if problem is not None:
                return problem

    def _attempt_for(self, work: Work) -> Attempt:
        """Return what to ask a slot for, without those that failed it if others are."""
        endpoints = work.endpoints()
        rest = tuple(endpoint for endpoint in endpoints if endpoint.name not in work.avoid)
        resumable = work.request.repeatable and work.preemptions < MAX_PREEMPTIONS
        return Attempt(work.request, rest or endpoints, self._wait_left_s(work), resumable)

    def _wait_left_s(self, work: Work) -> float:
        waited_s = self._clock() - work.wait_from_s
        return max(0.0, work.request.max_wait_s - waited_s)

    async def _park(self, work: Work, problem: Problem) -> bool:
        """Keep work that has started, away from all queues, until it may ask again."""
        if not work.started or not work.request.repeatable:
            return False
        if self._wait_left_s(work) <= 0:
            return False
        await asyncio.sleep(max(PARK_S, problem.retry_after_s or 0.0))
        return True

    def _next(self, work: Work, slot: Slot, end: End) -> Problem | None:
        """Return None to try again, or the problem that ends the request."""
        if end is End.PREEMPTED:
            work.preemptions += 1
            work.wait_from_s = self._clock()
            return None
        work.avoid.add(slot.endpoint.name)
        if end is End.TURNED_AWAY:
            work.refused_attempts += 1
            if work.refused_attempts >= MAX_REFUSED_ATTEMPTS:
                return after_start(work, Problem(Code.NO_ENGINE, retry_after_s=REFUSED_RETRY_S))
            return None
        if not work.request.repeatable:
            return Problem(Code.OUTCOME_UNKNOWN, "the engine's stream broke", slot.endpoint.name)
        if not self._budget.try_retry():
            return Problem(Code.ENGINE_FAILED, "no retry left in the budget", slot.endpoint.name)
        return None

    async def _attempt(self, work: Work, slot: Slot, answer: Answer) -> End:
        """Use one slot and give it back."""
        work.attempts += 1
        progress = Progress(self._clock())
        outcome = Outcome.CANCELLED
        try:
            end = await self._run_watched(work, slot, answer, progress)
            outcome = outcome_of(end)
            return end
        finally:
            if outcome is not Outcome.DONE and work.request.repeatable:
                self._cancel_at_endpoint(work.job_id(), slot.endpoint)
            self._slots.release(slot, outcome, progress.sample(slot.ask_id))

    def _cancel_at_endpoint(self, job_id: str, endpoint: Endpoint) -> None:
        """Stop the endpoint's work in the background."""
        client = self._clients[endpoint.kind]
        task = asyncio.ensure_future(client.cancel(endpoint, job_id))
        # The exception is read so that asyncio doesn't report it. None is logged: the attempt has
        # failed already, and an endpoint that is gone cannot be cancelled either.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def _run_watched(self, work: Work, slot: Slot, answer: Answer, progress: Progress) -> End:
        """Run one attempt, stopped by a preemption or a stall."""
        pump = asyncio.ensure_future(self._pump(work, slot, answer, progress))
        watchers = [
            asyncio.ensure_future(self._watch_preemption(slot, progress, pump)),
            asyncio.ensure_future(self._watch_stall(work, slot, progress, pump)),
        ]
        try:
            return await pump
        except asyncio.CancelledError:
            if progress.preempted:
                return End.PREEMPTED
            if progress.stalled:
                return await self._after_break(work, slot, answer)
            pump.cancel()
            raise
        except NotAdmittedError:
            if work.bound:
                self._bindings.undo_dispatch(work.request.request_id)
            return End.TURNED_AWAY
        except EndpointError:
            return await self._after_break(work, slot, answer)
        finally:
            for watcher in watchers:
                watcher.cancel()

    async def _watch_preemption(self, slot: Slot, progress: Progress, pump) -> None:
        await self._slots.preempted(slot)
        progress.preempted = True
        pump.cancel()

    async def _watch_stall(self, work: Work, slot: Slot, progress: Progress, pump) -> None:
        """Report samples now and then, and stop an attempt that brings nothing for long."""
        stall_s = stall_s_of(work.request, slot.endpoint)
        reported_s = progress.started_s
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            now_s = self._clock()
            if now_s - max(progress.started_s, progress.last_s) > stall_s:
                progress.stalled = True
                pump.cancel()
                return
            if progress.tokens and now_s - reported_s >= SAMPLE_INTERVAL_S:
                reported_s = now_s
                self._slots.sample(slot, progress.sample(slot.ask_id))

    async def _pump(self, work: Work, slot: Slot, answer: Answer, progress: Progress) -> End:
        """Send the job and move its chunks into the answer."""
        request = work.request
        if work.bound:
            match self._bindings.begin_dispatch(request.request_id):
                case Failure(problem):
                    raise EndpointError(problem.sentence())
        job = Job(
            work.job_id(),
            int(request.request_class.tier),
            answer.offset,
            answer.text() if answer.offset else "",
            work.body,
            work.path,
        )
        client = self._clients[slot.endpoint.kind]
        work.started = True
        try:
            return await self._read(
                client.run(slot.endpoint, job), job.request_id, answer, progress
            )
        except NotAdmittedError:
            work.started = answer.offset > 0 or work.preemptions > 0
            raise

    async def _read(
        self,
        chunks: AsyncIterator[Chunk],
        job_id: str,
        answer: Answer,
        progress: Progress,
    ) -> End:
        """Check chunks and append them to the answer."""
        check = StreamCheck(job_id, answer.offset)
        async for chunk in chunks:
            match check.accept(chunk):
                case Failure(problem):
                    raise EndpointError(problem.sentence())
                case Success(Chunk() as fresh):
                    note(progress, fresh, self._clock())
                    answer.add(fresh)
                    if fresh.last:
                        return End.WHOLE
        raise EndpointError(check.finish().failure().sentence())

    async def _after_break(self, work: Work, slot: Slot, answer: Answer) -> End:
        """Ask the endpoint to go on with a broken stream of work that may not be repeated."""
        if work.request.repeatable:
            return End.BROKEN
        if await self.resume(slot.endpoint, work.request, answer):
            return End.WHOLE
        return End.BROKEN

    async def resume(self, endpoint: Endpoint, request: Request, answer: Answer) -> bool:
        """Follow a job that an endpoint has by id; return whether the answer became whole."""
        client = self._clients[endpoint.kind]
        for _ in range(RESUME_TRIES):
            progress = Progress(self._clock())
            chunks = client.resume(endpoint, request.request_id, answer.offset)
            reading = self._read(chunks, request.request_id, answer, progress)
            stall_s = stall_s_of(request, endpoint)
            try:
                await _with_stall(reading, progress, stall_s, self._clock)
                return True
            except NotAdmittedError:
                return False
            except (EndpointError, TimeoutError):
                # Tried again; after the last try the request's final code is logged.
                await asyncio.sleep(RESUME_PAUSE_S)
        return False


async def _with_stall(reading, progress: Progress, stall_s: float, clock) -> None:
    """Await a reading that is stopped when it brings nothing for stall_s."""
    task = asyncio.ensure_future(reading)
    while True:
        done, _ = await asyncio.wait([task], timeout=WATCH_INTERVAL_S)
        if done:
            task.result()
            return
        if clock() - max(progress.started_s, progress.last_s) > stall_s:
            task.cancel()
            raise TimeoutError
