"""Determines which node grants the permits of an endpoint, as this node sees the fleet.

Applies springbridge/rates/granters.py to the live members whose build answers permit requests, and
caches the result until the live members change.
"""

from collections.abc import Callable, Collection

from springbridge.membership import Member, Membership
from springbridge.rates.granters import granters
from springbridge.routing.records import EndpointEntry

from springbridge_node.gateway.peers.peer_builds import grants_permits

# Seconds for which a granter that did not reply is skipped. A node that ended is no longer the
# granter about 1 s later.
SILENT_S = 0.5


class GranterSet:
    """The granters as this node sees them."""

    def __init__(
        self,
        membership: Membership,
        clock: Callable[[], float],
        can_grant: Callable[[int], bool] = grants_permits,
    ) -> None:
        """Create a set that reads the live members of a membership.

        Args:
          can_grant: Returns whether a member's build can be a granter, given its heartbeat.
        """
        self._can_grant = can_grant
        self._membership = membership
        self._clock = clock
        self._version = -1
        self._changed_s = clock()
        self._by_endpoint: dict[str, list[Member]] = {}
        self._mine_since_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}

    def refresh(self) -> None:
        """Clear the cache if the live members have changed; call it at each heartbeat."""
        version = self._membership.live_version()
        if version != self._version:
            self._version = version
            self._changed_s = self._clock()
            self._by_endpoint = {}

    def of(self, entry: EndpointEntry) -> Member:
        """Return the granter of an endpoint, this node itself if no live member qualifies."""
        return self.ranked(entry)[0]

    def responsive(self, entry: EndpointEntry) -> Member | None:
        """Return the first granter or substitute that is not marked silent, None if all are."""
        now_s = self._clock()
        for member in self.ranked(entry):
            if self._silent_until_s.get(member.incarnation, now_s) <= now_s:
                return member
        return None

    def mark_silent(self, member: Member) -> None:
        """Skip a granter for SILENT_S because it did not reply."""
        now_s = self._clock()
        self._silent_until_s = {
            each: until_s for each, until_s in self._silent_until_s.items() if until_s > now_s
        }
        self._silent_until_s[member.incarnation] = now_s + SILENT_S

    def tenure_s(self, entry: EndpointEntry) -> float:
        """Return for how many seconds this node has been an endpoint's granter, 0 if it is not.

        For an endpoint that was not queried before, the time since the last change of the live
        members counts.
        """
        if not self.is_me(self.of(entry)):
            self._mine_since_s.pop(entry.endpoint_id, None)
            return 0.0
        return self._clock() - self._mine_since_s.setdefault(entry.endpoint_id, self._changed_s)

    def keep_only(self, endpoint_ids: Collection[str]) -> None:
        """Drop the start times of this node's tenure for all other endpoints."""
        for endpoint_id in self._mine_since_s.keys() - set(endpoint_ids):
            del self._mine_since_s[endpoint_id]

    def is_me(self, member: Member) -> bool:
        """Return whether a granter is this node."""
        return member.incarnation == self._membership.me.incarnation

    def ranked(self, entry: EndpointEntry) -> list[Member]:
        """Return an endpoint's granter and its substitutes; this node alone if none qualifies."""
        self.refresh()
        if entry.endpoint_id not in self._by_endpoint:
            members = [each for each in self._membership.live() if self._can_grant(each.heartbeat)]
            found = granters(members, entry.endpoint_id, entry.failure_domain)
            self._by_endpoint[entry.endpoint_id] = found or [self._membership.me]
        return self._by_endpoint[entry.endpoint_id]
