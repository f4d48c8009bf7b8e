"""Datagrams between nodes: small news that may be lost without harm.

What must arrive travels over connections. All nodes use the same port, so that the IP number of a
peer is enough to reach it.
"""

import asyncio
import random
from collections.abc import Callable
from enum import IntEnum

import orjson
from springbridge.membership import Membership

Handler = Callable[[list, str], None]


class Kind(IntEnum):
    """What a datagram carries; the number travels."""

    DIGEST = 1
    LOAD = 2
    ASK = 3
    ASSIGNED = 4


class PeerDatagrams(asyncio.DatagramProtocol):
    """The socket for datagrams."""

    def __init__(self, membership: Membership, port: int) -> None:
        """Keep the membership, which knows the peers."""
        self._membership = membership
        self._port = port
        self._handlers: dict[int, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, membership: Membership, ip: str, port: int) -> "PeerDatagrams":
        """Bind the port."""
        datagrams = cls(membership, port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: datagrams, local_addr=(ip, port))
        return datagrams

    def close(self) -> None:
        """Close the socket once what was sent is out."""
        if self._transport is not None:
            self._transport.close()

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set who takes in datagrams of a kind."""
        self._handlers[int(kind)] = handler

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand on a datagram and its sender's address; anything unreadable is dropped."""
        try:
            kind, rows = orjson.loads(data)
            self._handlers[kind](rows, f"{addr[0]}:{addr[1]}")
        except (ValueError, TypeError, KeyError, IndexError):
            return

    def error_received(self, exc: OSError) -> None:
        """Ignore that a peer's port is closed: its silence tells the same."""

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers."""
        if self._transport is None or self._transport.is_closing():
            return
        data = orjson.dumps([int(kind), rows])
        for address in peer_addresses:
            self._transport.sendto(data, (address.rpartition(":")[0], self._port))

    def peers(self) -> list[str]:
        """Return the addresses of the peers that run."""
        return [member.peer_address for member in self._membership.reachable()]

    def some_peers(self, most: int) -> list[str]:
        """Return the addresses of peers that run, a random choice of them where there are many."""
        peers = self.peers()
        return peers if len(peers) <= most else random.sample(peers, most)
