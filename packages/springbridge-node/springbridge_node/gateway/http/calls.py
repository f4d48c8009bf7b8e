"""HTTP client for calls with short answers to one address, such as the store or a peer.

Owns the idle connections to that address, and uses HttpConnection for the exchange itself.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.http.answer_end import AnswerBrokenError
from springbridge_node.gateway.http.head_faults import BrokenHeadError
from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    HttpConnection,
    connect,
)

# Seconds for establishing a connection. Below the time limits of the calls that use it (0.8 s to a
# peer, 1.2 s to the store), so that some time is left for the answer.
CONNECT_TIMEOUT_S = 0.6
# Seconds for which an idle connection is reused if the other side sends no keep-alive time. A call
# on a connection that was closed meanwhile fails.
MAX_IDLE_S = 5.0
# Bytes of an answer beyond which a call fails, unless its maker expects more. Above the largest one
# of a peer, the list of a fleet of a thousand endpoints.
MAX_ANSWER_BYTES = 16 << 20
# Share of the keep-alive time sent by the other side for which an idle connection is reused. The
# rest lets the next request arrive before the other side closes the connection.
KEEP_ALIVE_SHARE = 0.7


class CallFailedError(Exception):
    """No complete answer arrived in time. It is unknown whether the call took effect."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer, read into memory."""

    status: int
    body: bytes
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class HttpClient:
    """Makes calls to one address; concurrent calls use separate connections."""

    def __init__(self, address: str, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        """Start without connections.

        Args:
          address: IP number and port.
          max_answer_bytes: Bytes of an answer beyond which a call fails.
        """
        self._address = address
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[HttpConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Make a call.

        Args:
          target: Path and query.
          timeout_s: Time for the whole call, in seconds.
          headers: Headers in addition to Host, Content-Type and Content-Length.

        Raises:
          CallFailedError: No complete answer arrived in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, body, headers or {})
        except (AnswerBrokenError, ConnectFailedError, TimeoutError) as exc:
            raise CallFailedError(_reason(exc)) from exc

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def _call(
        self, method: str, target: str, body: bytes, headers: Mapping[str, str]
    ) -> Answer:
        """Make a call without a time limit, and keep the connection if it may be reused."""
        connection = await self._connection()
        try:
            connection.send(self._head(method, target, body, headers), body)
            head = await connection.read_head()
            answer = await connection.read_whole_body(head, self._max_answer_bytes)
        except BaseException:
            connection.abort()
            raise
        if connection.may_be_kept:
            self._idle.append(connection)
        else:
            connection.abort()
        return Answer(head.status, answer, head.headers)

    async def _connection(self) -> HttpConnection:
        """Return an idle connection that may be reused, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.can_reuse(MAX_IDLE_S, KEEP_ALIVE_SHARE):
                return connection
            connection.abort()
        return await connect(self._address, CONNECT_TIMEOUT_S)

    def _head(self, method: str, target: str, body: bytes, headers: Mapping[str, str]) -> bytes:
        """Return the head of a request: request line, headers and the empty line."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _reason(exc: Exception) -> str:
    """Return why a call failed, as logged, and what was wrong with a broken head."""
    name = type(exc).__name__
    return f"{name}: {exc}" if isinstance(exc, BrokenHeadError) else name
