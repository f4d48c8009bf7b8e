"""Which nodes read the platform's store for all.

Every call to the store costs, and the calls that all nodes may make together are bounded. So a few
nodes, chosen by hashing over the live members, read for the others, who hear from their peers how
fresh their knowledge is. Where nobody confirms that any more, the others stand in one after the
other: the first whom the store answers tells the rest, and while it answers nobody, each node asks
only once in a round of all. Without turns, every node of a fleet asked a silent store several times
a second, and each such call costs as one that is answered.
"""

import time
from collections.abc import Callable

from springbridge.hashing import score
from springbridge.membership import Membership

ROLE_KEY = "reader of the list of engines"
# When the whole system starts, nodes ask their seeds first for so long.
ASK_SEEDS_FIRST_S = 1.5
# Time between the turns of two nodes that stand in for the readers.
TURN_S = 0.08


class StoreReaders:
    """This node's view of who reads."""

    def __init__(
        self,
        membership: Membership,
        asks_seeds_first: bool,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the membership; the time to ask seeds first begins now, if there is one."""
        self._membership = membership
        self._clock = clock
        self._ask_seeds_until_s = clock() + (ASK_SEEDS_FIRST_S if asks_seeds_first else 0.0)

    def include_me(self, count: int) -> bool:
        """Return whether this node is one of so many that read for all."""
        return self._membership.is_live() and self._rank() < count

    def turn_s(self, count: int) -> float:
        """Return how long this node leaves the store to others, in seconds, once nobody confirms.

        Args:
          count: How many nodes read for all; those need no turn.
        """
        return TURN_S * max(0, self._rank() - count)

    def round_s(self) -> float:
        """Return the time in which each live node has a turn, in seconds."""
        return TURN_S * len(self._membership.incarnations())

    def seeds_come_first(self) -> bool:
        """Return whether this node has just started and leaves the store to its seeds."""
        return self._clock() < self._ask_seeds_until_s

    def _rank(self) -> int:
        """Return how many live nodes come before this one, by a hash that is alike at all nodes."""
        me = self._membership.me.incarnation
        own_score = score(ROLE_KEY, me)
        others = (name for name in self._membership.incarnations() if name != me)
        return sum(score(ROLE_KEY, name) > own_score for name in others)
