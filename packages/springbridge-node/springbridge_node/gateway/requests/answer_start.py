"""Sends the head of an endpoint's answer to the caller, with the first piece of its body."""

from http import HTTPStatus

from springbridge_node import clock
from springbridge_node.gateway.http.http_head import Head
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.request_codec import RequestCodec


async def start_answer(
    exchange: Exchange, head: Head, codec: RequestCodec, piece: bytes, length: int | None
) -> None:
    """Send the head of an answer and its first piece.

    Args:
      length: Bytes of the body, or None if its end is marked by chunking or by closing.

    Raises:
      CallerGoneError: The caller has closed its connection.
    """
    headers = codec.caller_headers(head)
    stated = _stated_length(head, length)
    if stated is not None:
        headers["Content-Length"] = stated
    exchange.progress.relayed_head = head
    exchange.progress.note_piece_relayed(clock.now_s())
    if exchange.progress.load is not None:
        exchange.progress.load.prompt_read()
    await exchange.answer.start(head.status, head.reason, headers, piece)


def _stated_length(head: Head, length: int | None) -> str | None:
    """Return the Content-Length that the caller gets, None for none; see start_answer().

    An answer without a body passes on what its endpoint states of the body that another request
    would have got, but for a 204, which has no length whatever its endpoint states.
    """
    if head.status == HTTPStatus.NO_CONTENT:
        return None
    if head.is_bodiless:
        return head.headers.get("Content-Length")
    return None if length is None else str(length)
