"""One attempt at one endpoint: send, match the answer to the request, and pass it on.

Nothing is passed on before it can no longer be taken back: an answer without events waits until it
is whole (or too large to wait), a stream until its first whole event. Until then another endpoint
may be asked where the request allows that.
"""

import asyncio
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field
from enum import Enum

from springbridge.routing.event_stream import EventSplitter
from springbridge.routing.records import Admitted, Demand

from springbridge_node.gateway.callers.answer import CallerAnswer
from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.http.http_connection import HttpConnection
from springbridge_node.gateway.http.http_head import AnswerBrokenError, Head
from springbridge_node.gateway.peers.load_sharing import SharedLoad
from springbridge_node.gateway.requests.request_codec import RequestCodec

HELD_BYTES = 256 << 10
STALE_ANSWERS = 3
SERVER_ERROR = 500


class End(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    TURNED_AWAY = "turned away"
    OTHER_ENDPOINT = "other engine"
    ENDPOINT_ERROR = "engine error"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class HeldFailure:
    """An endpoint's own failure, kept in case no other endpoint does better."""

    head: Head
    body: bytes


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """An endpoint that a request was sent to, and what was believed of it then.

    Attributes:
      in_flight: Requests that it had.
      prefill_tokens: Prompt tokens that it had still to read.
      kept_tokens: Tokens of this prompt that it probably kept.
      source: Endpoint that it was told to fetch more of the prompt from, "" for none.
      coordinator: Address of the node that chose, "" for this one.
    """

    endpoint: str
    in_flight: int
    prefill_tokens: int
    kept_tokens: int
    source: str
    coordinator: str


@dataclass
class Progress:
    """What became of a request so far.

    Attributes:
      tried: Endpoints that no further attempt goes to.
      chosen: The endpoints it was sent to, in order.
      sends: Times that it was sent.
      misdirected: Those of them that met another endpoint than the one meant, which is gone.
      may_have_run: Whether one of them may have run it.
      last_event: Id of the last event that the caller got.
      first_piece_s: When the caller got the first piece of the answer, None before.
      failure: The last failure that an endpoint answered with.
      load: The attempt in progress as the other nodes know it.
    """

    tried: set[str] = field(default_factory=set)
    chosen: list[ChosenEndpoint] = field(default_factory=list)
    sends: int = 0
    misdirected: int = 0
    may_have_run: bool = False
    last_event: str | None = None
    first_piece_s: float | None = None
    failure: HeldFailure | None = None
    load: SharedLoad | None = None

    @property
    def endpoints_used(self) -> int:
        """Return the endpoints that count among those a route allows: not those that are gone."""
        return self.sends - self.misdirected


@dataclass(frozen=True, slots=True)
class Exchange:
    """A caller's request with all that its attempts need."""

    request: IncomingRequest
    admitted: Admitted
    demand: Demand
    answer: CallerAnswer
    progress: Progress


async def read_own_head(connection: HttpConnection, codec: RequestCodec, request_id: str) -> Head:
    """Return the head of the answer that belongs to a request, passing over stale answers.

    Raises:
      AnswerBrokenError: None came.
    """
    for _ in range(STALE_ANSWERS):
        head = await connection.read_head()
        answered = codec.verdict(head).request_id
        if answered in ("", request_id):
            return head
        if head.unframed:
            break
        async for _ in connection.read_body(head):
            pass
    raise AnswerBrokenError("answers of other requests")


async def read_whole(connection: HttpConnection, head: Head) -> bytes:
    """Return the whole body of an answer."""
    return b"".join([piece async for piece in connection.read_body(head)])


async def relay_plain(
    exchange: Exchange, connection: HttpConnection, head: Head, codec: RequestCodec
) -> None:
    """Pass on an answer without events: at once when it is whole, in pieces when it is large.

    Raises:
      AnswerBrokenError: The endpoint's answer ended early.
      CallerGoneError: The caller is gone.
    """
    answer = exchange.answer
    held = bytearray()
    async for piece in connection.read_body(head):
        if answer.started:
            await answer.write(piece)
            continue
        held += piece
        if len(held) > HELD_BYTES:
            await _start(exchange, head, codec, bytes(held), head.length)
    if not answer.started:
        await _start(exchange, head, codec, bytes(held), len(held))
    answer.finish()


async def relay_events(
    exchange: Exchange, connection: HttpConnection, head: Head, codec: RequestCodec
) -> None:
    """Pass on a stream event by event, after the last event that the caller has.

    Raises:
      AnswerBrokenError: The endpoint's stream broke; half an event was dropped.
      CallerGoneError: The caller is gone.
    """
    splitter = EventSplitter()
    async for piece in connection.read_body(head):
        events = splitter.feed(piece)
        fresh = [event for event in events if _is_fresh(exchange.progress, event.event_id)]
        if fresh:
            data = b"".join(event.raw for event in fresh)
            await _pass_on(exchange, head, codec, data)
            ids = [event.event_id for event in fresh if event.event_id is not None]
            exchange.progress.last_event = ids[-1] if ids else exchange.progress.last_event
    if splitter.rest or not exchange.answer.started:
        await _pass_on(exchange, head, codec, splitter.rest)
    exchange.answer.finish()


def _is_fresh(progress: Progress, event_id: str | None) -> bool:
    """Return whether the caller lacks an event."""
    if event_id is None or progress.last_event is None:
        return True
    if event_id.isdigit() and progress.last_event.isdigit():
        return int(event_id) > int(progress.last_event)
    return True


async def _pass_on(exchange: Exchange, head: Head, codec: RequestCodec, data: bytes) -> None:
    """Send a piece of a stream, with the head before the first."""
    if exchange.answer.started:
        await exchange.answer.write(data)
    else:
        await _start(exchange, head, codec, data, None)


async def _start(
    exchange: Exchange, head: Head, codec: RequestCodec, piece: bytes, length: int | None
) -> None:
    """Send the head of an answer and its first piece."""
    headers = codec.caller_headers(head)
    if length is not None:
        headers["Content-Length"] = str(length)
    exchange.progress.first_piece_s = time.monotonic()
    if exchange.progress.load is not None:
        exchange.progress.load.read()
    await exchange.answer.start(head.status, head.reason, headers, piece)


async def send_held_failure(exchange: Exchange, failure: HeldFailure, codec: RequestCodec) -> None:
    """Pass on an endpoint's own failure."""
    body = failure.body
    await _start(exchange, failure.head, codec, body, len(body))
    exchange.answer.finish()


class SilentError(Exception):
    """An endpoint did not answer within the time that it had."""


async def within(seconds: float | None, reading: Awaitable[Head]) -> Head:
    """Await the head of an answer for so long, or without a limit.

    Raises:
      SilentError: It did not come in time.
    """
    if seconds is None:
        return await reading
    try:
        async with asyncio.timeout(seconds) as limit:
            return await reading
    except TimeoutError as exc:
        if limit.expired():
            raise SilentError from exc
        raise
