"""Answers of an endpoint in trouble: each has one spoilt line in its head, or ends within it.

`ID` stands for the id of the request, as in `engine.raw_bytes`. Names tell what is wrong, so that a
test can be named after them.
"""

from dataclasses import dataclass

from springbridge_standins.gateway.engine import Script, raw_bytes
from springbridge_standins.http_wire import RawRequest, answer, chunk, event

# Whole events, so that the same body fits plain answers and streams.
BODY = b"".join(event(number) for number in range(1, 41))
OWN_FIELDS = (b"Request-Id: ID", b"Response-Signature: broken")
STATED_LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKS = chunk(BODY) + chunk(b"")


@dataclass(frozen=True)
class BrokenHead:
    """An answer whose head is broken.

    Attributes:
      closes: Whether the endpoint closes the connection behind the body.
    """

    head: bytes
    body: bytes = BODY
    closes: bool = False

    def script(self) -> Script:
        """Return the script that sends it."""
        return raw_bytes(self.head + self.body, then_close=self.closes)


def head(*lines: bytes, start: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """Return a head with a start line, the fields that each answer has, and some more lines."""
    return b"\r\n".join([start, *OWN_FIELDS, *lines, b"", b""])


def _with_length(value: bytes) -> BrokenHead:
    return BrokenHead(head(b"Content-Length: " + value))


def _with_coding(value: bytes, *more: bytes, start: bytes = b"HTTP/1.1 200 OK") -> BrokenHead:
    line = b"Transfer-Encoding: " + value
    return BrokenHead(head(line, *more, start=start), CHUNKS, closes=True)


def _with_line(line: bytes) -> BrokenHead:
    return BrokenHead(head(line, STATED_LENGTH))


def _with_start(start: bytes) -> BrokenHead:
    return BrokenHead(head(STATED_LENGTH, start=start))


# The length of the body.
LENGTHS = {
    "length 1_0": _with_length(b"1_0"),
    "length +5": _with_length(b"+5"),
    "length +0": _with_length(b"+0"),
    "length -0": _with_length(b"-0"),
    "length 0_0": _with_length(b"0_0"),
    "length with a no-break space": _with_length(b"5\xa0"),
    "length with a next line": _with_length(b"\x855"),
    "length -5": _with_length(b"-5"),
    "length 0x5": _with_length(b"0x5"),
    "length 5e0": _with_length(b"5e0"),
    "length 5.0": _with_length(b"5.0"),
    "length in quotes": _with_length(b'"5"'),
    "length empty": _with_length(b""),
    "length of two numbers": _with_length(b"5 5"),
    "lengths in a list": _with_length(b"5, 6"),
    "lengths in two lines": _with_length(b"5\r\nContent-Length: 6"),
    "length of 4,400 digits": _with_length(b"9" * 4400),
}
# The coding of the body.
CODINGS = {
    "coding gzip, chunked": _with_coding(b"gzip, chunked"),
    "coding chunked, gzip": _with_coding(b"chunked, gzip"),
    "coding in two lines": _with_coding(b"chunked\r\nTransfer-Encoding: chunked"),
    "coding xchunked": _with_coding(b"xchunked"),
    "coding chunke": _with_coding(b"chunke"),
    "coding identity": _with_coding(b"identity"),
    "coding chunked;q=1": _with_coding(b"chunked;q=1"),
    "coding empty": _with_coding(b""),
    "coding of a bodiless answer": _with_coding(b"chunked", start=b"HTTP/1.1 204 No Content"),
}
# The length and the coding, which contradict each other or the version.
CONTRADICTIONS = {
    "gzip beside a length": _with_coding(b"gzip", b"Content-Length: 5"),
    "chunked beside a length": _with_coding(b"chunked", b"Content-Length: 5"),
    "chunked in HTTP/1.0": _with_coding(b"chunked", start=b"HTTP/1.0 200 OK"),
}
# Lines that are no field.
LINES = {
    "bare line feed in a field": BrokenHead(head(b"X-A: 1\nContent-Length: 5")),
    "bare line feeds between fields": BrokenHead(head(b"X-A: 1\n\nContent-Length: 5")),
    "bare line feed behind the start": BrokenHead(
        head(STATED_LENGTH).replace(b"OK\r\n", b"OK\n"),
    ),
    "bare carriage return": _with_line(b"X-A: 1\rX-B: 2"),
    "blank in a name": _with_line(b"X A: 1"),
    "blank behind a name": _with_line(b"X-A : 1"),
    "tab in a name": _with_line(b"X\tA: 1"),
    "control byte in a name": _with_line(b"X\x01A: 1"),
    "NUL in a name": _with_line(b"X\x00A: 1"),
    "DEL in a name": _with_line(b"X\x7fA: 1"),
    "parenthesis in a name": _with_line(b"X(A: 1"),
    "byte over 127 in a name": _with_line(b"X\xe9A: 1"),
    "blank in the name of the length": BrokenHead(head(b"Content Length: 5"), closes=True),
    "control byte in the name of the length": BrokenHead(
        head(b"Content\x02Length: 5"), closes=True
    ),
    "line without a colon": _with_line(b"no field"),
    "line without a name": _with_line(b": 1"),
    "folded line": _with_line(b" folded"),
    "NUL in a value": _with_line(b"X-A: 1\x002"),
    "ESC in a value": _with_line(b"X-A: 1\x1b2"),
}
ANSWER_AS_BODY = head(b"Content-Length: 5") + b"hello"
# The status line.
STATUSES = {
    "status 000": _with_start(b"HTTP/1.1 000 None"),
    "status 099": _with_start(b"HTTP/1.1 099 None"),
    "status 101": BrokenHead(head(b"Upgrade: x", start=b"HTTP/1.1 101 Switching Protocols")),
    "status 600": _with_start(b"HTTP/1.1 600 Odd"),
    "status 999": _with_start(b"HTTP/1.1 999 Odd"),
    "status 000 before an answer": BrokenHead(head(start=b"HTTP/1.1 000 None"), ANSWER_AS_BODY),
    "status 101 before an answer": BrokenHead(head(start=b"HTTP/1.1 101 None"), ANSWER_AS_BODY),
    "status 100 with a length before an answer": BrokenHead(
        head(b"Content-Length: %d" % len(ANSWER_AS_BODY), start=b"HTTP/1.1 100 Continue"),
        ANSWER_AS_BODY,
    ),
    "status 103 in chunks before an answer": BrokenHead(
        head(b"Transfer-Encoding: chunked", start=b"HTTP/1.1 103 Early"), ANSWER_AS_BODY
    ),
    "status of two digits": _with_start(b"HTTP/1.1 20 OK"),
    "status of four digits": _with_start(b"HTTP/1.1 2000 OK"),
    "version 2.0": _with_start(b"HTTP/2.0 200 OK"),
    "another protocol": _with_start(b"ICY 200 OK"),
}
WHOLE_HEAD = head(STATED_LENGTH)
# The connection is closed within the head, which is sound so far.
CUTS = {
    f"cut behind {place}": BrokenHead(WHOLE_HEAD[: WHOLE_HEAD.index(mark) + len(mark)], b"", True)
    for place, mark in {
        "the version": b"HTTP/1.1",
        "the start line": b"200 OK\r\n",
        "the name of a field": b"Content-Length:",
        "a digit of the length": STATED_LENGTH[:-1],
        "the length": STATED_LENGTH,
        "the last line": STATED_LENGTH + b"\r\n",
        "half of the last line end": STATED_LENGTH + b"\r\n\r",
    }.items()
}
BROKEN_HEADS = LENGTHS | CODINGS | CONTRADICTIONS | LINES | STATUSES | CUTS


def sound_answer(request: RawRequest) -> bytes:
    """Return a whole answer with BODY, as a sound endpoint sends it."""
    return answer(request.request_id, BODY, signature="sound")


def first_on_each_path(broken: Script) -> Script:
    """Return a script that treats the first request of each path differently from the others."""
    seen: set[str] = set()

    async def script(request, connection) -> None:
        if request.path in seen:
            await connection.send(sound_answer(request))
            return
        seen.add(request.path)
        await broken(request, connection)

    return script
