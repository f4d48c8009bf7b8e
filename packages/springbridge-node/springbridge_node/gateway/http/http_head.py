"""Parses the heads of HTTP/1.1 answers: status, headers and the framing of the body."""

from dataclasses import dataclass

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    ResponseStartLine,
    parse_response_start_line,
)

from springbridge_node.gateway.http.answer_framing import BodyEnd, Framing, framing_of
from springbridge_node.gateway.http.head_faults import BrokenHeadError, HeadFault
from springbridge_node.http_rules import (
    INTERIM_STATUSES,
    OLDER_VERSION,
    has_bare_line_feed,
    is_answer_status,
)

# Lines of a head, beyond which it is no head: each takes time to parse.
MAX_HEAD_LINES = 512


@dataclass(frozen=True, slots=True)
class Head:
    """Status line and headers of an answer.

    Attributes:
      framing: Where its body ends.
      keeps_connection: Whether its sender takes another request on the connection.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    framing: Framing
    keeps_connection: bool = True

    @property
    def is_interim(self) -> bool:
        """Return whether a final answer to the same request follows."""
        return self.status in INTERIM_STATUSES

    @property
    def length(self) -> int | None:
        """Return the bytes of the body, or None if the head does not tell."""
        return self.framing.length

    @property
    def is_bodiless(self) -> bool:
        """Return whether it has no body whatever its headers state of one.

        They then tell of the body that another request would have got.
        """
        return self.framing.end is BodyEnd.NO_BODY

    @property
    def unframed(self) -> bool:
        """Return whether the body ends only with the connection."""
        return self.framing.end is BodyEnd.CONNECTION


def parse_head(raw: bytes, answers_head: bool = False) -> Head:
    """Parse the head of an answer.

    Args:
      raw: Status line and headers, without the empty line after them.
      answers_head: Whether it answers a HEAD request.

    Raises:
      BrokenHeadError: It is not the head of an answer.
    """
    if raw.count(b"\n") > MAX_HEAD_LINES:
        raise BrokenHeadError(HeadFault.LINES)
    if has_bare_line_feed(raw):
        raise BrokenHeadError(HeadFault.LINE_END)
    start, _, fields = raw.decode("latin-1").partition("\r\n")
    line = _parse_start(start)
    headers = _parse_fields(fields)
    if line.code in INTERIM_STATUSES:
        _check_interim(headers)
    elif not is_answer_status(line.code):
        raise BrokenHeadError(HeadFault.STATUS)
    framing = framing_of(line.version, line.code, headers, answers_head)
    keeps_connection = _keeps_connection(line.version, headers)
    return Head(line.code, line.reason, headers, framing, keeps_connection)


def _parse_start(start: str) -> ResponseStartLine:
    """Return the parts of a status line.

    Raises:
      BrokenHeadError: It is none.
    """
    try:
        return parse_response_start_line(start)
    except (HTTPInputError, ValueError) as exc:
        raise BrokenHeadError(HeadFault.STATUS_LINE) from exc


def _check_interim(headers: HTTPHeaders) -> None:
    """Check the headers of an interim answer, which has no body.

    Raises:
      BrokenHeadError: They state one. It would be read as the head of the next answer.
    """
    if "Content-Length" in headers or "Transfer-Encoding" in headers:
        raise BrokenHeadError(HeadFault.INTERIM_BODY)


def _parse_fields(fields: str) -> HTTPHeaders:
    """Return the headers in the lines of a head.

    Raises:
      BrokenHeadError: A line is no field.
    """
    try:
        return HTTPHeaders.parse(fields)
    except (HTTPInputError, ValueError) as exc:
        raise BrokenHeadError(HeadFault.FIELD) from exc


def connection_options(headers: HTTPHeaders) -> frozenset[str]:
    """Return what a Connection header lists, in lower case: options, and names of other headers."""
    if "Connection" not in headers:
        return frozenset()
    return frozenset(item.strip().lower() for item in headers["Connection"].split(","))


def _keeps_connection(version: str, headers: HTTPHeaders) -> bool:
    """Return whether the sender of a head keeps its connection open (RFC 9112, section 9.3)."""
    options = connection_options(headers)
    if "close" in options:
        return False
    return version != OLDER_VERSION or "keep-alive" in options


def keep_alive_s(headers: HTTPHeaders) -> float | None:
    """Return the keep-alive time that the other side sent, in seconds, or None."""
    for item in headers.get("Keep-Alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return None
