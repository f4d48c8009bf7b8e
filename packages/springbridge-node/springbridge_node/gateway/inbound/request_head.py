"""The head of a client's request: start line, headers and how the end of its body is marked."""

import re
from dataclasses import dataclass
from http import HTTPMethod

from tornado.http1connection import is_transfer_encoding_chunked, parse_int
from tornado.httputil import HTTPHeaders, HTTPInputError, parse_request_start_line

from springbridge_node.gateway.http.http_head import MAX_HEAD_LINES
from springbridge_node.gateway.inbound.refusals import RefusalKind, RefusedError

# End of a head; a bare line feed counts as a line end.
HEAD_END = re.compile(rb"\r?\n\r?\n")
# Bytes at the end of what has arrived that may be the beginning of HEAD_END.
HEAD_END_BYTES = 4
LINE_ENDS = b"\r\n"
KEEPING_VERSION = "HTTP/1.1"
# Methods whose requests have no body as a rule, so that a caller of HTTP/1.0 may keep its
# connection without stating a length.
BODILESS_METHODS = frozenset({HTTPMethod.GET, HTTPMethod.HEAD})


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A head as it arrived.

    Attributes:
      target: Path and query.
      length: Bytes of the body; 0 if it is chunked.
      is_chunked: Whether the body is chunked.
      arrived_s: When it was read, on the monotonic clock.
    """

    method: str
    target: str
    version: str
    headers: HTTPHeaders
    length: int
    is_chunked: bool
    arrived_s: float

    @property
    def keeps_connection(self) -> bool:
        """Return whether the client wants to send another request on the connection."""
        wanted = self.headers.get("Connection", "").lower()
        if self.version == KEEPING_VERSION:
            return wanted != "close"
        marks_end = "Content-Length" in self.headers or self.is_chunked
        return wanted == "keep-alive" and (marks_end or self.method in BODILESS_METHODS)

    @property
    def awaits_continue(self) -> bool:
        """Return whether the client sends its body only once it is told to."""
        return self.headers.get("Expect", "").lower() == "100-continue"


def find_head_end(received: bytearray, searched: int) -> int:
    """Return the length of a head with the empty line behind it, 0 if that has not arrived.

    Args:
      searched: Bytes that were searched before.
    """
    found = HEAD_END.search(received, max(0, searched - HEAD_END_BYTES))
    return found.end() if found else 0


def parse_request_head(raw: bytes, arrived_s: float) -> RequestHead:
    """Parse a head.

    Args:
      raw: Start line and headers; empty lines at its end are ignored.

    Raises:
      RefusedError: It is malformed.
    """
    if raw.count(b"\n") > MAX_HEAD_LINES:
        raise RefusedError(RefusalKind.HEAD_MALFORMED)
    start, _, fields = raw.decode("latin-1").partition("\n")
    try:
        line = parse_request_start_line(start.rstrip("\r"))
        headers = HTTPHeaders.parse(fields)
        is_chunked = is_transfer_encoding_chunked(headers)
        length = _content_length(headers)
    except (HTTPInputError, ValueError) as exc:
        raise RefusedError(RefusalKind.HEAD_MALFORMED) from exc
    return RequestHead(line.method, line.path, line.version, headers, length, is_chunked, arrived_s)


def _content_length(headers: HTTPHeaders) -> int:
    """Return the length of a body in bytes; the same one may be stated several times.

    Raises:
      ValueError: It is not a valid length, or several differ.
    """
    lengths = {text.strip() for text in headers.get("Content-Length", "0").split(",")}
    if len(lengths) > 1:
        raise ValueError("lengths differ")
    return parse_int(lengths.pop())
