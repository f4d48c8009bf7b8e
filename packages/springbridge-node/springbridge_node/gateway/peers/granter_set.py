"""Which node grants the permits of an endpoint, as this node sees the fleet.

Applies springbridge/rates/granters.py to the live members whose build answers such questions, and
keeps the result until the members change.
"""

from springbridge.membership import Member, Membership
from springbridge.rates.granters import granter
from springbridge.routing.records import EndpointEntry

from springbridge_node.gateway.peers.peer_builds import grants_permits


class GranterSet:
    """The granters as this node sees them."""

    def __init__(self, membership: Membership) -> None:
        """Keep the membership."""
        self._membership = membership
        self._version = -1
        self._by_endpoint: dict[str, Member] = {}

    def of(self, entry: EndpointEntry) -> Member:
        """Return the granter of an endpoint, this node itself where there is no other."""
        version = self._membership.live_version()
        if version != self._version:
            self._version = version
            self._by_endpoint = {}
        if entry.endpoint_id not in self._by_endpoint:
            self._by_endpoint[entry.endpoint_id] = self._find(entry)
        return self._by_endpoint[entry.endpoint_id]

    def is_me(self, member: Member) -> bool:
        """Return whether a granter is this node."""
        return member.incarnation == self._membership.me.incarnation

    def _find(self, entry: EndpointEntry) -> Member:
        members = [member for member in self._membership.live() if grants_permits(member.heartbeat)]
        found = granter(members, entry.endpoint_id, entry.failure_domain)
        return found or self._membership.me
