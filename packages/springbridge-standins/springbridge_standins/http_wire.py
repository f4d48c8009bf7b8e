"""HTTP/1.1 messages as bytes, so that stand-ins can send what no library would."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import orjson

# End of a line.
CRLF = b"\r\n"
# Value of SO_LINGER with which a close sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class RawRequest:
    """A request as it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the name of the request."""
        return self.headers.get("request-id", "")

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query's fields."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def json(self) -> Any:
        """Return the decoded body."""
        return orjson.loads(self.body)


@dataclass(frozen=True)
class RawAnswer:
    """An answer as it came.

    Attributes:
      is_complete: Whether its framing says that it is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@dataclass(eq=False)
class Connection:
    """One connection of a stand-in."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """End the connection when all is sent."""
        self.writer.close()

    def reset(self) -> None:
        """End the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.transport.abort()


def parse_head(raw: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, their names in lower case."""
    start, *lines = raw.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return start, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> RawRequest:
    """Read one request.

    Raises:
      asyncio.IncompleteReadError: The connection ended.
    """
    raw = await reader.readuntil(CRLF + CRLF)
    start, headers = parse_head(raw[:-4])
    method, target, _ = start.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return RawRequest(method, target, headers, body)


async def read_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Read one answer, as far as it comes."""
    raw = await reader.readuntil(CRLF + CRLF)
    start, headers = parse_head(raw[:-4])
    status = int(start.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, is_complete = await _read_chunks(reader)
    else:
        length = int(headers.get("content-length", 0))
        try:
            body, is_complete = await reader.readexactly(length), True
        except asyncio.IncompleteReadError as exc:
            body, is_complete = exc.partial, False
    return RawAnswer(status, headers, body, is_complete)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a chunked body and whether it came to its end."""
    body = b""
    try:
        while True:
            length = int((await reader.readuntil(CRLF)).strip(), 16)
            piece = await reader.readexactly(length + 2)
            if length == 0:
                return body, True
            body += piece[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False


def message(start: str, body: bytes, **headers: str) -> bytes:
    """Return a message; header names are written with underscores, empty ones are left out."""
    lines = "".join(
        f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items() if value
    )
    return f"{start}\r\n{lines}\r\n".encode() + body


def answer(
    request_id: str, body: bytes, status: int = 200, signature: str = "sig", **headers: str
) -> bytes:
    """Return an answer with a length, as an endpoint sends it."""
    fields = {
        "Request_Id": request_id,
        "Response_Signature": signature,
        "Content_Length": str(len(body)),
    }
    return message(f"HTTP/1.1 {status} X", body, **fields | headers)


def stream_head(request_id: str, signature: str = "sig", **headers: str) -> bytes:
    """Return the head of a chunked stream of events, with further headers if there are any."""
    fields = {"Request_Id": request_id, "Response_Signature": signature}
    framing = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    return message("HTTP/1.1 200 OK", b"", **fields, **framing, **headers)


def chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return f"{len(data):x}\r\n".encode() + data + CRLF


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


async def fetch(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 5.0, **headers: str
) -> RawAnswer:
    """Send a request on a connection of its own and return its answer.

    Raises:
      OSError: Nobody listens there, the connection broke or ended without an answer, or nothing
        came within timeout_s.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": address, "Content_Length": str(len(body))}
            writer.write(message(f"{method} {path} HTTP/1.1", body, **fields, **headers))
            return await read_answer(reader)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionResetError from exc
        finally:
            writer.close()
