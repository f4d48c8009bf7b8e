"""HTTP/1.1 messages as bytes, so that stand-ins can send what no library would."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

CRLF = b"\r\n"
LINGER_NOT = struct.pack("ii", 1, 0)


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


@dataclass(frozen=True)
class RawAnswer:
    """An answer as it came.

    Attributes:
      whole: Whether its framing says that it is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclass(eq=False)
class Connection:
    """One connection of a stand-in."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """End the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
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
        body, whole = await _read_chunks(reader)
    else:
        length = int(headers.get("content-length", 0))
        try:
            body, whole = await reader.readexactly(length), True
        except asyncio.IncompleteReadError as exc:
            body, whole = exc.partial, False
    return RawAnswer(status, headers, body, whole)


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


def answer(
    request_id: str, body: bytes, status: int = 200, signature: str = "sig", **headers: str
) -> bytes:
    """Return an answer with a length, as an engine sends it."""
    fields = {
        "Request-Id": request_id,
        "Response-Signature": signature,
        "Content-Length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


def stream_head(request_id: str, signature: str = "sig") -> bytes:
    """Return the head of a chunked stream of events."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {signature}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return f"{len(data):x}\r\n".encode() + data + CRLF


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()
