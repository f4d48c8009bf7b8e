"""Which members a drawn instance takes for live.

On a running fleet an instance notices that another one is gone, or there again, later than others
do. Here each pair draws that time anew at each change, from a wider span than was seen on running
fleets, so that instances disagree for seconds on who grants permits.
"""

import asyncio
import random
from dataclasses import dataclass, field

from springbridge.membership import Member

# Seconds until a silent instance is left out, and until one that is there again is counted.
NOTICE_GONE_S = (0.3, 2.8)
NOTICE_THERE_S = (0.02, 0.8)
# Peers that get what is told at a beat.
PEERS = 3


@dataclass
class DrawnView:
    """The members as one instance sees them; what the parts that keep to rates ask a membership.

    Attributes:
      me: The instance itself.
      known: The other members that it takes for live, by address.
      silent: Addresses of members that fell silent and did not come back.
    """

    me: Member
    rng: random.Random
    known: dict[str, Member] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    _version: int = 0

    def live(self) -> list[Member]:
        """Return the members that run, this one included."""
        return [*self.known.values(), self.me]

    def reachable(self) -> list[Member]:
        """Return the other members that run."""
        return list(self.known.values())

    def live_version(self) -> int:
        """Return a number that changes with the members."""
        return self._version

    def gossip_targets(self) -> list[str]:
        """Return the addresses that the next beat goes to."""
        addresses = list(self.known)
        return self.rng.sample(addresses, min(PEERS, len(addresses)))

    def reached_share(self) -> float:
        """Return which part of the instances that may be running this one reaches."""
        return (len(self.known) + 1) / (len(self.known) + len(self.silent) + 1)

    def notice_there(self, member: Member) -> None:
        """Count a member as live, after a while."""
        self._later(NOTICE_THERE_S, self._there, member)

    def notice_gone(self, member: Member) -> None:
        """Leave a member out, after a while."""
        self._later(NOTICE_GONE_S, self._gone, member)

    def _later(self, span_s: tuple[float, float], work, member: Member) -> None:
        asyncio.get_running_loop().call_later(self.rng.uniform(*span_s), work, member)

    def _there(self, member: Member) -> None:
        self.known[member.peer_address] = member
        self.silent.discard(member.peer_address)
        self._version += 1

    def _gone(self, member: Member) -> None:
        if self.known.get(member.peer_address) == member:
            del self.known[member.peer_address]
            self.silent.add(member.peer_address)
            self._version += 1
