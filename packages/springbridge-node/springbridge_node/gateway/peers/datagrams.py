"""Datagrams between nodes: messages that may be lost without harm.

What must arrive is fetched over connections. All nodes use the same port, so that a peer's IP
number is enough to reach it. A datagram is a JSON list of its kind and its rows; codec.py has the
rows.
"""

import asyncio
import random
from collections.abc import Callable
from enum import IntEnum

import orjson
from springbridge.membership import Membership

from springbridge_node import logs

# Seconds between two log lines about datagrams that were dropped. A peer that sends nothing but
# such datagrams costs one line a second.
DROPPED_LOG_INTERVAL_S = 1.0

Handler = Callable[[list, str], None]


class Kind(IntEnum):
    """What a datagram is; the number is sent and must not change."""

    DIGEST = 1
    LOAD = 2
    SELECTION_REQUEST = 3
    SELECTION_REPLY = 4
    AGED_DIGEST = 5
    MEMBERS_REQUEST = 6
    CRASHES = 7
    TRIAL_REQUEST = 8
    TRIAL_REPLY = 9
    TRIAL_ENDED = 10
    USAGE = 11
    DUTY_NEWS = 12
    RATES = 13
    PERMIT_REQUEST = 14
    PERMIT_REPLY = 15
    PERMIT_BACK = 16
    EVACUATIONS = 17


class PeerDatagrams(asyncio.DatagramProtocol):
    """The socket for datagrams, and who handles each kind."""

    def __init__(self, membership: Membership, port: int) -> None:
        """Keep the membership, which knows the peers, and the port of all nodes."""
        self._membership = membership
        self._port = port
        self._handlers: dict[int, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._next_dropped_log_s = float("-inf")

    @classmethod
    async def open(cls, membership: Membership, ip: str, port: int) -> "PeerDatagrams":
        """Bind the port.

        Raises:
          OSError: The address is in use or belongs to another host.
        """
        datagrams = cls(membership, port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: datagrams, local_addr=(ip, port))
        return datagrams

    def close(self) -> None:
        """Close the socket once what was sent is out."""
        if self._transport is not None:
            self._transport.close()

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set who takes the rows of a kind, with the sender's IP number and port."""
        self._handlers[int(kind)] = handler

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Give a datagram to its handler; one that cannot be read is dropped and logged."""
        try:
            kind, rows = orjson.loads(data)
            self._handlers[kind](rows, f"{addr[0]}:{addr[1]}")
        except (ValueError, TypeError, KeyError, IndexError) as exc:
            self._log_dropped(addr[0], exc)

    def _log_dropped(self, sender_ip: str, exc: Exception) -> None:
        """Log a dropped datagram unless one was logged a moment ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_dropped_log_s:
            return
        self._next_dropped_log_s = now_s + DROPPED_LOG_INTERVAL_S
        logs.event("peers.datagram_dropped", sender=sender_ip, kind=type(exc).__name__)

    def error_received(self, exc: OSError) -> None:
        """Ignore that a peer's port is closed: its silence shows in the membership."""

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers; nothing once the socket is closed."""
        if self._transport is None or self._transport.is_closing():
            return
        data = orjson.dumps([int(kind), rows])
        for address in peer_addresses:
            self._transport.sendto(data, (address.rpartition(":")[0], self._port))

    def sample_peers(self, limit: int) -> list[str]:
        """Return the addresses of the peers that run, a random sample where there are more."""
        peers = [member.peer_address for member in self._membership.reachable()]
        return peers if len(peers) <= limit else random.sample(peers, limit)
