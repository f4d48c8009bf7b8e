"""Which nodes read the platform's store for all.

Every call to the store costs, and the calls that all nodes may make together are bounded. So a few
nodes, chosen by hashing over the live members, read for the others, who hear from their peers how
fresh their knowledge is. A node whose peers cannot confirm that reads for itself.
"""

import time
from collections.abc import Callable

from springbridge.hashing import score
from springbridge.membership import Membership

ROLE_KEY = "reader of the list of engines"
# When the whole system starts, nodes ask their seeds first for so long.
ASK_SEEDS_FIRST_S = 1.5


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
        live = self._membership.incarnations()
        live.sort(key=lambda incarnation: score(ROLE_KEY, incarnation), reverse=True)
        return self._membership.me.incarnation in live[:count]

    def seeds_come_first(self) -> bool:
        """Return whether this node has just started and leaves the store to its seeds."""
        return self._clock() < self._ask_seeds_until_s
