"""Answers of an endpoint that is asked to go on with a stream, and does not, by what is wrong.

Each is made of the events that would be the rest; none of them may reach a caller as that.
"""

from collections.abc import Callable, Sequence

from springbridge_standins.http_wire import answer, chunk, message, stream_head, unframed_head

Rest = Sequence[bytes]
EVENTS_TYPE = "text/event-stream"
FAILURE = b"request too long"


def failure(status: int, **headers: str) -> Callable[[str, Rest], bytes]:
    """Return a maker of answers with another status and a text."""
    return lambda request_id, rest: answer(request_id, FAILURE, status, **headers)


def streamed(change: Callable[[Rest], Rest]) -> Callable[[str, Rest], bytes]:
    """Return a maker of streams in chunks, of events that are changed."""

    def make(request_id: str, rest: Rest) -> bytes:
        return stream_head(request_id) + b"".join(map(chunk, change(rest))) + chunk(b"")

    return make


def _of_length(request_id: str, body: bytes, status: int = 200, **headers: str) -> bytes:
    """Return an answer with a length."""
    return answer(request_id, body, status, **headers)


def _chunked_failure(request_id: str, rest: Rest) -> bytes:
    """Return a failure in chunks."""
    fields = {"Request_Id": request_id, "Response_Signature": "sig", "Transfer_Encoding": "chunked"}
    return message("HTTP/1.1 413 X", b"", **fields) + chunk(FAILURE) + chunk(b"")


def _nameless(rest: Rest) -> Rest:
    """Return events without their ids."""
    return [event.partition(b"\n")[2] for event in rest]


def _lettered(rest: Rest) -> Rest:
    """Return events whose ids are no numbers."""
    return [b"id: x" + event.removeprefix(b"id: ") for event in rest]


# Those whose heads show that they are not the rest of a stream, whatever its caller has of it.
UNFIT_BY_HEAD: dict[str, Callable[[str, Rest], bytes]] = {
    "400": failure(400),
    "404": failure(404),
    "413": failure(413),
    "413 in chunks": _chunked_failure,
    "422": failure(422),
    "429": failure(429),
    "302": failure(302, Location="/elsewhere"),
    "204": lambda request_id, rest: _of_length(request_id, b"", 204),
    "206": lambda request_id, rest: _of_length(request_id, b"".join(rest), 206),
    "500": failure(500),
    "503 not run": failure(503, Not_Executed="1"),
    "json": lambda request_id, rest: _of_length(
        request_id, b'{"no": "events"}', Content_Type="application/json"
    ),
    "encoded": lambda request_id, rest: _of_length(
        request_id, b"".join(rest), Content_Encoding="gzip"
    ),
}
# Those whose events show it; a stream that has not begun may begin so.
UNFIT_BY_EVENTS: dict[str, Callable[[str, Rest], bytes]] = {
    "text": lambda request_id, rest: _of_length(request_id, FAILURE),
    "text of events' type": lambda request_id, rest: _of_length(
        request_id, FAILURE, Content_Type=EVENTS_TYPE
    ),
    "text without a length": lambda request_id, rest: unframed_head(request_id) + FAILURE,
    "nothing in chunks": streamed(lambda rest: []),
    "nothing of a length": lambda request_id, rest: _of_length(request_id, b""),
    "a comment": streamed(lambda rest: [b": hello\n\n"]),
    "events missing": streamed(lambda rest: rest[1:]),
    "no ids": streamed(_nameless),
    "no numbers": streamed(_lettered),
}
UNFIT = UNFIT_BY_HEAD | UNFIT_BY_EVENTS
