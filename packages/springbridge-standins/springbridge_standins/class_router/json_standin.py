"""What the class router's stand-ins share: JSON answers, faults to switch, counters to read.

Tests and the soak switch faults by posting their names and values to /faults of the process.
"""

import re
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from springbridge_standins.http_standin import HttpStandIn
from springbridge_standins.http_wire import Connection, RawRequest, answer

Handler = Callable[..., Awaitable[None]]


async def send_json(connection: Connection, body: Any, status: int = 200, **headers: str) -> None:
    """Answer with JSON."""
    await connection.send(answer("", orjson.dumps(body), status, signature="", **headers))


class JsonStandIn(HttpStandIn):
    """A stand-in whose handlers are found by path.

    Attributes:
      faults: Object whose attributes are the faults.
      routes: Pattern of a path and what answers; groups of the pattern follow as arguments.
    """

    def __init__(self, address: str, faults: Any, routes: dict[str, Handler]) -> None:
        """Keep the address IP number:port, the faults and the routes."""
        super().__init__(address)
        self.faults = faults
        self.routes = {"/faults": self._faults, "/counters": self._counters} | routes

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Let the first handler whose pattern fits answer."""
        for pattern, handler in self.routes.items():
            if found := re.fullmatch(pattern, request.path):
                await handler(request, connection, *found.groups())
                return
        await send_json(connection, {}, 404)

    def switch(self, wanted: dict[str, Any]) -> None:
        """Switch the faults that are named."""
        for name, value in wanted.items():
            setattr(self.faults, name, value)

    def counters(self) -> dict[str, Any]:
        """Return what the stand-in has done."""
        return {}

    async def _faults(self, request: RawRequest, connection: Connection) -> None:
        self.switch(request.json())
        await send_json(connection, {})

    async def _counters(self, request: RawRequest, connection: Connection) -> None:
        await send_json(connection, self.counters())
