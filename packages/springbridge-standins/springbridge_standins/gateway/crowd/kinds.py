"""What clients of a crowd send: heads and bodies within the limits, far over them, or cut short."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from springbridge_standins.http_wire import chunk

# Bytes of a body that are sent at a time.
PIECE_BYTES = 1 << 16
HOST = "desk.example"
KEY = "key-1"
PATH = "/safe/x"

# The pieces that a client sends, in order; a client sends nothing after the last one.
Pieces = Callable[[], Iterator[bytes]]

_numbers = itertools.count(1)


@dataclass(frozen=True)
class CrowdKind:
    """What each client of a crowd does.

    Attributes:
      pieces: Makes what it sends.
      listener: The listener that it connects to, a field of the target's addresses.
      reads: Whether it reads what comes back.
    """

    pieces: Pieces
    listener: str = "callers"
    reads: bool = False


def head(framing: str, path: str = PATH, key: str = KEY, deadline_ms: int = 60_000) -> bytes:
    """Return the head of a POST; framing is the header that announces its body."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: c{next(_numbers)}",
        f"Authorization: Bearer {key}",
        f"Deadline-Ms: {deadline_ms}",
        framing,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(size: int, piece: int = PIECE_BYTES, short: int = 0, **fields: object) -> Pieces:
    """Return a chunked body of some bytes in chunks of a size, without its last bytes if short."""

    def pieces() -> Iterator[bytes]:
        yield head("Transfer-Encoding: chunked", **fields)
        one = chunk(b"x" * piece)
        at_once = max(1, PIECE_BYTES // len(one))
        whole = (size - short) // piece
        for start in range(0, whole, at_once):
            yield one * min(at_once, whole - start)
        if not short:
            yield chunk(b"")

    return pieces


def with_length(
    size: int, short: int = 0, announced: int = 0, times: int = 1, **fields: object
) -> Pieces:
    """Return bodies with a length.

    Args:
      short: Bytes that are missing at the end.
      announced: The length that the head names, if it is not the size.
      times: Number of such requests, sent one behind the other without waiting for answers.
    """

    def pieces() -> Iterator[bytes]:
        for _ in range(times):
            yield head(f"Content-Length: {announced or size}", **fields)
            left = size - short
            while left:
                yield b"x" * min(left, PIECE_BYTES)
                left -= min(left, PIECE_BYTES)

    return pieces


def nothing() -> Iterator[bytes]:
    """Send nothing."""
    yield from ()


def endless_head(size: int) -> Pieces:
    """Return a head of some bytes that does not end."""

    def pieces() -> Iterator[bytes]:
        start = f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nX: ".encode()
        yield start + b"x" * (size - len(start))

    return pieces


def many_requests(count: int, path: str = PATH, deadline_ms: int = 60_000) -> Pieces:
    """Return requests without a body, all sent ahead."""

    def pieces() -> Iterator[bytes]:
        yield b"".join(
            head("Content-Length: 0", path=path, deadline_ms=deadline_ms) for _ in range(count)
        )

    return pieces
