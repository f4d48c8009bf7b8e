"""Relays an endpoint's answer to the caller.

An answer can be retried at another endpoint, where the route allows that, only until its first byte
is sent to the caller. So a plain answer is buffered until it is complete or exceeds the buffer, and
a stream until its first complete event. What may follow the part of a stream that the caller has is
decided by `springbridge.routing.continuation`.
"""

from collections.abc import Callable
from http import HTTPStatus

from springbridge.routing import continuation
from springbridge.routing.continuation import Misfit, StreamHead

from springbridge_node.gateway.http.http_head import Head
from springbridge_node.gateway.requests.answer_start import start_answer
from springbridge_node.gateway.requests.endpoint_answer import EndpointAnswer, check_end
from springbridge_node.gateway.requests.event_relay import EventRelay
from springbridge_node.gateway.requests.exchange import Exchange, HeldFailure
from springbridge_node.gateway.requests.request_codec import RequestCodec

# Bytes of a plain answer that are buffered until it is complete, so that another endpoint can still
# answer if the connection breaks. Bounds the memory of each request in progress.
MAX_BUFFERED_BYTES = 256 << 10
EVENT_STREAM = "text/event-stream"
# Value of Content-Encoding for a body that is not encoded.
IDENTITY = "identity"


async def relay(
    exchange: Exchange,
    answer: EndpointAnswer,
    codec: RequestCodec,
    on_first_event: Callable[[], None],
) -> None:
    """Relay an answer: event by event if it is a stream, else as a plain body.

    Args:
      on_first_event: Called before the caller gets the first event of the answer.

    Raises:
      AnswerBrokenError: The endpoint's answer ended early.
      NoContinuationError: The answer does not go on with what the caller has.
      CallerGoneError: The caller has closed its connection.
    """
    if is_read_as_events(exchange, answer.head):
        await EventRelay(exchange, answer, codec, on_first_event).run()
    else:
        await _relay_plain(exchange, answer, codec)
    exchange.answer.finish()


async def relay_failure(exchange: Exchange, failure: HeldFailure, codec: RequestCodec) -> None:
    """Relay an endpoint's own failure that was held back.

    Raises:
      CallerGoneError: The caller has closed its connection.
    """
    await start_answer(exchange, failure.head, codec, failure.body, len(failure.body))
    exchange.answer.finish()


def is_read_as_events(exchange: Exchange, head: Head) -> bool:
    """Return whether an answer is relayed event by event."""
    is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
    return exchange.route.streaming and is_success and stream_head(head).has_events


def head_misfit(exchange: Exchange, head: Head) -> Misfit | None:
    """Return why an answer cannot follow what the caller has, None if it can or has nothing."""
    first = exchange.progress.relayed_head
    if first is None:
        return None
    return continuation.head_misfit(stream_head(first), stream_head(head))


def stream_head(head: Head) -> StreamHead:
    """Return what a head says of the events in its body; one without a type may have events."""
    content_type = head.headers.get("Content-Type", EVENT_STREAM)
    encoding = head.headers.get("Content-Encoding", IDENTITY)
    return StreamHead(
        head.status,
        is_event_stream=content_type.partition(";")[0].strip().lower() == EVENT_STREAM,
        is_encoded=encoding.strip().lower() != IDENTITY,
    )


async def _relay_plain(exchange: Exchange, answer: EndpointAnswer, codec: RequestCodec) -> None:
    """Relay a plain answer: in one write if it fits the buffer, else in pieces.

    Raises:
      AnswerBrokenError: The answer ended early.
    """
    head, caller = answer.head, exchange.answer
    buffered = bytearray()
    async for piece in answer.pieces():
        if caller.started:
            await caller.write(piece)
            continue
        buffered += piece
        if len(buffered) > MAX_BUFFERED_BYTES:
            await start_answer(exchange, head, codec, bytes(buffered), head.length)
            buffered.clear()
    exchange.progress.answer_end = await check_end(answer)
    if not caller.started:
        await start_answer(exchange, head, codec, bytes(buffered), len(buffered))
