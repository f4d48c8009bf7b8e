"""Calls with short answers to one address, over a connection that is kept between them."""

import asyncio
from dataclasses import dataclass

from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    HttpConnection,
    connect,
)
from springbridge_node.gateway.http.http_head import AnswerBrokenError

CONNECT_TIMEOUT_S = 0.6
LONGEST_REST_S = 5.0
SHARE_OF_KEEP = 0.7


class CallFailedError(Exception):
    """No whole answer came in time; whether the call took effect is not known."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes


class Caller:
    """Makes calls to one address, one at a time on each kept connection."""

    def __init__(self, address: str) -> None:
        """Keep the address, an IP number and port."""
        self.address = address
        self._resting: list[HttpConnection] = []

    async def call(
        self, method: str, target: str, body: bytes = b"", timeout_s: float = 1.5
    ) -> Answer:
        """Make a call.

        Args:
          target: Path and query.

        Raises:
          CallFailedError: No whole answer came in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, body)
        except (AnswerBrokenError, ConnectFailedError, TimeoutError) as exc:
            raise CallFailedError(type(exc).__name__) from exc

    def close(self) -> None:
        """Close the kept connections."""
        while self._resting:
            self._resting.pop().abort()

    async def _call(self, method: str, target: str, body: bytes) -> Answer:
        connection = await self._connection()
        try:
            connection.send(self._head(method, target, body), body)
            head = await connection.read_head()
            answer = b"".join([piece async for piece in connection.read_body(head)])
        except BaseException:
            connection.abort()
            raise
        if connection.may_be_kept:
            self._resting.append(connection)
        else:
            connection.abort()
        return Answer(head.status, answer)

    async def _connection(self) -> HttpConnection:
        """Return a kept connection that is still fit, or a new one."""
        while self._resting:
            connection = self._resting.pop()
            if connection.can_carry(LONGEST_REST_S, SHARE_OF_KEEP):
                return connection
            connection.abort()
        return await connect(self.address, CONNECT_TIMEOUT_S)

    def _head(self, method: str, target: str, body: bytes) -> bytes:
        """Return the head of a call."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
