"""Ranks the nodes that may hold the lease of the duties; they also receive the usage of all nodes.

The rank depends on the name of the instance, so that a restarted node has the same rank.
"""

from springbridge.duties.lease import CANDIDATES
from springbridge.hashing import score
from springbridge.member import Member
from springbridge.membership import Membership

# Hash key of the ranking. All nodes of a fleet must use the same text.
ROLE_KEY = "holder of duties"


class LeaseCandidates:
    """The ranking of the live nodes, by the membership as this node sees it."""

    def __init__(self, membership: Membership) -> None:
        """Keep the membership."""
        self._membership = membership

    def rank(self) -> int:
        """Return how many live nodes are ranked before this one."""
        me = self._membership.me
        own = score(ROLE_KEY, me.instance)
        return sum(
            score(ROLE_KEY, member.instance) > own
            for member in self._membership.live()
            if member.incarnation != me.incarnation
        )

    def include_me(self) -> bool:
        """Return whether this node is live and one of the candidates."""
        return self._membership.is_live() and self.rank() < CANDIDATES

    def others(self) -> list[Member]:
        """Return the candidates other than this node."""
        me = self._membership.me.incarnation
        live = self._membership.live()
        ranked = sorted(live, key=lambda each: score(ROLE_KEY, each.instance), reverse=True)
        return [member for member in ranked[:CANDIDATES] if member.incarnation != me]
