"""Reads an endpoint's answer: its head, within a time limit, its whole body, and how it ended.

The head is matched to the request by id, so that a stale answer of another request on the same
connection is skipped.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from springbridge_node.gateway.http.answer_end import DOUBTFUL_ENDS, AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.http.http_connection import HttpConnection
from springbridge_node.gateway.http.http_head import Head
from springbridge_node.gateway.requests.request_codec import RequestCodec

# Answers that are read from a connection in search of the right one before it counts as broken.
# Bounds the reading from an endpoint that mixes up its answers.
MAX_ANSWERS_READ = 3
# Bytes of a failure that are kept until another endpoint has been tried. What is beyond says no
# more to its caller than its status does.
MAX_HELD_BYTES = 256 << 10
# Bytes of a body that nobody needs, and seconds to wait for them, after which its connection is
# closed instead of used again. A new connection takes about as long.
MAX_DISCARDED_BYTES = 64 << 10
DISCARD_TIMEOUT_S = 0.05


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """An endpoint's answer, whose head was read.

    Attributes:
      verify_end: Returns how it ended if its connection was closed in order and nothing else marks
        its end.
    """

    connection: HttpConnection
    head: Head
    verify_end: Callable[[], Awaitable[AnswerEnd]]

    def pieces(self) -> AsyncIterator[bytes]:
        """Yield its body in pieces as they arrive; see `HttpConnection.read_body`."""
        return self.connection.read_body(self.head)


class AnswerTimeoutError(Exception):
    """An endpoint did not begin its answer in time."""


async def read_head_within(
    seconds: float | None, connection: HttpConnection, codec: RequestCodec, request_id: str
) -> Head:
    """Return the head of the answer to a request.

    Args:
      seconds: How long to wait for it, or None for no limit but the request's deadline.

    Raises:
      AnswerTimeoutError: It did not arrive in time.
      AnswerBrokenError: The connection ended, or carried only answers of other requests.
    """
    limit = asyncio.timeout(seconds)
    try:
        async with limit:
            return await _read_own_head(connection, codec, request_id)
    except TimeoutError as exc:
        if limit.expired():
            raise AnswerTimeoutError from exc
        raise


async def _read_own_head(connection: HttpConnection, codec: RequestCodec, request_id: str) -> Head:
    """Return the head of the answer that belongs to a request, skipping stale answers.

    Endpoints repeat the id of a request in their answer. One without is of another program, such
    as an instance, which has the endpoint's address or is named by an odd entry.
    """
    for _ in range(MAX_ANSWERS_READ):
        head = await connection.read_head()
        answered = codec.answer_metadata(head).request_id
        if answered == request_id:
            return head
        if not answered:
            raise AnswerBrokenError(AnswerEnd.INVALID, "not an endpoint's answer")
        if head.unframed:
            break
        await connection.read_whole_body(head, MAX_DISCARDED_BYTES)
    raise AnswerBrokenError(AnswerEnd.INVALID, "only answers of other requests")


async def read_whole_body(answer: EndpointAnswer) -> tuple[bytes, AnswerEnd]:
    """Return the whole body of an answer, and how it ended.

    Raises:
      AnswerBrokenError: It was broken off, or is larger than MAX_HELD_BYTES.
    """
    body = await answer.connection.read_whole_body(answer.head, MAX_HELD_BYTES)
    return body, await check_end(answer)


async def discard_body(answer: EndpointAnswer) -> AnswerEnd:
    """Read a body that nobody needs, if it is short, so that its connection can be used again.

    Returns:
      How it ended; UNREAD if the rest of it was left, whose connection has to be closed.

    Raises:
      AnswerBrokenError: It was broken off.
    """
    limit = asyncio.timeout(DISCARD_TIMEOUT_S)
    try:
        async with limit:
            await answer.connection.read_whole_body(answer.head, MAX_DISCARDED_BYTES)
    except TimeoutError:
        if limit.expired():
            return AnswerEnd.UNREAD
        raise
    except AnswerBrokenError as exc:
        if exc.end is AnswerEnd.OVERSIZED:
            return AnswerEnd.UNREAD
        raise
    return await check_end(answer)


async def check_end(answer: EndpointAnswer, is_inside_event: bool = False) -> AnswerEnd:
    """Return how an answer ended whose pieces were all read.

    Args:
      is_inside_event: Whether its last bytes are part of an event that has not ended. That decides
        where only the connection marks the end, as any program's end closes it in order.

    Raises:
      AnswerBrokenError: It was broken off.
    """
    end = answer.connection.answer_end
    if end is not AnswerEnd.CLOSED:
        return end
    if is_inside_event:
        raise AnswerBrokenError(AnswerEnd.INSIDE_EVENT)
    if not answer.connection.end_is_marked:
        raise AnswerBrokenError(AnswerEnd.UNMARKED)
    end = await answer.verify_end()
    if end in DOUBTFUL_ENDS:
        raise AnswerBrokenError(end)
    return end
