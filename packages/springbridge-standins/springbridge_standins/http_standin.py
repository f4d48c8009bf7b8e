"""What all stand-ins that serve HTTP share: listening, reading requests, and ending like a process.

Each subclass answers one request after another on each connection. It writes bytes itself, so that
it can send what no HTTP library would, and can stop anywhere.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from springbridge_standins.http_wire import Connection, RawRequest, read_request


class HttpStandIn:
    """A server on one address.

    Attributes:
      address: IP number:port; known before the start or from then on.
      connections: How many connections were accepted.
    """

    def __init__(self, address: str = "") -> None:
        """Keep the address; an empty one means any free port."""
        self.address = address
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._open: set[Connection] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Begin to listen, at the address of before if there is one."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self.serve, host or ip, int(port or 0))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self, close: Callable[[Connection], None] = Connection.reset) -> None:
        """Stop listening and end all connections, by a reset as a process that is killed does."""
        if self._server is not None:
            self._server.close()
        for connection in self._open:
            close(connection)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with running(self):
            await asyncio.Event().wait()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        connection = Connection(reader, writer)
        self._open.add(connection)
        # The other side's end, or the stand-in's own, is no fault of the stand-in.
        expected = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
        try:
            with contextlib.suppress(*expected):
                while not writer.is_closing():
                    await self.respond(await read_request(reader), connection)
        finally:
            self._open.discard(connection)
            writer.close()

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Answer a request, or fail it."""
        raise NotImplementedError


@contextlib.asynccontextmanager
async def running(standin: HttpStandIn, ip: str = "127.0.0.1") -> AsyncIterator[str]:
    """Serve a stand-in and give its address."""
    await standin.start(ip)
    try:
        yield standin.address
    finally:
        standin.stop()
