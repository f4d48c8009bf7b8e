"""Reads and builds HTTP/1.1 messages as bytes, so that stand-ins can send malformed ones."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import orjson

CRLF = b"\r\n"
# Statuses whose answers have no body, whatever their headers say.
BODILESS_STATUSES = frozenset({204, 304})
# Any size works.
READ_BYTES = 65536
# SO_LINGER value (on, 0 s) with which closing a socket sends a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class RawRequest:
    """A request as received; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the Request-Id header, empty if there is none."""
        return self.headers.get("request-id", "")

    @property
    def path(self) -> str:
        """Return the path of the target, without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query; of a repeated one the last."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return orjson.loads(self.body)


@dataclass(frozen=True)
class RawAnswer:
    """An answer as received; header names in lower case.

    Attributes:
      is_complete: Whether the body was received to the end that its length or chunks announce.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@dataclass(eq=False)
class Connection:
    """A TCP connection that a stand-in has accepted."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until the buffer has room again."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection after all buffered bytes are sent."""
        self.writer.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset, unless it is closed already."""
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, unless it is closed already."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def parse_head(raw: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, their names in lower case."""
    start, *lines = raw.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return start, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> RawRequest:
    """Read one request.

    Raises:
      asyncio.IncompleteReadError: The connection closed before the end of the request.
    """
    raw = await reader.readuntil(CRLF + CRLF)
    start, headers = parse_head(raw[:-4])
    method, target, _ = start.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return RawRequest(method, target, headers, body)


async def read_answer(
    reader: asyncio.StreamReader, has_body: bool = True, takes_chunks: bool = True
) -> RawAnswer:
    """Read one answer; its body may be cut short if the connection closes.

    Args:
      has_body: False for the answer to a HEAD request.
      takes_chunks: False for a caller to whom an answer without a length ends with its connection.

    Raises:
      asyncio.IncompleteReadError: The connection closed before the end of the headers.
    """
    raw = await reader.readuntil(CRLF + CRLF)
    start, headers = parse_head(raw[:-4])
    status = int(start.split(" ")[1])
    if not has_body or status in BODILESS_STATUSES:
        body, is_complete = b"", True
    elif headers.get("transfer-encoding") == "chunked":
        body, is_complete = await _read_chunks(reader)
    elif "content-length" not in headers and not takes_chunks:
        body, is_complete = await _read_to_end(reader)
    else:
        length = int(headers.get("content-length", 0))
        try:
            body, is_complete = await reader.readexactly(length), True
        except asyncio.IncompleteReadError as exc:
            body, is_complete = exc.partial, False
    return RawAnswer(status, headers, body, is_complete)


async def _read_to_end(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a body that ends with its connection, and whether that ended in order."""
    body = bytearray()
    try:
        while piece := await reader.read(READ_BYTES):
            body += piece
    except ConnectionError:
        return bytes(body), False
    return bytes(body), True


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a chunked body, and whether its last chunk was received."""
    body = bytearray()
    try:
        while True:
            length = int((await reader.readuntil(CRLF)).strip(), 16)
            piece = await reader.readexactly(length + 2)
            if length == 0:
                return bytes(body), True
            body += piece[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return bytes(body), False


def message(start: str, body: bytes, **headers: str) -> bytes:
    """Return a message; header names are given with underscores, and empty headers are left out."""
    lines = "".join(
        f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items() if value
    )
    return f"{start}\r\n{lines}\r\n".encode() + body


def answer(
    request_id: str, body: bytes, status: int = 200, signature: str = "sig", **headers: str
) -> bytes:
    """Return an endpoint's answer with a Content-Length; extra headers override its own."""
    fields = {
        "Request_Id": request_id,
        "Response_Signature": signature,
        "Content_Length": str(len(body)),
    }
    return message(f"HTTP/1.1 {status} X", body, **fields | headers)


def stream_head(request_id: str, signature: str = "sig", **headers: str) -> bytes:
    """Return the status line and headers of a chunked event stream."""
    fields = {"Request_Id": request_id, "Response_Signature": signature}
    framing = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    return message("HTTP/1.1 200 OK", b"", **fields, **framing, **headers)


def unframed_head(request_id: str, signature: str = "sig", **headers: str) -> bytes:
    """Return status line and headers of an answer whose end only its connection marks."""
    fields = {"Request_Id": request_id, "Response_Signature": signature, "Connection": "close"}
    return message("HTTP/1.1 200 OK", b"", **fields, **headers)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk; empty data gives the last chunk, which ends the body."""
    return f"{len(data):x}\r\n".encode() + data + CRLF


def event(number: int) -> bytes:
    """Return a server-sent event with this number as its id."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


async def fetch(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 5.0, **headers: str
) -> RawAnswer:
    """Send a request on a new connection and return its answer.

    Raises:
      OSError: Nothing listens there, the connection failed or closed without an answer, or the
        answer took longer than timeout_s.
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
