"""Decides from the whole head of an answer where its body ends (RFC 9112, section 6.3).

This is the only place that decides it. A head that states no end in a way that is understood is
broken: what is not understood never counts as absent, as the body would then be cut elsewhere than
its sender meant.
"""

from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from tornado.http1connection import parse_int
from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.http.head_faults import BrokenHeadError, HeadFault
from springbridge_node.http_rules import OLDER_VERSION

# Statuses whose answers never have a body, whatever their headers say.
BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
CHUNKED = "chunked"


class BodyEnd(Enum):
    """What marks the end of a body.

    NO_BODY: There is none. LENGTH: Its length is stated. LAST_CHUNK: It comes in chunks.
    CONNECTION: The end of the connection, and nothing else.
    """

    NO_BODY = auto()
    LENGTH = auto()
    LAST_CHUNK = auto()
    CONNECTION = auto()


@dataclass(frozen=True, slots=True)
class Framing:
    """Where a body ends.

    Attributes:
      length: Bytes of the body, 0 if there is none; None if only its end will tell.
    """

    end: BodyEnd
    length: int | None = None


# Framings without a length that the head tells; each is made once.
NO_BODY = Framing(BodyEnd.NO_BODY, 0)
IN_CHUNKS = Framing(BodyEnd.LAST_CHUNK)
UNTIL_CLOSE = Framing(BodyEnd.CONNECTION)


def framing_of(version: str, status: int, headers: HTTPHeaders, answers_head: bool) -> Framing:
    """Return where the body of an answer ends.

    Args:
      version: Version of HTTP in its status line.
      answers_head: Whether it answers a HEAD request.

    Raises:
      BrokenHeadError: Its headers state no end that is understood, or contradict each other.
    """
    length = _stated_length(headers)
    is_chunked = _is_chunked(headers)
    if is_chunked and length is not None:
        raise BrokenHeadError(HeadFault.LENGTH_AND_CODING)
    if is_chunked and (version == OLDER_VERSION or status == HTTPStatus.NO_CONTENT):
        raise BrokenHeadError(HeadFault.CODING_MISPLACED)
    if answers_head or status in BODILESS_STATUSES:
        return NO_BODY
    if is_chunked:
        return IN_CHUNKS
    if length is None:
        return UNTIL_CLOSE
    return Framing(BodyEnd.LENGTH, length)


def _stated_length(headers: HTTPHeaders) -> int | None:
    """Return the length that a head states, in bytes; None if it states none.

    Raises:
      BrokenHeadError: What it states is no length.
    """
    if "Content-Length" not in headers:
        return None
    try:
        return parse_int(headers["Content-Length"])
    except ValueError as exc:
        raise BrokenHeadError(HeadFault.LENGTH) from exc


def _is_chunked(headers: HTTPHeaders) -> bool:
    """Return whether a head states that its body comes in chunks.

    Raises:
      BrokenHeadError: It states another coding; none was asked for.
    """
    if "Transfer-Encoding" not in headers:
        return False
    if headers["Transfer-Encoding"].lower() != CHUNKED:
        raise BrokenHeadError(HeadFault.CODING)
    return True
