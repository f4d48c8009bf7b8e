"""One attempt: sends a request to an endpoint and relays the answer to the caller.

A failure that another endpoint may do better is held back instead of relayed.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from springbridge.routing import continuation, giving_up, retries
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.retries import AttemptOutcome

from springbridge_node import clock
from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.http.head_faults import BrokenHeadError
from springbridge_node.gateway.http.http_connection import HttpConnection
from springbridge_node.gateway.requests.endpoint_answer import (
    AnswerTimeoutError,
    EndpointAnswer,
    discard_body,
    read_head_within,
    read_whole_body,
)
from springbridge_node.gateway.requests.event_relay import NoContinuationError
from springbridge_node.gateway.requests.exchange import Exchange, HeldFailure
from springbridge_node.gateway.requests.relay import head_misfit, relay
from springbridge_node.gateway.requests.request_codec import AnswerMetadata, RequestCodec


@dataclass(frozen=True, slots=True)
class AttemptHooks:
    """What an attempt calls while its answer arrives.

    Attributes:
      on_answer_head: Called with the metadata in the head of the answer, and the times when the
        request was sent and when its connection was opened, on the clock of `clock.now_s`.
      on_first_event: Called before the caller gets the first event of a stream.
      verify_end: See `EndpointAnswer`.
    """

    on_answer_head: Callable[[AnswerMetadata, float, float], None]
    on_first_event: Callable[[], None]
    verify_end: Callable[[], Awaitable[AnswerEnd]]


async def make_attempt(
    exchange: Exchange,
    choice: Choice,
    connection: HttpConnection,
    codec: RequestCodec,
    hooks: AttemptHooks,
) -> AttemptOutcome:
    """Send a request to the chosen endpoint, relay its answer, and return how that ended.

    Raises:
      TimeoutError: Too little time is left before the deadline; nothing was sent.
      CallerGoneError: The caller has closed its connection.
    """
    ran_before = exchange.progress.may_have_run
    sent_s = clock.now_s()
    left_s = _send(exchange, choice, connection, codec)
    silence_s = retries.silence_timeout_s(exchange.route, exchange.attempts(), left_s)
    try:
        head = await read_head_within(silence_s, connection, codec, exchange.request_id)
        metadata = codec.answer_metadata(head)
        exchange.progress.answer_status = head.status
        hooks.on_answer_head(metadata, sent_s, connection.opened_s)
        answer = EndpointAnswer(connection, head, hooks.verify_end)
        if metadata.not_run:
            exchange.progress.may_have_run = ran_before
            return await _read_refusal(exchange, answer, metadata)
        return await _relay_or_hold_back(exchange, answer, metadata, codec, hooks.on_first_event)
    except BrokenHeadError as exc:
        exchange.progress.answer_end = exc.end
        exchange.progress.head_fault = exc.fault
        return AttemptOutcome.BROKEN
    except AnswerBrokenError as exc:
        exchange.progress.answer_end = exc.end
        return AttemptOutcome.BROKEN
    except AnswerTimeoutError:
        return AttemptOutcome.SILENT
    except NoContinuationError as exc:
        exchange.progress.misfit = exc.misfit
        return AttemptOutcome.NO_CONTINUATION


def _send(
    exchange: Exchange, choice: Choice, connection: HttpConnection, codec: RequestCodec
) -> float:
    """Send the request and return the seconds left to its deadline.

    Not a coroutine: an await between the pool's check of the connection and the send would give
    the endpoint time to close it, and a request that may not run twice would be lost on it.

    Raises:
      TimeoutError: Too little time is left before the deadline; nothing was sent.
    """
    entry, progress = choice.state.entry, exchange.progress
    left_s = exchange.admitted.deadline_s - clock.now_s()
    if not retries.is_worth_sending(left_s):
        raise TimeoutError
    source = choice.source.entry if choice.source else None
    resume_after = continuation.resume_after(progress.position, progress.may_be_whole)
    head = codec.endpoint_request(
        exchange.request, exchange.admitted, entry, source, left_s, resume_after
    )
    progress.sends += 1
    progress.answer_end = None
    progress.head_fault = None
    progress.answer_began_s = None
    progress.answer_status = 0
    progress.misfit = None
    progress.may_have_run = True
    progress.tried.add(entry.endpoint_id)
    connection.send(head, exchange.request.body)
    return left_s


async def _read_refusal(
    exchange: Exchange, answer: EndpointAnswer, metadata: AnswerMetadata
) -> AttemptOutcome:
    """Read the answer of an endpoint that guarantees that it has not run the request."""
    exchange.progress.answer_end = await discard_body(answer)
    if metadata.other_endpoint:
        exchange.progress.misdirected += 1
        return AttemptOutcome.OTHER_ENDPOINT
    return (
        AttemptOutcome.TURNED_AWAY
        if metadata.statements.rest_s is None
        else AttemptOutcome.ASKED_REST
    )


async def _relay_or_hold_back(
    exchange: Exchange,
    answer: EndpointAnswer,
    metadata: AnswerMetadata,
    codec: RequestCodec,
    on_first_event: Callable[[], None],
) -> AttemptOutcome:
    """Relay an answer, or hold back a failure so that another endpoint can be tried.

    Raises:
      NoContinuationError: The answer does not go on with what the caller has.
    """
    if not exchange.route.streaming and exchange.progress.load is not None:
        exchange.progress.load.prompt_read()
    if giving_up.holds_failure(exchange.route, answer.head.status):
        await _hold_back(exchange, answer)
        return (
            AttemptOutcome.ENDPOINT_ERROR
            if metadata.statements.rest_s is None
            else AttemptOutcome.ASKED_REST
        )
    misfit = head_misfit(exchange, answer.head)
    if misfit is not None:
        raise NoContinuationError(misfit)
    await relay(exchange, answer, codec, on_first_event)
    return AttemptOutcome.DELIVERED


async def _hold_back(exchange: Exchange, answer: EndpointAnswer) -> None:
    """Keep a failure, unless its body is so large that only its status can be told.

    Raises:
      AnswerBrokenError: It was broken off.
    """
    progress = exchange.progress
    try:
        body, progress.answer_end = await read_whole_body(answer)
    except AnswerBrokenError as exc:
        if exc.end is not AnswerEnd.OVERSIZED:
            raise
        progress.answer_end = exc.end
        return
    progress.failure = HeldFailure(answer.head, body)
