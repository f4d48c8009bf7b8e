"""Answers whose heads are drawn: what an instance reads of them, and what a strict reader does.

Sound heads are drawn widely, from all that RFC 9112 allows; others have one byte put in, left out,
doubled or changed, or the connection ends somewhere. Both ways of being wrong count: an answer
that is read otherwise than its bytes say, and a sound one that is taken for broken.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import typer
from springbridge_node.gateway.http.answer_end import AnswerBrokenError
from springbridge_node.gateway.http.http_connection import HttpConnection

from springbridge_standins.gateway.pieces import PiecesStream
from springbridge_standins.gateway.strict_reading import NoAnswerError, Reading, read_strictly
from springbridge_standins.http_wire import chunk

MAX_BODY_BYTES = 300
MAX_BYTES = 1 << 16
STATUSES = (200, 200, 200, 200, 201, 204, 206, 302, 304, 404, 429, 500, 503, 599)
REASONS = (b"OK", b"", b"Not so good", b"\xe9\t!")
NAMES = (b"X-A", b"Etag", b"Server", b"!#$%&'*+-.^_`|~9a", b"Response-Signature", b"Request-Id")
VALUES = (b"1", b"", b"a b", b"\xe9t\xe9", b"a:b,c;d", b'"q"', b"5", b"chunked", b"(c)", b"x" * 70)
BLANKS = (b"", b" ", b" ", b" ", b"\t", b"  \t ")
EXTENSIONS = (b"", b"", b"", b";x", b';x="y z"', b" ; x=\xe9", b"  ")
INTERIM = (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n")
TRAILERS = (b"", b"", b"X-T: 1\r\n", b"X-T:\r\nX-U: \xe9\r\n")
# Bytes that are put in or written over others.
ODD_BYTES = (
    *(
        b"\r",
        b"\n",
        b"\r\n",
        b"\x00",
        b"\x01",
        b"\x1b",
        b"\x7f",
        b"\x80",
        b"\x85",
        b"\xa0",
        b"\xff",
    ),
    *(b" ", b"\t", b":", b",", b";", b"+", b"-", b"_", b".", b"(", b'"', b"0", b"1", b"9", b"x"),
)


@dataclass
class Outcomes:
    """What became of the answers.

    Attributes:
      counts: Answers by how they were read.
      wrong: Those that were not read as they have to be, with both readings.
    """

    counts: Counter = field(default_factory=Counter)
    wrong: list[tuple[bytes, Reading | None, Reading | None]] = field(default_factory=list)


def draw_sound(rng: random.Random) -> tuple[bytes, int]:
    """Return a sound answer, and the bytes of its heads."""
    status, body = rng.choice(STATUSES), rng.randbytes(rng.randrange(MAX_BODY_BYTES))
    is_older = rng.random() < 0.1
    lines = [_field(rng, rng.choice(NAMES), rng.choice(VALUES)) for _ in range(rng.randrange(5))]
    framing = rng.choice(("length", "length", "chunks", "end"))
    if framing == "chunks" and (is_older or status == 204):
        framing = "length"
    if framing == "length":
        lines.append(_field(rng, b"Content-Length", b"%0*d" % (rng.randrange(1, 4), len(body))))
    if framing == "chunks":
        lines.append(_field(rng, b"Transfer-Encoding", _any_case(rng, b"chunked")))
        body = _chunks(rng, body)
    if status in (204, 304):
        body = b""
    rng.shuffle(lines)
    start = b"HTTP/1.%d %d %b" % (not is_older, status, rng.choice(REASONS))
    interim = b"".join(rng.choices(INTERIM, k=rng.choice((0, 0, 0, 1, 3))))
    head = interim + b"\r\n".join([start, *lines, b"", b""])
    return head + body, len(head)


def _field(rng: random.Random, name: bytes, value: bytes) -> bytes:
    """Return a line with a field."""
    return _any_case(rng, name) + b":" + rng.choice(BLANKS) + value + rng.choice(BLANKS)


def _any_case(rng: random.Random, text: bytes) -> bytes:
    """Return a text as it is, or in other letters."""
    return rng.choice((text, text, text.lower(), text.upper(), text.swapcase()))


def _chunks(rng: random.Random, body: bytes) -> bytes:
    """Return a body in chunks."""
    data, at = bytearray(), 0
    while at < len(body):
        piece = body[at : at + rng.randrange(1, 60)]
        data += chunk(piece).replace(b"\r\n", rng.choice(EXTENSIONS) + b"\r\n", 1)
        at += len(piece)
    return bytes(data) + b"0\r\n" + rng.choice(TRAILERS) + b"\r\n"


def spoil(rng: random.Random, data: bytes, head_bytes: int) -> bytes:
    """Return an answer with one fault, as a rule in its head."""
    at = rng.randrange(head_bytes if rng.random() < 0.8 else len(data))
    odd = rng.choice(ODD_BYTES) if rng.random() < 0.8 else rng.randbytes(1)
    match rng.randrange(6):
        case 0:
            return data[:at] + odd + data[at:]
        case 1:
            return data[:at] + data[at + 1 :]
        case 2:
            return data[:at] + data[at : at + 1] + data[at:]
        case 3:
            return data[:at]
        case 4:
            return _with_status(rng, data)
        case _:
            return data[:at] + odd + data[at + 1 :]


def _with_status(rng: random.Random, data: bytes) -> bytes:
    """Return an answer with any status of three digits."""
    start, blank, rest = data.partition(b" ")
    return start + blank + b"%03d" % rng.randrange(1000) + rest[3:]


async def read_as_instance(data: bytes, piece_bytes: int) -> Reading | None:
    """Return what an instance reads from a connection, None if that is no whole answer."""
    pieces = [data[at : at + piece_bytes] for at in range(0, len(data), piece_bytes)]
    conn = HttpConnection(PiecesStream(pieces))
    try:
        head = await conn.read_head()
        body = await conn.read_whole_body(head, MAX_BYTES)
    except AnswerBrokenError:
        return None
    fields = sorted((name.lower(), value) for name, value in head.headers.get_all())
    return Reading(head.status, tuple(fields), body)


async def play(seed: int, count: int, is_sound: bool) -> Outcomes:
    """Draw answers, and compare both readings of each.

    Args:
      is_sound: Whether to leave them as drawn, so that each has to be read as whole.
    """
    rng, outcomes = random.Random(seed), Outcomes()
    for _ in range(count):
        data, head_bytes = draw_sound(rng)
        if not is_sound:
            data = spoil(rng, data, head_bytes)
        expected = _strict_reading(data)
        found = await read_as_instance(data, rng.choice((1, 13, MAX_BYTES)))
        outcomes.counts["broken" if found is None else "whole"] += 1
        if found != expected or is_sound and found is None:
            outcomes.wrong.append((data, expected, found))
    return outcomes


def _strict_reading(data: bytes) -> Reading | None:
    """Return the strict reading of the bytes of a connection, None if they are no whole answer."""
    try:
        return read_strictly(data)
    except NoAnswerError:
        return None


def report(outcomes: Outcomes) -> Iterator[str]:
    """Yield the lines of a report."""
    for name, count in sorted(outcomes.counts.items()):
        yield f"{count:7} {name}"
    yield f"{len(outcomes.wrong):7} wrong"
    for data, expected, found in outcomes.wrong[:20]:
        yield f"{data!r}\n  strictly {expected}\n  found    {found}"


def main(seed: int = 1, count: int = 10_000) -> None:
    """Play spoilt and sound answers; end with 1 if one was read wrongly."""
    wrong = 0
    for is_sound in (False, True):
        outcomes = asyncio.run(play(seed, count, is_sound))
        typer.echo("sound" if is_sound else "spoilt")
        typer.echo("\n".join(report(outcomes)))
        wrong += len(outcomes.wrong)
    raise typer.Exit(1 if wrong else 0)


if __name__ == "__main__":
    typer.run(main)
