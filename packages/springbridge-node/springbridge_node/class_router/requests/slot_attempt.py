"""One attempt: sends a request's job to the endpoint of a slot and reads the answer.

Owns the attempt's tasks: one reads the stream, one waits for a preemption, one checks for stalls
and reports latencies. The slot is always released.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure
from springbridge.classes.binding import RequestRecords
from springbridge.classes.decisions import Outcome
from springbridge.classes.entities import EndpointKind
from springbridge.classes.ports import (
    EndpointClient,
    EndpointError,
    Job,
    NotAdmittedError,
    Slot,
    SlotSource,
)

from springbridge_node.class_router.requests.growing_answers import Answer
from springbridge_node.class_router.requests.progress import Progress, stall_timeout_s
from springbridge_node.class_router.requests.resumption import (
    STALL_CHECK_INTERVAL_S,
    read_into,
    resume,
)
from springbridge_node.class_router.requests.work import AttemptEnd, Work, outcome_of

# Interval of reporting a stream's latencies to its scheduler.
SAMPLE_INTERVAL_S = 0.5


@dataclass(frozen=True)
class AttemptPorts:
    """Dependencies of attempts; the clock is monotonic, in seconds."""

    slots: SlotSource
    clients: dict[EndpointKind, EndpointClient]
    bindings: RequestRecords
    clock: Callable[[], float]


class SlotAttempt:
    """One attempt of a request in one slot."""

    def __init__(self, ports: AttemptPorts, work: Work, slot: Slot, answer: Answer):
        """Start the attempt's clock; nothing is sent yet."""
        self._slots = ports.slots
        self._bindings = ports.bindings
        self._clock = ports.clock
        self._client = ports.clients[slot.endpoint.kind]
        self._work = work
        self._slot = slot
        self._answer = answer
        self._progress = Progress(ports.clock())
        self._preempted = False
        self._stalled = False

    async def run(self) -> AttemptEnd:
        """Run the job in the slot, release the slot, and return how the attempt ended."""
        self._work.attempts += 1
        outcome = Outcome.CANCELLED
        try:
            end = await self._run_watched()
            outcome = outcome_of(end)
            return end
        finally:
            if outcome is not Outcome.DONE and self._work.request.repeatable:
                self._cancel_at_endpoint()
            sample = self._progress.sample(self._slot.slot_request_id)
            self._slots.release(self._slot, outcome, sample)

    def _cancel_at_endpoint(self) -> None:
        """Cancel the job at the endpoint, in the background."""
        cancelling = self._client.cancel(self._slot.endpoint, self._work.job_id())
        task = asyncio.ensure_future(cancelling)
        # The exception is read so that asyncio doesn't report it. It isn't logged: the attempt has
        # failed already, and an endpoint that is gone can't be sent a cancellation either.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def _run_watched(self) -> AttemptEnd:
        """Send the job and read its answer until the end, a preemption or a stall."""
        reading = asyncio.ensure_future(self._send_and_read())
        watchers = [
            asyncio.ensure_future(self._watch_preemption(reading)),
            asyncio.ensure_future(self._watch_stall(reading)),
        ]
        try:
            await reading
            return AttemptEnd.COMPLETED
        except asyncio.CancelledError:
            if self._preempted:
                return AttemptEnd.PREEMPTED
            if self._stalled:
                return await self._resume_broken_stream()
            reading.cancel()
            raise
        except NotAdmittedError:
            if not self._work.request.repeatable:
                self._bindings.undo_dispatch(self._work.request.request_id)
            return AttemptEnd.NOT_ADMITTED
        except EndpointError:
            return await self._resume_broken_stream()
        finally:
            for watcher in watchers:
                watcher.cancel()

    async def _watch_preemption(self, reading: asyncio.Future[None]) -> None:
        await self._slots.preempted(self._slot)
        self._preempted = True
        reading.cancel()

    async def _watch_stall(self, reading: asyncio.Future[None]) -> None:
        """Report latencies every SAMPLE_INTERVAL_S, and cancel the reading of a stalled stream."""
        stall_s = stall_timeout_s(self._work.request, self._slot.endpoint)
        reported_s = self._progress.started_s
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            now_s = self._clock()
            if self._progress.silence_s(now_s) > stall_s:
                self._stalled = True
                reading.cancel()
                return
            if self._progress.tokens and now_s - reported_s >= SAMPLE_INTERVAL_S:
                reported_s = now_s
                self._slots.sample(self._slot, self._progress.sample(self._slot.slot_request_id))

    async def _send_and_read(self) -> None:
        """Send the job and read its chunks into the answer.

        A request that is not repeatable is first recorded as dispatched, atomically with the check
        that it was not dispatched before.
        """
        work = self._work
        if not work.request.repeatable:
            match self._bindings.begin_dispatch(work.request.request_id):
                case Failure(problem):
                    raise EndpointError(problem.sentence())
        job = self._job()
        work.started = True
        try:
            chunks = self._client.run(self._slot.endpoint, job)
            await read_into(self._answer, chunks, job.request_id, self._progress, self._clock)
        except NotAdmittedError:
            work.started = self._answer.offset > 0 or work.preemptions > 0
            raise

    def _job(self) -> Job:
        """Return the job, which continues after the part of the answer that exists already."""
        work, answer = self._work, self._answer
        return Job(
            work.job_id(),
            int(work.request.request_class.tier),
            answer.offset,
            answer.text() if answer.offset else "",
            work.body,
            work.path,
        )

    async def _resume_broken_stream(self) -> AttemptEnd:
        """Resume a broken stream at the endpoint if the request is not repeatable."""
        request = self._work.request
        if request.repeatable:
            return AttemptEnd.STREAM_BROKEN
        endpoint = self._slot.endpoint
        if await resume(self._client, endpoint, request, self._answer, self._clock):
            return AttemptEnd.COMPLETED
        return AttemptEnd.STREAM_BROKEN
