"""This node's rank among those that read the platform's store for all.

Applies routing/store_freshness.py to the membership as this node sees it. Owns nothing but the time
at which a starting node stops waiting for its seeds.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing import store_freshness

from springbridge_node.clock import now_s


class StoreReaders:
    """Who reads the store, as this node sees the membership."""

    def __init__(
        self,
        membership: Membership,
        asks_seeds_first: bool,
        clock: Callable[[], float] = now_s,
        roles_after_s: float = 0.0,
    ) -> None:
        """Start the times in which the seeds are asked first and no role is taken.

        Args:
          asks_seeds_first: Whether there is a time in which the seeds are asked first.
          roles_after_s: Seconds for which this node reads for nobody else.
        """
        self._membership = membership
        self._clock = clock
        self._roles_from_s = clock() + roles_after_s
        self._ranked_version = -1
        self._kept_rank = 0
        self._ask_seeds_until_s = clock() + (
            store_freshness.ASK_SEEDS_FIRST_S if asks_seeds_first else 0.0
        )

    def include_me(self, count: int) -> bool:
        """Return whether this node is among the first nodes of the ranking, which read for all."""
        if self._clock() < self._roles_from_s:
            return False
        return self._membership.is_live() and self._rank() < count

    def turn_s(self, count: int) -> float:
        """Return how long past CONFIRMED_S this node leaves the store to others, in seconds.

        Args:
          count: How many nodes read for all.
        """
        return store_freshness.turn_s(self._rank(), count)

    def round_s(self) -> float:
        """Return the time in which each live node has a turn, in seconds."""
        return store_freshness.round_s(self._membership.live_count())

    def seeds_come_first(self) -> bool:
        """Return whether this node has just started and leaves the store to its seeds."""
        return self._clock() < self._ask_seeds_until_s

    def _rank(self) -> int:
        """Return how many live nodes come before this one.

        The rank is kept until other nodes are live: it takes a hash of each of them, and each look
        at the store asks for it several times.
        """
        version = self._membership.live_version()
        if version != self._ranked_version:
            self._ranked_version = version
            self._kept_rank = store_freshness.rank(
                self._membership.me.incarnation, self._membership.incarnations()
            )
        return self._kept_rank
