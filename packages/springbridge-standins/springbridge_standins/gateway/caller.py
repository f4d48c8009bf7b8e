"""Stand-in of a caller: sends requests on a persistent connection and reads the answers."""

import asyncio
import itertools

from springbridge_standins.http_wire import RawAnswer, message, read_answer

# Above the deadline of 3 s that each request has, with a margin for a busy machine.
LONGEST_ANSWER_S = 10.0

# The version of HTTP whose callers take no chunks, and do not keep their connections.
OLDER_VERSION = "HTTP/1.0"

_numbers = itertools.count(1)


def request_bytes(path: str, method: str = "GET", body: bytes = b"", **headers: str) -> bytes:
    """Return a request with a new request id; header names are given with underscores."""
    fields = {
        "Host": "desk.example",
        "Request_Id": f"r{next(_numbers)}",
        "Authorization": "Bearer key-1",
        "Deadline_Ms": "3000",
        "Content_Length": str(len(body) or ""),
    }
    return message(f"{method} {path} HTTP/1.1", body, **fields | headers)


class CallerConnection:
    """A caller's persistent connection.

    Attributes:
      may_be_kept: Whether another request may be sent: the last answer was complete and the server
        did not announce that it closes the connection.
    """

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
        """Connect to an address.

        Raises:
          OSError: Nothing listens there.
        """
        host, _, port = address.rpartition(":")
        return cls(address, *await asyncio.open_connection(host, int(port)))

    async def ask(self, path: str, version: str = "HTTP/1.1", **options) -> RawAnswer:
        """Send a request and return its answer.

        Args:
          version: OLDER_VERSION for a caller that takes no chunks.

        Raises:
          asyncio.IncompleteReadError, ConnectionError: The connection closed without an answer.
          TimeoutError: No answer came within LONGEST_ANSWER_S.
        """
        self.may_be_kept = False
        request = request_bytes(path, **options)
        self._writer.write(request.replace(b"HTTP/1.1", version.encode(), 1))
        async with asyncio.timeout(LONGEST_ANSWER_S):
            got = await read_answer(self._reader, takes_chunks=version != OLDER_VERSION)
        closes = version == OLDER_VERSION or got.headers.get("connection", "").lower() == "close"
        self.may_be_kept = got.is_complete and not closes
        return got

    async def ask_head(self, path: str) -> RawAnswer:
        """Send a HEAD request and return its answer, which has no body."""
        self._writer.write(request_bytes(path, method="HEAD"))
        async with asyncio.timeout(LONGEST_ANSWER_S):
            return await read_answer(self._reader, has_body=False)

    def close(self) -> None:
        """Close the connection; no further request may be sent."""
        self.may_be_kept = False
        self._writer.close()


async def ask(address: str, path: str, **options) -> RawAnswer:
    """Send a request on a new connection and return its answer.

    Raises:
      asyncio.IncompleteReadError: The connection closed without an answer.
    """
    connection = await CallerConnection.open(address)
    try:
        return await connection.ask(path, **options)
    finally:
        connection.close()
