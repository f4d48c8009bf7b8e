"""Determines which nodes are coordinators for a service, as this node sees the fleet.

springbridge/routing/coordinators.py has the rule. This module applies it to the live members,
caches the result briefly, and skips coordinators that recently did not answer.
"""

from collections.abc import Callable

from springbridge.membership import Member, Membership
from springbridge.routing.coordinators import coordinators, in_order_for

from springbridge_node import logs
from springbridge_node.clock import now_s

# Largest fleet in which every node is a coordinator: each sends its load notices to all others. At
# this size each step of a request costs 16 datagrams.
MAX_FULL_MESH_NODES = 17
# Seconds for which the roles are cached, equal to the heartbeat interval. Computing them costs
# 1.4 us for each member, and without the cache every request would do it.
ROLES_CACHE_S = 0.25
# Seconds for which a coordinator that did not answer is skipped. Several times the 80 ms that a
# request loses by asking a dead one.
AVOIDED_S = 0.5


class CoordinatorSet:
    """The coordinators of the fleet as this node sees them.

    In a fleet of up to MAX_FULL_MESH_NODES nodes each is a coordinator; in a larger one a
    few nodes are, chosen for each service.
    """

    def __init__(self, membership: Membership, clock: Callable[[], float] = now_s) -> None:
        """Create a set that reads the live members of a membership."""
        self._membership = membership
        self._clock = clock
        self._refreshed_s = float("-inf")
        self._all_coordinators = True
        self._by_service: dict[str, list[Member]] = {}
        self._avoided_until_s: dict[str, float] = {}

    def includes_self(self, service: str) -> bool:
        """Return whether this node is a coordinator and gets all load notices for a service."""
        found = self._coordinators(service)
        return self._all_coordinators or any(self._is_me(member) for member in found)

    def notice_receivers(self, service: str) -> list[str]:
        """Return the peer addresses that this node sends its load notices for a service to."""
        found = self._coordinators(service)
        if self._all_coordinators:
            found = self._membership.reachable()
        return [member.peer_address for member in found if not self._is_me(member)]

    def preferred(self, service: str) -> str | None:
        """Return the address of the coordinator to ask, or None if no other node is available."""
        found = self._coordinators(service)
        now_s = self._clock()
        for member in in_order_for(self._membership.me.failure_domain, found):
            avoided_until_s = self._avoided_until_s.get(member.peer_address, now_s)
            if not self._is_me(member) and avoided_until_s <= now_s:
                return member.peer_address
        return None

    def avoid(self, address: str) -> None:
        """Skip a coordinator for AVOIDED_S because it did not answer."""
        self._avoided_until_s[address] = self._clock() + AVOIDED_S
        logs.event("scheduler.silent", address=address, avoided_s=AVOIDED_S)

    def _coordinators(self, service: str) -> list[Member]:
        """Return the coordinators for a service; empty where every node is a coordinator."""
        self._refresh()
        if self._all_coordinators:
            return []
        if service not in self._by_service:
            self._by_service[service] = coordinators(self._membership.live(), service)
        return self._by_service[service]

    def _refresh(self) -> None:
        """Drop cached roles older than ROLES_CACHE_S, and addresses no longer to be skipped."""
        now_s = self._clock()
        if now_s - self._refreshed_s < ROLES_CACHE_S:
            return
        self._refreshed_s = now_s
        self._all_coordinators = self._membership.live_count() <= MAX_FULL_MESH_NODES
        self._by_service = {}
        self._avoided_until_s = {
            address: until_s
            for address, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }

    def _is_me(self, member: Member) -> bool:
        return member.incarnation == self._membership.me.incarnation
