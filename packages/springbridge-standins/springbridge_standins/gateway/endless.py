"""Answers of an endpoint that never end, by where their bytes come: in a head, a body or behind it.

Each is a script of `EngineStandIn`, which sends until its connection is closed or LIMIT_BYTES are.
Run as a program, which sends as fast as the instance reads, this is an endpoint with one of them.
"""

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import Iterator

import typer

from springbridge_standins.gateway.engine import EngineStandIn, Script
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    stream_head,
    unframed_head,
)

# Bytes that a script sends at the most, in case nothing closes its connection. It resets it then: a
# body without a length would be whole if its connection were closed in order.
LIMIT_BYTES = 150 << 20
# Size of what is sent at once.
SEND_BYTES = 1 << 16


def endless(first: bytes, more: bytes) -> Script:
    """Return a script that sends some bytes, and others behind them again and again.

    Args:
      first: ID in it becomes the request's id.
    """
    block = more * (1 + SEND_BYTES // len(more))

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(first.replace(b"ID", request.request_id.encode()))
        for _ in range(LIMIT_BYTES // len(block)):
            await connection.send(block)
        connection.reset()

    return script


def _chunked(status: int, **headers: str) -> bytes:
    """Return the head of an answer in chunks."""
    return answer("ID", b"", status, Content_Length="", Transfer_Encoding="chunked", **headers)


CHUNK = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
HUGE_LENGTH = "9" * 15

ENDLESS: dict[str, Script] = {
    "an event": endless(stream_head("ID") + b"fffffffffff\r\ndata: ", b"x"),
    "events of one byte": endless(stream_head("ID") + b"fffffffffff\r\n", b"\n\n"),
    "events": endless(stream_head("ID") + b"fffffffffff\r\n", b"id: 1\ndata: x\n\n"),
    "comments": endless(stream_head("ID") + b"fffffffffff\r\n", b": x\n"),
    "a body without a length": endless(unframed_head("ID"), b"x"),
    "a body of a huge length": endless(answer("ID", b"", Content_Length=HUGE_LENGTH), b"x"),
    "chunks of one byte": endless(_chunked(200), b"1\r\nx\r\n"),
    "interim answers": endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "trailers": endless(_chunked(200) + b"0\r\n", b"X-More: x\r\n"),
    "a body of 500 in chunks": endless(_chunked(500), CHUNK),
    "a body of 500": endless(answer("ID", b"", 500, Content_Length=HUGE_LENGTH), b"x"),
    "a body of a refusal": endless(_chunked(503, Not_Executed="1"), CHUNK),
    "a status line": endless(b"HTTP/1.1 200 ", b"OK"),
    "a header": endless(b"HTTP/1.1 200 OK\r\nX-More: ", b"x"),
    "headers": endless(b"HTTP/1.1 200 OK\r\n", b"X-More: x\r\n"),
    "a body of another request": endless(answer("other", b"", Content_Length=HUGE_LENGTH), b"x"),
    "answers of other requests": endless(b"", answer("other", b"x")),
    "bytes behind an answer": endless(answer("ID", b"whole"), b"x"),
}


@contextlib.contextmanager
def endless_process(address: str, kind: str) -> Iterator[None]:
    """Run an endpoint whose answers are of a kind as a process, until the block ends."""
    command = [sys.executable, "-m", "springbridge_standins.gateway.endless", address, kind]
    with subprocess.Popen(command) as process:
        try:
            yield
        finally:
            process.kill()


def main(address: str, kind: str) -> None:
    """Serve answers of a kind at an address, until killed."""
    engine = EngineStandIn("endless", ENDLESS[kind])
    engine.address = address
    asyncio.run(engine.run())


if __name__ == "__main__":
    typer.run(main)
