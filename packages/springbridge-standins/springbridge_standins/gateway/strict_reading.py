"""A second, strict reading of answers, against which that of an instance is compared.

Written from RFC 9112 alone and without the library that the instances use, so that both are wrong
together only where the RFC was misread. It has all bytes of a connection at once and need not be
fast.
"""

import re
from dataclasses import dataclass

MAX_INTERIM_ANSWERS = 64
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([0-9]{3}) [\t -~\x80-\xff]*")
FIELD = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*((?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)[ \t]*"
)
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[\t -~\x80-\xff]*)?")


@dataclass(frozen=True)
class Reading:
    """A whole answer.

    Attributes:
      fields: Names in lower case, and values, in the order of the names.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


class NoAnswerError(Exception):
    """The bytes are no whole answer."""


def read_strictly(data: bytes) -> Reading:
    """Return the answer that the bytes of a connection are, which is closed behind them.

    Raises:
      NoAnswerError: They are none.
    """
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        head, found, data = data.partition(b"\r\n\r\n")
        if not found:
            raise NoAnswerError("no end of the head")
        minor, status, fields = _read_head(head)
        if not 100 <= status <= 199:
            body = _read_body(minor, status, fields, data)
            return Reading(status, tuple(sorted(fields)), body)
        if status == 101 or _values(fields, "content-length") or _codings(fields):
            raise NoAnswerError("no interim answer")
    raise NoAnswerError("only interim answers")


def _read_head(head: bytes) -> tuple[int, int, list[tuple[str, str]]]:
    """Return the minor version, the status and the fields of a head."""
    start, *lines = head.split(b"\r\n")
    found = STATUS_LINE.fullmatch(start)
    if found is None or not 100 <= int(found[2]) <= 599:
        raise NoAnswerError("no status line")
    fields = [FIELD.fullmatch(line) for line in lines]
    if not all(fields):
        raise NoAnswerError("no field")
    pairs = [(each[1].decode().lower(), each[2].decode("latin-1")) for each in fields]
    return int(found[1]), int(found[2]), pairs


def _values(fields: list[tuple[str, str]], name: str) -> list[str]:
    return [value for each, value in fields if each == name]


def _codings(fields: list[tuple[str, str]]) -> list[str]:
    return _values(fields, "transfer-encoding")


def _read_body(minor: int, status: int, fields: list[tuple[str, str]], data: bytes) -> bytes:
    """Return the body behind a final head."""
    lengths, codings = _values(fields, "content-length"), _codings(fields)
    if len(lengths) + len(codings) > 1:
        raise NoAnswerError("more than one framing")
    if codings and (codings[0].lower() != "chunked" or minor == 0 or status == 204):
        raise NoAnswerError("coding")
    if lengths and not re.fullmatch("[0-9]+", lengths[0]):
        raise NoAnswerError("length")
    if status in (204, 304):
        return b""
    if codings:
        return _read_chunks(data)
    if not lengths:
        return data
    if len(data) < int(lengths[0]):
        raise NoAnswerError("short")
    return data[: int(lengths[0])]


def _read_chunks(data: bytes) -> bytes:
    """Return the data of chunks up to the end of the trailers."""
    body = bytearray()
    while True:
        line, found, data = data.partition(b"\r\n")
        size = CHUNK_LINE.fullmatch(line)
        if not found or size is None:
            raise NoAnswerError("no chunk")
        length = int(size[1], 16)
        if not length:
            break
        if data[length : length + 2] != b"\r\n":
            raise NoAnswerError("no end of a chunk")
        body += data[:length]
        data = data[length + 2 :]
    while True:
        line, found, data = data.partition(b"\r\n")
        if not found or line and not FIELD.fullmatch(line):
            raise NoAnswerError("no trailer")
        if not line:
            return bytes(body)
