"""Base of the class router's stand-ins: JSON answers, injectable faults and counters.

Tests and the soak set faults by posting their names and values to /faults of the process, and read
the counters from /counters.
"""

import re
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from springbridge_standins.http_standin import HttpStandIn
from springbridge_standins.http_wire import Connection, RawRequest, answer

Handler = Callable[..., Awaitable[None]]


async def send_json(connection: Connection, body: Any, status: int = 200, **headers: str) -> None:
    """Send an answer with a JSON body."""
    await connection.send(answer("", orjson.dumps(body), status, signature="", **headers))


class JsonStandIn(HttpStandIn):
    """A stand-in that dispatches requests to handlers by path.

    Attributes:
      faults: Object whose attributes are the faults.
      routes: Handlers by regular expression of the path; the groups are passed as arguments.
    """

    def __init__(self, address: str, faults: Any, routes: dict[str, Handler]) -> None:
        """Serve at an address, IP number:port; /faults and /counters are added to the routes."""
        super().__init__(address)
        self.faults = faults
        self.routes = {"/faults": self._faults, "/counters": self._counters} | routes

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Call the first handler whose pattern matches the path; answer 404 if none does."""
        for pattern, handler in self.routes.items():
            if match := re.fullmatch(pattern, request.path):
                await handler(request, connection, *match.groups())
                return
        await send_json(connection, {}, 404)

    def set_faults(self, new_faults: dict[str, Any]) -> None:
        """Set the given faults and leave the others as they are."""
        for name, value in new_faults.items():
            setattr(self.faults, name, value)

    def counters(self) -> dict[str, Any]:
        """Return the counters of the stand-in; none by default."""
        return {}

    async def _faults(self, request: RawRequest, connection: Connection) -> None:
        self.set_faults(request.json())
        await send_json(connection, {})

    async def _counters(self, request: RawRequest, connection: Connection) -> None:
        await send_json(connection, self.counters())
