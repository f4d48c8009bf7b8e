"""Reads an endpoint's stream into an answer, and follows a job again by its id.

Following never starts a job: an endpoint that does not know the id says so. Each chunk is checked
for the request's id and for gaps before it reaches the answer.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine

from returns.result import Failure, Success
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.ports import EndpointClient, EndpointError, NotAdmittedError
from springbridge.classes.stream import Chunk, StreamCheck

from springbridge_node.class_router.requests.growing_answers import Answer
from springbridge_node.class_router.requests.progress import Progress, stall_s_of

# Interval of looking for a stall, an eighth of the shortest silence that counts as one.
WATCH_INTERVAL_S = 0.25
# Tries to resume a stream by its id at the endpoint that has it: with the pause, an endpoint that
# refuses connections for 2 s does not cost the request.
RESUME_TRIES = 8
# Pause between two of these tries.
RESUME_PAUSE_S = 0.25

Clock = Callable[[], float]


async def read_into(
    answer: Answer,
    chunks: AsyncIterator[Chunk],
    job_id: str,
    progress: Progress,
    clock: Clock,
) -> None:
    """Append an endpoint's chunks to the answer until it is whole.

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
    """Follow a job that an endpoint has by id; return whether the answer became whole."""
    stall_s = stall_s_of(request, endpoint)
    for _ in range(RESUME_TRIES):
        progress = Progress(clock())
        chunks = client.resume(endpoint, request.request_id, answer.offset)
        reading = read_into(answer, chunks, request.request_id, progress, clock)
        try:
            await _unless_stalled(reading, progress, stall_s, clock)
            return True
        except NotAdmittedError:
            return False
        except (EndpointError, TimeoutError):
            # Tried again; after the last try the request's final code is logged.
            await asyncio.sleep(RESUME_PAUSE_S)
    return False


async def _unless_stalled(
    reading: Coroutine[None, None, None], progress: Progress, stall_s: float, clock: Clock
) -> None:
    """Await a reading.

    Raises:
      TimeoutError: It brought nothing for stall_s and was stopped.
    """
    task = asyncio.ensure_future(reading)
    while True:
        done, _ = await asyncio.wait([task], timeout=WATCH_INTERVAL_S)
        if done:
            task.result()
            return
        if progress.silence_s(clock()) > stall_s:
            task.cancel()
            raise TimeoutError
