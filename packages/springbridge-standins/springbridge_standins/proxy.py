"""A loopback TCP proxy that can delay, reset or block its connections, also in one direction."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from enum import Enum

from springbridge_standins.http_wire import reset

# Any size works.
READ_BYTES = 65536
# Delay of each read: long compared to loopback (microseconds), short compared to a 3 s deadline.
DELAY_S = 0.15
# Interval at which a blocked direction checks whether it may continue.
SILENCE_POLL_S = 0.05


class ConnectionFault(Enum):
    """Faults of connections; soak seeds depend on the order of the members."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


class LoopbackProxy:
    """Forwards connections to a target, with a fault that can be changed at any time.

    Attributes:
      fault: The fault for all bytes from now on; RESET also resets the open connections.
      address: IP:port that it listens on, empty before the start.
    """

    def __init__(self, target: str) -> None:
        """Set the target, IP:port; no fault at first."""
        self._target = target
        self._fault = ConnectionFault.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on an address; port 0 means any free one.

        Raises:
          OSError: The address is in use.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def end_in_order(self) -> None:
        """Stop listening and close all connections in order, as the kernel ends a process."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    @property
    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    @property
    def fault(self) -> ConnectionFault:
        """Return the current fault."""
        return self._fault

    @fault.setter
    def fault(self, fault: ConnectionFault) -> None:
        self._fault = fault
        if fault is ConnectionFault.RESET:
            self._reset_all()

    def disconnect(self) -> None:
        """Reset all connections, and every new one from now on."""
        self.fault = ConnectionFault.RESET

    def restore(self) -> None:
        """End the fault; new connections are forwarded again."""
        self.fault = ConnectionFault.NONE

    def _reset_all(self) -> None:
        for writer in self._writers:
            reset(writer)
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection to the target."""
        if self._fault is ConnectionFault.RESET:
            reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, target_writer}
        end = reset
        # A reset at one side resets the other; a cancelled task is the end of the proxy.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, target_writer, is_response=False),
                self._pump(target_reader, writer, is_response=True),
            )
            end = asyncio.StreamWriter.close
        for each in (writer, target_writer):
            self._writers.discard(each)
            end(each)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        """Forward bytes in one direction until the sender closes it."""
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
    """Run a proxy on an address until the block ends."""
    proxy = LoopbackProxy(target)
    await proxy.start(address)
    try:
        yield proxy
    finally:
        proxy.stop()
