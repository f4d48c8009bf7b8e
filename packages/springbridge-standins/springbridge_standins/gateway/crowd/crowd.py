"""A crowd: clients that connect, send what their kind sends, stand open, and go."""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from springbridge_standins.gateway.crowd.kinds import CrowdKind
from springbridge_standins.http_wire import LINGER_RESET

# Most bytes that a client reads at a time.
READ_BYTES = 1 << 16
# Bytes that the socket of a client takes of an answer that it does not read.
RECEIVE_BUFFER_BYTES = 4096
# Beginning of an answer, by which its status is found.
STATUS_LINE_BYTES = 12


@dataclass
class Crowd:
    """Clients that are connected.

    Attributes:
      ended: How the clients ended so far: "sent" all, "refused" a connection, or "closed" on.
      statuses: Statuses of the answers that reading clients got; "none" without an answer.
    """

    ended: Counter[str] = field(default_factory=Counter)
    statuses: Counter[str] = field(default_factory=Counter)
    _sockets: list[socket.socket] = field(default_factory=list)
    _tasks: list[asyncio.Task] = field(default_factory=list)

    def add(self, kind: CrowdKind, address: str) -> None:
        """Let one more client begin."""
        sock = socket.socket()
        sock.setblocking(False)
        if not kind.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sockets.append(sock)
        self._tasks.append(asyncio.ensure_future(self._play(kind, address, sock)))

    async def stand(self, longest_s: float) -> None:
        """Wait until all clients have sent what they send or were closed on, at most so long."""
        await asyncio.wait(self._tasks, timeout=longest_s)

    async def go(self) -> None:
        """Reset all connections."""
        for task in self._tasks:
            task.cancel()
        # Before the sockets are closed, whose descriptors others may get at once.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()

    async def _play(self, kind: CrowdKind, address: str, sock: socket.socket) -> None:
        """Be one client."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            await loop.sock_connect(sock, (host, int(port)))
        except OSError:
            self.ended["refused"] += 1
            return
        reading = asyncio.ensure_future(self._read(sock)) if kind.reads else None
        if reading is not None:
            self._tasks.append(reading)
        try:
            for piece in kind.pieces():
                await loop.sock_sendall(sock, piece)
            self.ended["sent"] += 1
        except OSError:
            self.ended["closed"] += 1
        if reading is not None:
            await reading

    async def _read(self, sock: socket.socket) -> None:
        """Read until the first answer has begun, and count its status."""
        got = b""
        with contextlib.suppress(OSError):
            while len(got) < STATUS_LINE_BYTES:
                piece = await asyncio.get_running_loop().sock_recv(sock, READ_BYTES)
                if not piece:
                    break
                got += piece
        self.statuses[got[9:STATUS_LINE_BYTES].decode("latin-1") or "none"] += 1


@contextlib.asynccontextmanager
async def crowd_of(kind: CrowdKind, count: int, address: str) -> AsyncIterator[Crowd]:
    """Yield a crowd of some clients, which is gone when the block ends."""
    crowd = Crowd()
    for _ in range(count):
        crowd.add(kind, address)
    try:
        yield crowd
    finally:
        await crowd.go()
