"""Reads an endpoint's stream into an answer, and resumes a broken stream by its job id.

Resuming never starts a job: an endpoint that does not know the id refuses. Each chunk is checked
for the request's id and for gaps before it is added to the answer.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine

from returns.result import Failure, Success
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.ports import EndpointClient, EndpointError, NotAdmittedError
from springbridge.classes.stream import Chunk, StreamCheck

from springbridge_node.class_router.requests.growing_answers import Answer
from springbridge_node.class_router.requests.progress import Progress, stall_timeout_s

# Interval of the stall check, an eighth of MIN_STALL_S.
STALL_CHECK_INTERVAL_S = 0.25
# Attempts to resume a stream by its id at the endpoint that has it. With the pause between them the
# request survives an endpoint that refuses connections for 2 s.
MAX_RESUME_ATTEMPTS = 8
# Pause between two of these attempts.
RESUME_PAUSE_S = 0.25

Clock = Callable[[], float]


async def read_into(
    answer: Answer,
    chunks: AsyncIterator[Chunk],
    job_id: str,
    progress: Progress,
    clock: Clock,
) -> None:
    """Append an endpoint's chunks to the answer until it is complete.

    Raises:
      NotAdmittedError: The endpoint does not have the job.
      EndpointError: The stream broke, or its chunks do not continue this answer.
    """
    check = StreamCheck(job_id, answer.offset)
    async for chunk in chunks:
        match check.accept(chunk):
            case Failure(problem):
                raise EndpointError(problem.sentence())
            case Success(Chunk() as fresh):
                progress.note(fresh, clock())
                answer.add(fresh)
                if fresh.last:
                    return
    raise EndpointError(check.finish().failure().sentence())


async def resume(
    client: EndpointClient, endpoint: Endpoint, request: Request, answer: Answer, clock: Clock
) -> bool:
    """Resume a job by its id at an endpoint; return whether the answer was completed."""
    stall_s = stall_timeout_s(request, endpoint)
    for _ in range(MAX_RESUME_ATTEMPTS):
        progress = Progress(clock())
        chunks = client.resume(endpoint, request.request_id, answer.offset)
        reading = read_into(answer, chunks, request.request_id, progress, clock)
        try:
            await _read_unless_stalled(reading, progress, stall_s, clock)
            return True
        except NotAdmittedError:
            return False
        except (EndpointError, TimeoutError):
            # Tried again; after the last attempt the request's final code is logged.
            await asyncio.sleep(RESUME_PAUSE_S)
    return False


async def _read_unless_stalled(
    reading: Coroutine[None, None, None], progress: Progress, stall_s: float, clock: Clock
) -> None:
    """Await the reading of a stream.

    Raises:
      TimeoutError: No chunk arrived for stall_s, and the reading was cancelled.
    """
    task = asyncio.ensure_future(reading)
    try:
        while not task.done():
            await asyncio.wait([task], timeout=STALL_CHECK_INTERVAL_S)
            if not task.done() and progress.silence_s(clock()) > stall_s:
                raise TimeoutError
        task.result()
    finally:
        # Also if the request that waits here was cancelled; one that is done stays as it is.
        task.cancel()
