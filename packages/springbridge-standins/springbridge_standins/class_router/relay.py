"""A TCP relay that can be cut, to part a node from the platform in tests."""

import asyncio
from contextlib import asynccontextmanager

CHUNK_BYTES = 65536


class Relay:
    """Passes connections on to a target until it is cut."""

    def __init__(self, target: str):
        """Keep the target, IP number:port."""
        self._target = target
        self._open: set[asyncio.StreamWriter] = set()
        self.is_cut = False

    def cut(self) -> None:
        """Break all connections and let no new one through."""
        self.is_cut = True
        for writer in self._open:
            writer.close()

    def mend(self) -> None:
        """Let connections through again."""
        self.is_cut = False

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            writer.close()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._open |= {writer, far_writer}
        await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        self._open -= {writer, far_writer}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy one direction until either side ends."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    writer.close()


@asynccontextmanager
async def running_relay(address: str, target: str):
    """Run a relay on an address."""
    relay = Relay(target)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(relay._accept, host, int(port))
    try:
        yield relay
    finally:
        relay.cut()
        server.close()
