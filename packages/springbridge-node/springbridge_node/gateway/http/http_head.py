"""Parses the heads of HTTP/1.1 answers: status, headers and the framing of the body."""

from dataclasses import dataclass

from tornado.http1connection import parse_hex_int, parse_int
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    ResponseStartLine,
    parse_response_start_line,
)

from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd

# Lines of a head, beyond which it is no head: each takes time to parse.
MAX_HEAD_LINES = 512
# Statuses whose answers never have a body, whatever their headers say.
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class Head:
    """Status line and headers of an answer.

    Attributes:
      length: Bytes of the body, or None if it is chunked or ends with the connection.
      is_bodiless: Whether it has no body whatever its headers state, which then tell of the body
        that another request would have got.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    length: int | None
    chunked: bool
    is_bodiless: bool = False

    @property
    def unframed(self) -> bool:
        """Return whether the body ends only with the connection."""
        return self.length is None and not self.chunked


def parse_head(raw: bytes, answers_head: bool = False) -> Head:
    """Parse the head of an answer.

    Args:
      raw: Status line and headers, without the empty line after them.
      answers_head: Whether it answers a HEAD request.

    Raises:
      AnswerBrokenError: It cannot be parsed.
    """
    if raw.count(b"\n") > MAX_HEAD_LINES:
        raise AnswerBrokenError(AnswerEnd.INVALID, f"more than {MAX_HEAD_LINES} lines")
    start, _, fields = raw.decode("latin-1").partition("\r\n")
    try:
        line: ResponseStartLine = parse_response_start_line(start)
        headers = HTTPHeaders.parse(fields)
        length = _content_length(headers)
    except (HTTPInputError, ValueError) as exc:
        raise AnswerBrokenError(AnswerEnd.INVALID, "not an HTTP answer") from exc
    if answers_head or line.code in BODILESS_STATUSES:
        return Head(line.code, line.reason, headers, 0, chunked=False, is_bodiless=True)
    chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
    return Head(line.code, line.reason, headers, None if chunked else length, chunked)


def _content_length(headers: HTTPHeaders) -> int | None:
    """Return the length of a body in bytes, or None if the head does not state it.

    Raises:
      ValueError: The header is not a valid length.
    """
    if "Content-Length" not in headers:
        return None
    return parse_int(headers["Content-Length"])


def chunk_length(line: bytes) -> int:
    """Return the length of a chunk in bytes.

    Args:
      line: The line before the chunk; extensions in it are ignored.

    Raises:
      AnswerBrokenError: It does not hold a valid length.
    """
    try:
        return parse_hex_int(line.partition(b";")[0].strip(b" \t").decode("latin-1"))
    except ValueError as exc:
        raise AnswerBrokenError(AnswerEnd.INVALID, "invalid chunk length") from exc


def keep_alive_s(headers: HTTPHeaders) -> float | None:
    """Return the keep-alive time that the other side sent, in seconds, or None."""
    for item in headers.get("Keep-Alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return None
