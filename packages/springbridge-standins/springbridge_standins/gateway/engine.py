"""Stand-in engine: records what arrives and answers as a script says."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    event,
    read_request,
    stream_head,
)

Script = Callable[[RawRequest, Connection], Awaitable[None]]


class EngineStandIn:
    """One engine.

    Attributes:
      script: Answers each request; tests replace it.
      arrived: Requests in the order of their arrival.
      abandoned: Ids of requests whose connection closed before the script had ended.
    """

    def __init__(self, endpoint_id: str, script: Script | None = None) -> None:
        """Keep the name and the script."""
        self.endpoint_id = endpoint_id
        self.script = script or plain_answer
        self.arrived: list[RawRequest] = []
        self.abandoned: list[str] = []
        self.connections = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open: set[Connection] = set()

    async def start(self, ip: str) -> None:
        """Begin to listen, at the address of before if there was one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self.serve, ip, port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections, as a process that is killed does."""
        if self._server is not None:
            self._server.close()
        for connection in self._open:
            connection.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        connection = Connection(reader, writer)
        self._open.add(connection)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while not writer.is_closing():
                request = await read_request(reader)
                self.arrived.append(request)
                await self._run_script(request, connection)
        self._open.discard(connection)
        writer.close()

    async def _run_script(self, request: RawRequest, connection: Connection) -> None:
        """Run the script, and stop it when the caller closes the connection."""
        work = asyncio.ensure_future(self.script(request, connection))
        gone = asyncio.ensure_future(connection.reader.read(1))
        await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.abandoned.append(request.request_id)
            work.cancel()
            raise ConnectionResetError
        await _cancelled(gone)
        work.result()


async def _cancelled(task: asyncio.Task) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@contextlib.asynccontextmanager
async def running_engine(engine: EngineStandIn, ip: str = "127.0.0.1") -> AsyncIterator[str]:
    """Serve an engine and give its address."""
    await engine.start(ip)
    try:
        yield engine.address
    finally:
        engine.stop()


async def plain_answer(request: RawRequest, connection: Connection) -> None:
    """Answer with a length."""
    await connection.send(answer(request.request_id, b"whole"))


async def turned_away(request: RawRequest, connection: Connection) -> None:
    """Say that the request was not run."""
    await connection.send(answer(request.request_id, b"", 503, signature="", Not_Executed="1"))


async def other_endpoint(request: RawRequest, connection: Connection) -> None:
    """Say that another engine has this address."""
    await connection.send(answer(request.request_id, b"", 421, signature=""))


async def engine_error(request: RawRequest, connection: Connection) -> None:
    """Fail the request."""
    await connection.send(answer(request.request_id, b"failed", 500))


async def reset_at_once(request: RawRequest, connection: Connection) -> None:
    """Reset without an answer."""
    connection.reset()


async def silent(request: RawRequest, connection: Connection) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


def stream_of(first: int, last: int, signature: str = "sig") -> Script:
    """Return a script that streams events and ends."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id, signature))
        for number in range(first, last + 1):
            await connection.send(chunk(event(number)))
        await connection.send(chunk(b""))

    return script


def stream_then_reset(last: int) -> Script:
    """Return a script that streams events and a half, and resets."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id, "first"))
        for number in range(1, last + 1):
            await connection.send(chunk(event(number)))
        await connection.send(chunk(event(last + 1)[:7]))
        await asyncio.sleep(0.05)
        connection.reset()

    return script


def stream_forever() -> Script:
    """Return a script that streams events without an end."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id))
        number = 0
        while True:
            number += 1
            await connection.send(chunk(event(number)))
            await asyncio.sleep(0.02)

    return script


def raw_bytes(data: bytes, then_close: bool = False, then_reset: bool = False) -> Script:
    """Return a script that sends bytes as they are; ID in them becomes the request's id."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(data.replace(b"ID", request.request_id.encode()))
        if then_reset:
            await asyncio.sleep(0.05)
            connection.reset()
        if then_close:
            connection.writer.close()

    return script
