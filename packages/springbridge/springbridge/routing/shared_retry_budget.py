"""The retry budget: how many retries all instances together may send, kept without a message.

What is decided: whether a request may be sent to another endpoint as far as the service's budget
goes; `retries` decides whether the request itself allows it.
Inputs: this instance's requests and retries of the last window, and how many instances are live.
Outcome: a retry is taken from the budget, or there is none.
Why: retries add load just when endpoints fail, so they stay a share of the requests and a fixed
slack for quiet times. Each instance keeps to that share of its own requests and to an equal part of
the slack, so the sum keeps to the whole whatever the others do.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Share of its part that an instance spends. Keeps the sum within the terms while instances disagree
# on how many of them are live.
CAUTION = 0.8


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """What all instances together may spend; the defaults hold where the operators set nothing.

    Attributes:
      ratio: Retries for each request in a window.
      slack: Retries in a window beyond that.
      window_s: Length of the window that slides along, in seconds.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@dataclass
class _Window:
    """Moments of a service's requests and retries, the oldest first."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """This instance's part of the budget of each service.

    Attributes:
      terms: What all instances together may spend; a reload of the settings replaces them.
    """

    def __init__(
        self, terms: BudgetTerms, nodes: Callable[[], int], clock: Callable[[], float]
    ) -> None:
        """Keep the terms, the count of live instances, and the clock in seconds."""
        self.terms = terms
        self._nodes = nodes
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Count a request, which may be sent once without the budget."""
        self._window(service).requests.append(self._clock())

    def try_retry(self, service: str) -> bool:
        """Take a retry from the budget and return whether there was one."""
        window = self._window(service)
        slack = self.terms.slack / max(1, self._nodes())
        allowed = CAUTION * (self.terms.ratio * len(window.requests) + slack)
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(self._clock())
        return True

    def give_back(self, service: str) -> None:
        """Give the latest retry back, as it was not sent."""
        retries = self._window(service).retries
        if retries:
            retries.pop()

    def _window(self, service: str) -> _Window:
        """Return a service's window without the moments that have left it."""
        window = self._windows.setdefault(service, _Window())
        oldest_s = self._clock() - self.terms.window_s
        for moments in (window.requests, window.retries):
            while moments and moments[0] < oldest_s:
                moments.popleft()
        return window
