"""Carries the membership's digests between nodes in datagrams.

A digest is a few hundred bytes and may be lost without harm, since the next one says more; that is
why it does not travel over the connections that carry what must arrive.
"""

import asyncio
from collections.abc import Callable

import orjson
from springbridge.membership import Member, Membership, Phase

from springbridge_node import logs

PUSHED_PEERS = 64


class GossipChannel(asyncio.DatagramProtocol):
    """Sends and receives digests.

    All nodes use the same port, so that a peer's IP number is enough to reach it.
    """

    def __init__(self, membership: Membership, port: int, heard: Callable[[], None]) -> None:
        """Keep the membership and whom to tell when a digest was taken in."""
        self._membership = membership
        self._port = port
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(
        cls, membership: Membership, ip: str, port: int, heard: Callable[[], None]
    ) -> "GossipChannel":
        """Bind the port."""
        channel = cls(membership, port, heard)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: channel, local_addr=(ip, port))
        return channel

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a digest; anything unreadable is dropped."""
        try:
            members = [_member(row) for row in orjson.loads(data)]
        except (ValueError, TypeError, IndexError):
            return
        known = set(self._membership.incarnations())
        self._membership.merge(members)
        self._log_changes(known)
        self._heard()

    def error_received(self, exc: OSError) -> None:
        """Ignore that a peer's port is closed: its silence tells the same."""

    def send(self, peer_addresses: list[str]) -> None:
        """Send this node's digest to peers."""
        if self._transport is None or self._transport.is_closing():
            return
        data = orjson.dumps([_row(member) for member in self._membership.digest()])
        for address in peer_addresses:
            self._transport.sendto(data, (address.rpartition(":")[0], self._port))

    def push(self) -> None:
        """Send this node's digest to all peers at once, for news that must not wait."""
        peers = [member.peer_address for member in self._membership.reachable()]
        self.send(peers[:PUSHED_PEERS])

    def _log_changes(self, known: set[str]) -> None:
        """Log members that came or left with a digest."""
        now = set(self._membership.incarnations())
        for incarnation in sorted(now - known):
            logs.event("member.joined", incarnation=incarnation)
        for incarnation in sorted(known - now):
            logs.event("member.left", incarnation=incarnation)


def _row(member: Member) -> list:
    """Return a member as it travels."""
    return [
        member.incarnation,
        member.instance,
        member.peer_address,
        member.caller_address,
        member.place,
        member.heartbeat,
        int(member.phase),
        member.config_version,
    ]


def _member(row: list) -> Member:
    """Return a member from what travelled."""
    incarnation, instance, peer, caller, place, heartbeat, phase, version = row
    return Member(
        incarnation, instance, peer, caller, place, int(heartbeat), Phase(phase), int(version)
    )
