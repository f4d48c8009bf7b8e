"""Which node grants the permits of an endpoint, as this node sees the fleet.

Applies springbridge/rates/granters.py to the live members whose build answers such questions, and
keeps the result until the members change.
"""

from collections.abc import Callable, Collection

from springbridge.membership import Member, Membership
from springbridge.rates.granters import granter
from springbridge.routing.records import EndpointEntry

from springbridge_node.gateway.peers.peer_builds import grants_permits


class GranterSet:
    """The granters as this node sees them."""

    def __init__(self, membership: Membership, clock: Callable[[], float]) -> None:
        """Keep the membership and the clock."""
        self._membership = membership
        self._clock = clock
        self._version = -1
        self._changed_s = clock()
        self._by_endpoint: dict[str, Member] = {}
        self._mine_since_s: dict[str, float] = {}

    def look(self) -> None:
        """Notice a change of the members; due at each heartbeat."""
        version = self._membership.live_version()
        if version != self._version:
            self._version = version
            self._changed_s = self._clock()
            self._by_endpoint = {}

    def of(self, entry: EndpointEntry) -> Member:
        """Return the granter of an endpoint, this node itself where there is no other."""
        self.look()
        if entry.endpoint_id not in self._by_endpoint:
            self._by_endpoint[entry.endpoint_id] = self._find(entry)
        return self._by_endpoint[entry.endpoint_id]

    def tenure_s(self, entry: EndpointEntry) -> float:
        """Return for how many seconds this node has been an endpoint's granter, 0 if it is not.

        For an endpoint that was not looked at before it counts from the last change of the members.
        """
        if not self.is_me(self.of(entry)):
            self._mine_since_s.pop(entry.endpoint_id, None)
            return 0.0
        return self._clock() - self._mine_since_s.setdefault(entry.endpoint_id, self._changed_s)

    def forget_all_but(self, endpoint_ids: Collection[str]) -> None:
        """Forget since when this node has been the granter of other endpoints."""
        for endpoint_id in self._mine_since_s.keys() - set(endpoint_ids):
            del self._mine_since_s[endpoint_id]

    def is_me(self, member: Member) -> bool:
        """Return whether a granter is this node."""
        return member.incarnation == self._membership.me.incarnation

    def _find(self, entry: EndpointEntry) -> Member:
        members = [member for member in self._membership.live() if grants_permits(member.heartbeat)]
        found = granter(members, entry.endpoint_id, entry.failure_domain)
        return found or self._membership.me
