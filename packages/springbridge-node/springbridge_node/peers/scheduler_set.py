"""This node's view of which nodes schedule prompts, kept for a moment at a time."""

import time
from collections.abc import Callable

from springbridge.membership import Member, Membership
from springbridge.routing.schedulers import in_order_for, schedulers

from springbridge_node import logs

MOST_EQUALS = 17
VIEW_S = 0.25
AVOIDED_S = 0.5


class SchedulerSet:
    """The schedulers of the fleet as this node sees them.

    Up to MOST_EQUALS nodes tell each other of every request, and all of them schedule.
    """

    def __init__(self, membership: Membership, clock: Callable[[], float] = time.monotonic) -> None:
        """Keep the membership and the clock."""
        self._membership = membership
        self._clock = clock
        self._viewed_s = float("-inf")
        self._few = True
        self._found: list[Member] = []
        self._avoided_until_s: dict[str, float] = {}

    def includes_me(self) -> bool:
        """Return whether this node hears of all requests, and so chooses engines itself."""
        self._refresh()
        return self._few or any(self._is_me(member) for member in self._found)

    def audience(self) -> list[str]:
        """Return the peer addresses to tell of this node's requests."""
        self._refresh()
        if self._few:
            return [member.peer_address for member in self._membership.reachable()]
        return [member.peer_address for member in self._found if not self._is_me(member)]

    def first(self) -> str | None:
        """Return the peer address of the scheduler to ask next, or None if none answers."""
        self._refresh()
        now_s = self._clock()
        for member in in_order_for(self._membership.me.place, self._found):
            avoided_until_s = self._avoided_until_s.get(member.peer_address, now_s)
            if not self._is_me(member) and avoided_until_s <= now_s:
                return member.peer_address
        return None

    def avoid(self, address: str) -> None:
        """Leave out a scheduler that did not answer, for a moment."""
        self._avoided_until_s[address] = self._clock() + AVOIDED_S
        logs.event("scheduler.silent", address=address, avoided_s=AVOIDED_S)

    def _refresh(self) -> None:
        """Take the view anew when it is old."""
        now_s = self._clock()
        if now_s - self._viewed_s < VIEW_S:
            return
        self._viewed_s = now_s
        members = self._membership.live()
        self._few = len(members) <= MOST_EQUALS
        self._found = [] if self._few else schedulers(members)
        self._avoided_until_s = {
            address: until_s
            for address, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }

    def _is_me(self, member: Member) -> bool:
        return member.incarnation == self._membership.me.incarnation
