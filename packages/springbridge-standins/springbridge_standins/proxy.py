"""A loopback proxy that delays, resets or silences the connections through it, or cuts each way."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from enum import Enum

# Bytes that are read at once; any size does.
READ_BYTES = 65536
# Delay of each piece; long beside a loopback's microseconds, short beside a deadline of 3 s.
DELAY_S = 0.15
# How often a silenced direction looks whether it may go on.
SILENCE_POLL_S = 0.05


class ConnectionFault(Enum):
    """What happens to connections; the order is part of what a soak's seed means."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


class LoopbackProxy:
    """Passes connections on to a target, with fault that can change at any moment.

    Attributes:
      fault: What happens to bytes from now on; RESET also ends the connections that are open.
    """

    def __init__(self, target: str) -> None:
        """Keep the target's address."""
        self._target = target
        self._fault = ConnectionFault.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Begin to listen; port 0 means any free each."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self._close_all()

    @property
    def is_listening(self) -> bool:
        """Return whether connections are accepted."""
        return self._server is not None and self._server.is_serving()

    @property
    def fault(self) -> ConnectionFault:
        """Return what happens to connections now."""
        return self._fault

    @fault.setter
    def fault(self, fault: ConnectionFault) -> None:
        self._fault = fault
        if fault is ConnectionFault.RESET:
            self._close_all()

    def disconnect(self) -> None:
        """Break all connections and let no new each through."""
        self.fault = ConnectionFault.RESET

    def restore(self) -> None:
        """Let connections through again."""
        self.fault = ConnectionFault.NONE

    def _close_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass each connection on."""
        if self._fault is ConnectionFault.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, target_writer, is_response=False),
                self._pump(target_reader, writer, is_response=True),
            )
        for each in (writer, target_writer):
            self._writers.discard(each)
            each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        """Pass bytes on in each direction until they end."""
        while piece := await reader.read(READ_BYTES):
            while self._fault is ConnectionFault.SILENCE or (
                self._fault is ConnectionFault.ONE_WAY and is_response
            ):
                await asyncio.sleep(SILENCE_POLL_S)
            if self._fault is ConnectionFault.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(piece)
            await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def running_proxy(address: str, target: str) -> AsyncIterator[LoopbackProxy]:
    """Run a proxy on an address."""
    proxy = LoopbackProxy(target)
    await proxy.start(address)
    try:
        yield proxy
    finally:
        proxy.stop()
