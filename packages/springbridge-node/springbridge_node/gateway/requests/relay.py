"""Relays an endpoint's answer to the caller.

An answer can be retried at another endpoint, where the route allows that, only until its first byte
is sent to the caller. So a plain answer is buffered until it is complete or exceeds the buffer, and
a stream until its first complete event.
"""

from collections.abc import Callable, Sequence
from http import HTTPStatus

from springbridge.routing.event_stream import Event, EventSplitter

from springbridge_node import clock
from springbridge_node.gateway.http.http_head import Head
from springbridge_node.gateway.requests.endpoint_answer import EndpointAnswer, check_end
from springbridge_node.gateway.requests.exchange import Exchange, HeldFailure, Progress
from springbridge_node.gateway.requests.request_codec import RequestCodec

# Bytes of a plain answer that are buffered until it is complete, so that another endpoint can still
# answer if the connection breaks. Bounds the memory of each request in progress.
MAX_BUFFERED_BYTES = 256 << 10
EVENT_STREAM = "text/event-stream"


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
      CallerGoneError: The caller has closed its connection.
    """
    if exchange.route.streaming and answer.head.status < HTTPStatus.MULTIPLE_CHOICES:
        await _relay_events(exchange, answer, codec, on_first_event)
    else:
        await _relay_plain(exchange, answer, codec)
    exchange.answer.finish()


async def relay_failure(exchange: Exchange, failure: HeldFailure, codec: RequestCodec) -> None:
    """Relay an endpoint's own failure that was held back.

    Raises:
      CallerGoneError: The caller has closed its connection.
    """
    await _start(exchange, failure.head, codec, failure.body, len(failure.body))
    exchange.answer.finish()


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
            await _start(exchange, head, codec, bytes(buffered), head.length)
    exchange.progress.answer_end = await check_end(answer)
    if not caller.started:
        await _start(exchange, head, codec, bytes(buffered), len(buffered))


async def _relay_events(
    exchange: Exchange,
    answer: EndpointAnswer,
    codec: RequestCodec,
    on_first_event: Callable[[], None],
) -> None:
    """Relay a stream event by event, skipping events that the caller already has.

    An incomplete event is dropped if the stream breaks. One that has only its last empty line
    missing is passed on where chunks or a length say that the stream is whole.

    Raises:
      AnswerBrokenError: The stream ended early.
    """
    head, progress = answer.head, exchange.progress
    splitter = EventSplitter()
    async for piece in answer.pieces():
        events = splitter.feed(piece)
        if events:
            _note_answer_began(progress)
        new_events = [event for event in events if _is_new_to_caller(progress, event.event_id)]
        if new_events:
            _note_events(exchange, new_events, on_first_event)
            await _relay_piece(exchange, head, codec, b"".join(event.raw for event in new_events))
            ids = [event.event_id for event in new_events if event.event_id is not None]
            progress.last_event = ids[-1] if ids else progress.last_event
    is_inside_event = _is_event_stream(head) and splitter.is_inside_event()
    progress.answer_end = await check_end(answer, is_inside_event)
    if splitter.rest or not exchange.answer.started:
        await _relay_piece(exchange, head, codec, splitter.rest)


def _note_answer_began(progress: Progress) -> None:
    """Record that the endpoint writes events, so that it has read the prompt."""
    if progress.answer_began_s is None:
        progress.answer_began_s = clock.now_s()
    if progress.load is not None:
        progress.load.prompt_read()


def _note_events(
    exchange: Exchange, events: Sequence[Event], on_first_event: Callable[[], None]
) -> None:
    """Record whether the caller has got an event, as it is about to get these blocks of lines."""
    progress = exchange.progress
    if progress.event_sent:
        return
    progress.only_blank = all(event.is_blank for event in events)
    if not progress.only_blank:
        progress.event_sent = True
        on_first_event()


def _is_event_stream(head: Head) -> bool:
    """Return whether a body consists of events, as it does if its head does not say otherwise."""
    content_type = head.headers.get("Content-Type", EVENT_STREAM)
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM


def _is_new_to_caller(progress: Progress, event_id: str | None) -> bool:
    """Return whether the caller does not have an event yet.

    Events without an id, and ids that are not numbers, count as new.
    """
    if event_id is None or progress.last_event is None:
        return True
    if event_id.isdecimal() and progress.last_event.isdecimal():
        return int(event_id) > int(progress.last_event)
    return True


async def _relay_piece(exchange: Exchange, head: Head, codec: RequestCodec, data: bytes) -> None:
    """Send a piece of a stream to the caller, preceded by the head if it is the first."""
    if exchange.answer.started:
        exchange.progress.note_piece_relayed(clock.now_s())
        await exchange.answer.write(data)
    else:
        await _start(exchange, head, codec, data, None)


async def _start(
    exchange: Exchange, head: Head, codec: RequestCodec, piece: bytes, length: int | None
) -> None:
    """Send the head of an answer and its first piece.

    Args:
      length: Bytes of the body, or None if its end is marked by chunking or by closing.
    """
    headers = codec.caller_headers(head)
    stated = _stated_length(head, length)
    if stated is not None:
        headers["Content-Length"] = stated
    exchange.progress.note_piece_relayed(clock.now_s())
    if exchange.progress.load is not None:
        exchange.progress.load.prompt_read()
    await exchange.answer.start(head.status, head.reason, headers, piece)


def _stated_length(head: Head, length: int | None) -> str | None:
    """Return the Content-Length that the caller gets, None for none; see _start().

    An answer without a body passes on what its endpoint states of the body that another request
    would have got, but for a 204, which has no length whatever its endpoint states.
    """
    if head.status == HTTPStatus.NO_CONTENT:
        return None
    if head.is_bodiless:
        return head.headers.get("Content-Length")
    return None if length is None else str(length)
