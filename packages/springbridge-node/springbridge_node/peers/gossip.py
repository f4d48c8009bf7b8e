"""Carries the membership's digests between nodes.

A digest is a few hundred bytes and may be lost without harm, since the next one says more.
"""

from collections.abc import Callable

from springbridge.membership import Member, Membership, Phase

from springbridge_node import logs
from springbridge_node.peers.datagrams import Kind, PeerDatagrams

PUSHED_PEERS = 64


class Gossip:
    """Sends and receives digests."""

    def __init__(
        self, membership: Membership, datagrams: PeerDatagrams, heard: Callable[[], None]
    ) -> None:
        """Keep the membership and whom to tell when a digest was taken in."""
        self._membership = membership
        self._datagrams = datagrams
        self._heard = heard
        datagrams.handle(Kind.DIGEST, self._take)

    def send(self, peer_addresses: list[str]) -> None:
        """Send this node's digest to peers."""
        rows = [_row(member) for member in self._membership.digest()]
        self._datagrams.send(Kind.DIGEST, rows, peer_addresses)

    def push(self) -> None:
        """Send this node's digest to all peers at once, for news that must not wait."""
        self.send(self._datagrams.some_peers(PUSHED_PEERS))

    def _take(self, rows: list) -> None:
        """Take in a digest."""
        known = set(self._membership.incarnations())
        self._membership.merge([_member(row) for row in rows])
        self._log_changes(known)
        self._heard()

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
