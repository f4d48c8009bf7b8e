"""Base class of stand-ins that serve HTTP: listens, reads requests, stops as if killed.

A subclass answers the requests of each connection one after another. It writes the bytes itself, so
that it can send malformed messages and stop at any byte, which an HTTP library would not allow.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from springbridge_standins.http_wire import Connection, RawRequest, read_request


class HttpStandIn:
    """An HTTP/1.1 server on one address.

    Attributes:
      address: IP:port; empty until the start if no address was given.
      connections: Number of connections accepted so far.
    """

    def __init__(self, address: str = "") -> None:
        """Set the address to listen on; empty for any free port."""
        self.address = address
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._open: set[Connection] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on the address, or on a free port of ip if there is none yet.

        After a stop the same address is used again.
        """
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self.serve, host or ip, int(port or 0))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self, close: Callable[[Connection], None] = Connection.reset) -> None:
        """Stop listening and close all connections, by default with a reset as if killed."""
        if self._server is not None:
            self._server.close()
        for connection in self._open:
            close(connection)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with running(self):
            await asyncio.Event().wait()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until either side closes it."""
        self.connections += 1
        connection = Connection(reader, writer)
        self._open.add(connection)
        # The peer closed the connection, or the stand-in was stopped: neither is an error.
        expected = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
        try:
            with contextlib.suppress(*expected):
                while not writer.is_closing():
                    await self.respond(await read_request(reader), connection)
        finally:
            self._open.discard(connection)
            writer.close()

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Answer a request, or fail it; to be overridden."""
        raise NotImplementedError


@contextlib.asynccontextmanager
async def running(standin: HttpStandIn, ip: str = "127.0.0.1") -> AsyncIterator[str]:
    """Run a stand-in until the block ends, and yield its address."""
    await standin.start(ip)
    try:
        yield standin.address
    finally:
        standin.stop()
