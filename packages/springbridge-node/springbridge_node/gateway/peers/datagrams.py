"""UDP datagrams between nodes, for messages that may be lost.

Data that must arrive is fetched over HTTP connections instead. All nodes use the same port, so that
a peer's IP address is enough to reach it. A datagram is a JSON list of its kind and its rows;
codec.py encodes the rows.
"""

import asyncio
import random
from collections.abc import Callable
from enum import IntEnum

import orjson
from springbridge.membership import Membership

from springbridge_node import logs

# Minimum seconds between two log lines about dropped datagrams, so that a peer that sends only
# malformed ones causes one line a second.
DROPPED_LOG_INTERVAL_S = 1.0

Handler = Callable[[list, str], None]


class Kind(IntEnum):
    """Type of a datagram; the number is sent and must not change."""

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
    BRITTLE = 18
    PLACE_REQUEST = 19
    PLACE_REPLY = 20
    PLACE_END = 21
    STREAM_BEGAN = 22
    ORIGIN_REQUEST = 23
    ORIGIN_REPLY = 24
    PART_CRASHES = 25


class PeerDatagrams(asyncio.DatagramProtocol):
    """The UDP socket, which dispatches datagrams to a handler for each kind."""

    def __init__(self, membership: Membership, port: int) -> None:
        """Create an unbound protocol; use open() to bind it.

        Args:
          membership: Has the addresses of peers, for sample_peers().
          port: The port that all nodes use.
        """
        self._membership = membership
        self._port = port
        self._handlers: dict[int, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._next_dropped_log_s = float("-inf")

    @classmethod
    async def open(cls, membership: Membership, ip: str, port: int) -> "PeerDatagrams":
        """Bind the port at an IP address of this host.

        Raises:
          OSError: The address is in use or not an address of this host.
        """
        datagrams = cls(membership, port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: datagrams, local_addr=(ip, port))
        return datagrams

    def close(self) -> None:
        """Close the socket after pending datagrams are sent."""
        if self._transport is not None:
            self._transport.close()

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Register the handler of a kind, called with the rows and the sender's "ip:port"."""
        self._handlers[int(kind)] = handler

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a datagram to its handler; drop and log one that is malformed or meets a fault.

        A handler decodes its rows itself, so a malformed row and a fault of the handler cannot be
        told apart if they raise the same types.
        """
        try:
            kind, rows = orjson.loads(data)
            self._handlers[kind](rows, f"{addr[0]}:{addr[1]}")
        except (ValueError, TypeError, KeyError, IndexError) as exc:
            self._log_dropped(addr[0], exc)
        except Exception as exc:
            logs.fault(exc, "datagram")

    def _log_dropped(self, sender_ip: str, exc: Exception) -> None:
        """Log a dropped datagram, at most once in DROPPED_LOG_INTERVAL_S."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_dropped_log_s:
            return
        self._next_dropped_log_s = now_s + DROPPED_LOG_INTERVAL_S
        logs.event("peers.datagram_dropped", sender=sender_ip, kind=type(exc).__name__)

    def error_received(self, exc: OSError) -> None:
        """Ignore that a peer's port is closed: the failure detector notices its silence."""

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers; does nothing before the socket is open or after close()."""
        if self._transport is None or self._transport.is_closing():
            return
        data = orjson.dumps([int(kind), rows])
        for address in peer_addresses:
            self._transport.sendto(data, (address.rpartition(":")[0], self._port))

    def sample_peers(self, limit: int) -> list[str]:
        """Return the addresses of reachable peers, a random sample if there are more than limit."""
        peers = [member.peer_address for member in self._membership.reachable()]
        return peers if len(peers) <= limit else random.sample(peers, limit)
