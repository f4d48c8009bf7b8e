"""Which nodes may take the lease of the duties; the same ones get the counts of all nodes.

The ranking goes by the names of instances, so that a node that starts again has its old place.
"""

from springbridge.duties.lease import CANDIDATES
from springbridge.hashing import score
from springbridge.member import Member
from springbridge.membership import Membership

# Hash key of the ranking. All nodes of a fleet have to use the same text.
ROLE_KEY = "holder of duties"


class LeaseCandidates:
    """The ranking of the live nodes, as this node sees them."""

    def __init__(self, membership: Membership) -> None:
        """Keep the membership."""
        self._membership = membership

    def rank(self) -> int:
        """Return how many nodes come before this one."""
        me = self._membership.me
        own = score(ROLE_KEY, me.instance)
        return sum(
            score(ROLE_KEY, member.instance) > own
            for member in self._membership.live()
            if member.incarnation != me.incarnation
        )

    def include_me(self) -> bool:
        """Return whether this node runs and is among the candidates."""
        return self._membership.is_live() and self.rank() < CANDIDATES

    def others(self) -> list[Member]:
        """Return the candidates without this node."""
        me = self._membership.me.incarnation
        live = self._membership.live()
        ranked = sorted(live, key=lambda each: score(ROLE_KEY, each.instance), reverse=True)
        return [member for member in ranked[:CANDIDATES] if member.incarnation != me]
