"""Ranks this node among the live nodes, of which the first few read the store for the fleet.

Applies routing/store_freshness.py to the membership as this node sees it. Owns only the times after
its start until which a node waits for its seeds and takes no role.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing import store_freshness

from springbridge_node.clock import now_s


class StoreReaders:
    """The nodes that read the store, by the membership as this node sees it."""

    def __init__(
        self,
        membership: Membership,
        asks_seeds_first: bool,
        clock: Callable[[], float] = now_s,
        roles_after_s: float = 0.0,
    ) -> None:
        """Start the periods in which seeds are asked first and no role is taken.

        Args:
          asks_seeds_first: Whether this node asks its seeds before the store when it starts.
          roles_after_s: Seconds after the start for which this node is not a reader.
        """
        self._membership = membership
        self._clock = clock
        self._roles_from_s = clock() + roles_after_s
        self._ranked_version = -1
        self._cached_rank = 0
        self._wait_for_seeds_until_s = clock() + (
            store_freshness.ASK_SEEDS_FIRST_S if asks_seeds_first else 0.0
        )

    def include_me(self, count: int) -> bool:
        """Return whether this node is one of the first count nodes, which read for the fleet."""
        if self._clock() < self._roles_from_s:
            return False
        return self._membership.is_live() and self._rank() < count

    def turn_s(self, count: int) -> float:
        """Return how many seconds past CONFIRMED_S this node waits before it reads the store.

        Args:
          count: Number of readers.
        """
        return store_freshness.turn_s(self._rank(), count)

    def round_s(self) -> float:
        """Return the seconds in which each live node gets one turn."""
        return store_freshness.round_s(self._membership.live_count())

    def waits_for_seeds(self) -> bool:
        """Return whether this node has just started and still waits for its seeds."""
        return self._clock() < self._wait_for_seeds_until_s

    def _rank(self) -> int:
        """Return how many live nodes are ranked before this one.

        The rank is cached until the set of live nodes changes: it takes a hash of each of them, and
        each step of a follower needs it several times.
        """
        version = self._membership.live_version()
        if version != self._ranked_version:
            self._ranked_version = version
            self._cached_rank = store_freshness.rank(
                self._membership.me.incarnation, self._membership.incarnations()
            )
        return self._cached_rank
