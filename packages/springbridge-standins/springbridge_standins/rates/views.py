"""The membership as a simulated instance sees it: changes are noticed after a random delay.

In a real fleet, instances notice at different times that another one is gone or has returned. Here
each pair draws that delay anew at each change, from a wider range than was seen in real fleets, so
that instances disagree for seconds about which of them grants permits.
"""

import asyncio
import random
from dataclasses import dataclass, field

from springbridge.membership import Member

# Range of the delay until a silent instance is removed, and until a returned one is added.
NOTICE_GONE_S = (0.3, 2.8)
NOTICE_RETURN_S = (0.02, 0.8)
# Peers that receive gossip at each heartbeat.
GOSSIP_PEERS = 3


@dataclass
class SimulatedView:
    """The members as one instance sees them; replaces Membership for rate limiting.

    Attributes:
      me: The instance itself.
      known: The other members that it takes for live, by address.
      silent: Addresses of members that became silent and have not returned.
    """

    me: Member
    rng: random.Random
    known: dict[str, Member] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    _version: int = 0

    def live(self) -> list[Member]:
        """Return the live members, this one included."""
        return [*self.known.values(), self.me]

    def reachable(self) -> list[Member]:
        """Return the other live members."""
        return list(self.known.values())

    def live_version(self) -> int:
        """Return a version that increases with each change of the members."""
        return self._version

    def gossip_targets(self) -> list[str]:
        """Return random peer addresses for the next heartbeat."""
        addresses = list(self.known)
        return self.rng.sample(addresses, min(GOSSIP_PEERS, len(addresses)))

    def reached_share(self) -> float:
        """Return the share of the known and silent instances that this one reaches."""
        return (len(self.known) + 1) / (len(self.known) + len(self.silent) + 1)

    def notice_return(self, member: Member) -> None:
        """Add a member after a random delay."""
        self._schedule(NOTICE_RETURN_S, self._add, member)

    def notice_gone(self, member: Member) -> None:
        """Remove a member after a random delay."""
        self._schedule(NOTICE_GONE_S, self._remove, member)

    def _schedule(self, span_s: tuple[float, float], work, member: Member) -> None:
        asyncio.get_running_loop().call_later(self.rng.uniform(*span_s), work, member)

    def _add(self, member: Member) -> None:
        self.known[member.peer_address] = member
        self.silent.discard(member.peer_address)
        self._version += 1

    def _remove(self, member: Member) -> None:
        if self.known.get(member.peer_address) == member:
            del self.known[member.peer_address]
            self.silent.add(member.peer_address)
            self._version += 1
