"""Which nodes are coordinators for a service, as this node sees the fleet.

The rule itself stands in springbridge/routing/coordinators.py. This module applies it to the live
members, keeps the result for a moment, and leaves out coordinators that did not answer.
"""

from collections.abc import Callable

from springbridge.membership import Member, Membership
from springbridge.routing.coordinators import coordinators, in_order_for

from springbridge_node import logs
from springbridge_node.clock import now_s

# Nodes up to which each one sends its load notices to all others, so that every node is a
# coordinator.
# With so many, each step of a request costs 16 datagrams.
MAX_EQUAL_NODES = 17
# Seconds for which the roles are kept. The interval of the heartbeats, because a look at the
# members costs 1.4 us for each and every request would take one.
ROLES_KEPT_S = 0.25
# Seconds for which a coordinator that did not answer is left out. Several times the 80 ms that a
# request loses by asking a dead one.
AVOIDED_S = 0.5


class CoordinatorSet:
    """The coordinators of the fleet as this node sees them.

    Up to MAX_EQUAL_NODES nodes are all coordinators; in a larger fleet some are, for each service.
    """

    def __init__(self, membership: Membership, clock: Callable[[], float] = now_s) -> None:
        """Keep the membership and the clock."""
        self._membership = membership
        self._clock = clock
        self._refreshed_s = float("-inf")
        self._all_equal = True
        self._by_service: dict[str, list[Member]] = {}
        self._avoided_until_s: dict[str, float] = {}

    def includes_me(self, service: str) -> bool:
        """Return whether this node gets the load notices of all nodes for a service."""
        found = self._coordinators(service)
        return self._all_equal or any(self._is_me(member) for member in found)

    def notice_receivers(self, service: str) -> list[str]:
        """Return the peer addresses that get this node's load notices for a service."""
        found = self._coordinators(service)
        if self._all_equal:
            found = self._membership.reachable()
        return [member.peer_address for member in found if not self._is_me(member)]

    def first(self, service: str) -> str | None:
        """Return the peer address of the coordinator to ask, or None if there is none to ask."""
        found = self._coordinators(service)
        now_s = self._clock()
        for member in in_order_for(self._membership.me.failure_domain, found):
            avoided_until_s = self._avoided_until_s.get(member.peer_address, now_s)
            if not self._is_me(member) and avoided_until_s <= now_s:
                return member.peer_address
        return None

    def avoid(self, address: str) -> None:
        """Leave out a coordinator that did not answer for AVOIDED_S."""
        self._avoided_until_s[address] = self._clock() + AVOIDED_S
        logs.event("scheduler.silent", address=address, avoided_s=AVOIDED_S)

    def _coordinators(self, service: str) -> list[Member]:
        """Return the coordinators for a service; none in particular where all nodes are equal."""
        self._refresh()
        if self._all_equal:
            return []
        if service not in self._by_service:
            self._by_service[service] = coordinators(self._membership.live(), service)
        return self._by_service[service]

    def _refresh(self) -> None:
        """Drop the roles if they are old, and forget whom to leave out where the time is over."""
        now_s = self._clock()
        if now_s - self._refreshed_s < ROLES_KEPT_S:
            return
        self._refreshed_s = now_s
        self._all_equal = self._membership.live_count() <= MAX_EQUAL_NODES
        self._by_service = {}
        self._avoided_until_s = {
            address: until_s
            for address, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }

    def _is_me(self, member: Member) -> bool:
        return member.incarnation == self._membership.me.incarnation
