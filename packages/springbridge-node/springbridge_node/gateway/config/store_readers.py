"""This node's rank among those that read the platform's store for all.

Applies routing/store_freshness.py to the membership as this node sees it. Owns nothing but the
times at which a starting node stops waiting for its seeds, and counts its peers as known.
"""

import time
from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing import store_freshness


class StoreReaders:
    """Who reads the store, as this node sees the membership."""

    def __init__(
        self,
        membership: Membership,
        asks_seeds_first: bool,
        is_seed: bool,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the time in which the seeds are asked first.

        Args:
          asks_seeds_first: Whether there is such a time.
          is_seed: Whether others ask this node at their start.
        """
        self._membership = membership
        self._clock = clock
        self._is_seed = is_seed
        self._settled_at_s = clock() + store_freshness.SETTLE_S
        self._ask_seeds_until_s = clock() + (
            store_freshness.ASK_SEEDS_FIRST_S if asks_seeds_first else 0.0
        )

    def include_me(self, count: int) -> bool:
        """Return whether this node is among the first nodes of the ranking, which read for all.

        While peers are still getting to know each other, it is the seeds that read.
        """
        if not self._membership.is_live():
            return False
        return self._is_seed if self.is_settling() else self._rank() < count

    def is_settling(self) -> bool:
        """Return whether this node has started so recently that it lacks most of its peers."""
        return self._clock() < self._settled_at_s

    def turn_s(self, count: int) -> float:
        """Return how long past CONFIRMED_S this node leaves the store to others, in seconds.

        Args:
          count: How many nodes read for all.
        """
        return store_freshness.turn_s(self._rank(), count)

    def round_s(self) -> float:
        """Return the time in which each live node has a turn, in seconds."""
        return store_freshness.round_s(len(self._membership.incarnations()))

    def seeds_come_first(self) -> bool:
        """Return whether this node has just started and leaves the store to its seeds."""
        return self._clock() < self._ask_seeds_until_s

    def _rank(self) -> int:
        """Return how many live nodes come before this one."""
        return store_freshness.rank(
            self._membership.me.incarnation, self._membership.incarnations()
        )
