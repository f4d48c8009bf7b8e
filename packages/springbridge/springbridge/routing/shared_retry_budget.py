"""A retry budget that all nodes share without a message.

In every window a service may get a share of its fresh requests as repeats, and a fixed slack. Each
node keeps to the share of its own fresh requests and to its part of the slack, so that the sum over
all nodes keeps to the whole, whatever a node knows of the others' traffic.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

CAUTION = 0.8


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """What all nodes together may spend.

    Attributes:
      ratio: Repeats for each fresh request.
      slack: Repeats in a window beyond that.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@dataclass
class _Window:
    """Moments of fresh requests and repeats of one service, the oldest first."""

    fresh: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """This node's part of the budget, for each service."""

    def __init__(
        self, terms: BudgetTerms, nodes: Callable[[], int], clock: Callable[[], float]
    ) -> None:
        """Keep the terms, the count of nodes that share them, and the clock."""
        self.terms = terms
        self._nodes = nodes
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def fresh(self, service: str) -> None:
        """Note a fresh request."""
        self._window(service).fresh.append(self._clock())

    def try_repeat(self, service: str) -> bool:
        """Take a repeat from the budget and return whether there was one."""
        window = self._window(service)
        slack = self.terms.slack / max(1, self._nodes())
        allowed = CAUTION * (self.terms.ratio * len(window.fresh) + slack)
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(self._clock())
        return True

    def _window(self, service: str) -> _Window:
        """Return a service's window without what is older than it."""
        window = self._windows.setdefault(service, _Window())
        oldest_s = self._clock() - self.terms.window_s
        for moments in (window.fresh, window.repeats):
            while moments and moments[0] < oldest_s:
                moments.popleft()
        return window
