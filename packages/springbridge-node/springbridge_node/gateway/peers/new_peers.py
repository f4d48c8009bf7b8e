"""Detects new peers and decides which of them this node sends its current state to.

A node that starts has missed everything sent before. The nodes that rank first for it by a hash
send it what they know, so that all nodes agree without messages on who does.
"""

from itertools import islice

from springbridge.hashing import score
from springbridge.membership import Membership

# Number of nodes that send their state to a new peer. More than one, as a datagram may be lost.
SENDERS_PER_NEW_PEER = 3


class NewPeers:
    """Detects peers that have become reachable since the last call."""

    def __init__(self, membership: Membership) -> None:
        """Start without known peers."""
        self._membership = membership
        self._seen: set[str] = set()
        self._version = -1

    def detect(self) -> list[str]:
        """Return the addresses of peers new since the last call and assigned to this node."""
        version = self._membership.live_version()
        if version == self._version:
            return []
        self._version = version
        running = {member.incarnation: member for member in self._membership.reachable()}
        new, self._seen = running.keys() - self._seen, set(running)
        return [running[name].peer_address for name in new if self._is_mine(name, running)]

    def _is_mine(self, incarnation: str, running: dict) -> bool:
        """Return whether this node is among those that send their state to a peer."""
        mine = score(incarnation, self._membership.me.incarnation)
        others = (score(incarnation, each) for each in running if each != incarnation)
        # Stops at SENDERS_PER_NEW_PEER nodes ranked before this one: when a whole fleet starts,
        # each node checks every other.
        before_me = islice((each for each in others if each > mine), SENDERS_PER_NEW_PEER)
        return sum(1 for _ in before_me) < SENDERS_PER_NEW_PEER
