"""Which new peers this node tells what it knows.

A node that starts knows nothing of what was told before. Those that come first in a ranking for it
tell it, so that all agree on who does without a message.
"""

from itertools import islice

from springbridge.hashing import score
from springbridge.membership import Membership

# Nodes that tell a peer which starts. More than one, as a datagram may be lost.
GREETERS = 3


class Greeting:
    """The peers that this node has seen so far."""

    def __init__(self, membership: Membership) -> None:
        """Start without peers."""
        self._membership = membership
        self._seen: set[str] = set()
        self._version = -1

    def new_peers(self) -> list[str]:
        """Return the addresses of peers that were not there at the last look and are told by me."""
        version = self._membership.live_version()
        if version == self._version:
            return []
        self._version = version
        running = {member.incarnation: member for member in self._membership.reachable()}
        new, self._seen = running.keys() - self._seen, set(running)
        return [running[name].peer_address for name in new if self._is_mine(name, running)]

    def _is_mine(self, incarnation: str, running: dict) -> bool:
        """Return whether this node is among those that tell a peer."""
        mine = score(incarnation, self._membership.me.incarnation)
        others = (score(incarnation, each) for each in running if each != incarnation)
        # The search ends with the last greeter before this node; a fleet starts all at once.
        before_me = islice((each for each in others if each > mine), GREETERS)
        return sum(1 for _ in before_me) < GREETERS
