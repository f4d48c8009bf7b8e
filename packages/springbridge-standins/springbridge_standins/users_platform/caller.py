"""Stand-in caller: sends one request and reads what comes."""

import asyncio
import itertools

from springbridge_standins.users_platform.wire import RawAnswer, read_answer

_numbers = itertools.count(1)


def request_bytes(path: str, method: str = "GET", body: bytes = b"", **headers: str) -> bytes:
    """Return a request; header names are written with underscores."""
    fields = {
        "Host": "desk.example",
        "Request-Id": f"r{next(_numbers)}",
        "Authorization": "Bearer key-1",
        "Deadline-Ms": "3000",
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def ask(address: str, path: str, **options) -> RawAnswer:
    """Send a request on a connection of its own and return its answer.

    Raises:
      asyncio.IncompleteReadError: The connection closed without an answer.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_bytes(path, **options))
        async with asyncio.timeout(10):
            return await read_answer(reader)
    finally:
        writer.close()
