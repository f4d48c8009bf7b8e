"""Calls with short answers to one address, such as the platform's store or a peer.

Owns the idle connections to that address. Relies on HttpConnection for the exchange itself.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    HttpConnection,
    connect,
)
from springbridge_node.gateway.http.http_head import AnswerBrokenError

# Seconds for a connection to come up. Below the time limits of the calls that use it (0.8 s to a
# peer, 1.2 s to the store), so that some time is left for the answer.
CONNECT_TIMEOUT_S = 0.6
# Seconds for which an idle connection is used again if the other side does not say how long it
# keeps it. A call on a connection that was closed meanwhile fails.
LONGEST_IDLE_S = 5.0
# The other side may say how long it keeps an idle connection; it is used for this share of that
# time. The rest lets the next request arrive before the other side closes.
SHARE_OF_KEEP = 0.7


class CallFailedError(Exception):
    """There was no whole answer in time. Nobody can say whether the call took effect."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class HttpClient:
    """Makes calls to one address, each on a connection of its own while it runs."""

    def __init__(self, address: str) -> None:
        """Start without connections.

        Args:
          address: IP number and port.
        """
        self._address = address
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
          headers: Headers beside those of the framing.

        Raises:
          CallFailedError: There was no whole answer in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, body, headers or {})
        except (AnswerBrokenError, ConnectFailedError, TimeoutError) as exc:
            raise CallFailedError(type(exc).__name__) from exc

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def _call(
        self, method: str, target: str, body: bytes, headers: Mapping[str, str]
    ) -> Answer:
        """Make a call without a time limit, and keep the connection if it may be used again."""
        connection = await self._connection()
        try:
            connection.send(self._head(method, target, body, headers), body)
            head = await connection.read_head()
            answer = b"".join([piece async for piece in connection.read_body(head)])
        except BaseException:
            connection.abort()
            raise
        if connection.may_be_kept:
            self._idle.append(connection)
        else:
            connection.abort()
        return Answer(head.status, answer, head.headers)

    async def _connection(self) -> HttpConnection:
        """Return an idle connection that may be used again, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.can_carry(LONGEST_IDLE_S, SHARE_OF_KEEP):
                return connection
            connection.abort()
        return await connect(self._address, CONNECT_TIMEOUT_S)

    def _head(self, method: str, target: str, body: bytes, headers: Mapping[str, str]) -> bytes:
        """Return the head of a call."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
