"""Stand-in caller: sends requests on a connection that it keeps, and reads what comes."""

import asyncio
import itertools

from springbridge_standins.http_wire import RawAnswer, read_answer

LONGEST_ANSWER_S = 10.0

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


class CallerConnection:
    """A caller's connection, which it uses until the other side says or shows that it ends."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take over an open connection to an address."""
        self.address = address
        self.may_be_kept = True
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "CallerConnection":
        """Connect.

        Raises:
          OSError: Nobody listens there.
        """
        host, _, port = address.rpartition(":")
        return cls(address, *await asyncio.open_connection(host, int(port)))

    async def ask(self, path: str, **options) -> RawAnswer:
        """Send a request and return its answer.

        Raises:
          asyncio.IncompleteReadError, ConnectionError: The connection ended without an answer.
          TimeoutError: None came within LONGEST_ANSWER_S.
        """
        self.may_be_kept = False
        self._writer.write(request_bytes(path, **options))
        async with asyncio.timeout(LONGEST_ANSWER_S):
            got = await read_answer(self._reader)
        self.may_be_kept = got.whole and got.headers.get("connection", "").lower() != "close"
        return got

    def close(self) -> None:
        """Close the connection."""
        self.may_be_kept = False
        self._writer.close()


async def ask(address: str, path: str, **options) -> RawAnswer:
    """Send a request on a connection of its own and return its answer.

    Raises:
      asyncio.IncompleteReadError: The connection closed without an answer.
    """
    connection = await CallerConnection.open(address)
    try:
        return await connection.ask(path, **options)
    finally:
        connection.close()
