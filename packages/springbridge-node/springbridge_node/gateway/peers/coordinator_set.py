"""This node's view of which nodes schedule prompts, kept for a moment at a time."""

import time
from collections.abc import Callable

from springbridge.membership import Member, Membership
from springbridge.routing.coordinators import coordinators, in_order_for

from springbridge_node import logs

MOST_EQUALS = 17
VIEW_S = 0.25
AVOIDED_S = 0.5


class CoordinatorSet:
    """The coordinators of the fleet as this node sees them.

    Up to MOST_EQUALS nodes tell each other of every request, and all of them schedule.
    """

    def __init__(self, membership: Membership, clock: Callable[[], float] = time.monotonic) -> None:
        """Keep the membership and the clock."""
        self._membership = membership
        self._clock = clock
        self._viewed_s = float("-inf")
        self._few = True
        self._found: dict[str, list[Member]] = {}
        self._avoided_until_s: dict[str, float] = {}

    def includes_me(self, service: str) -> bool:
        """Return whether this node hears of all requests for a service, and so chooses itself."""
        found = self._coordinators(service)
        return self._few or any(self._is_me(member) for member in found)

    def audience(self, service: str) -> list[str]:
        """Return the peer addresses to tell of this node's requests for a service."""
        found = self._coordinators(service)
        if self._few:
            found = self._membership.reachable()
        return [member.peer_address for member in found if not self._is_me(member)]

    def first(self, service: str) -> str | None:
        """Return the peer address of the coordinator to ask next, or None if none answers."""
        found = self._coordinators(service)
        now_s = self._clock()
        for member in in_order_for(self._membership.me.failure_domain, found):
            avoided_until_s = self._avoided_until_s.get(member.peer_address, now_s)
            if not self._is_me(member) and avoided_until_s <= now_s:
                return member.peer_address
        return None

    def avoid(self, address: str) -> None:
        """Leave out a coordinator that did not answer, for a moment."""
        self._avoided_until_s[address] = self._clock() + AVOIDED_S
        logs.event("scheduler.silent", address=address, avoided_s=AVOIDED_S)

    def _coordinators(self, service: str) -> list[Member]:
        """Return who schedules a service, nobody in particular in a small fleet."""
        self._refresh()
        if self._few:
            return []
        if service not in self._found:
            self._found[service] = coordinators(self._membership.live(), service)
        return self._found[service]

    def _refresh(self) -> None:
        """Take the view anew when it is old."""
        now_s = self._clock()
        if now_s - self._viewed_s < VIEW_S:
            return
        self._viewed_s = now_s
        self._few = len(self._membership.live()) <= MOST_EQUALS
        self._found = {}
        self._avoided_until_s = {
            address: until_s
            for address, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }

    def _is_me(self, member: Member) -> bool:
        return member.incarnation == self._membership.me.incarnation
