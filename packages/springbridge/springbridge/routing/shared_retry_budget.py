"""Retry budget: limits the retries of all instances together, without any coordination messages.

Decides whether a service's budget allows another retry; `retries` decides whether the request
itself may be retried.
Inputs: this instance's requests and retries in the last window, and the number of live instances.
Retries add load just when endpoints fail, so they are limited to a share of the requests plus a
fixed slack for times of low traffic. Each instance keeps to that share of its own requests and to
an equal part of the slack, so the sum stays within the total whatever the others do.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Share of its part that an instance may use. Keeps the sum within the limits while instances
# disagree on how many of them are live.
USABLE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Limits on the retries of all instances together, with the defaults of the settings.

    Attributes:
      ratio: Retries allowed per request in a window.
      slack: Retries allowed in a window in addition.
      window_s: Length of the sliding window in seconds.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@dataclass
class _Window:
    """Times of a service's requests and retries, the oldest first."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """This instance's part of the retry budget of each service.

    Attributes:
      limits: Limits for all instances together; replaced when the settings are reloaded.
    """

    def __init__(
        self,
        limits: RetryBudgetLimits,
        live_instances: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        """Create a budget without requests or retries.

        Args:
          limits: Limits for all instances together.
          live_instances: Returns the number of live instances.
          clock: Monotonic clock in seconds.
        """
        self.limits = limits
        self._live_instances = live_instances
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """Count a request; its first send takes nothing from the budget."""
        self._window(service).requests.append(self._clock())

    def try_retry(self, service: str) -> bool:
        """Take a retry from the budget; return False if it is exhausted."""
        window = self._window(service)
        slack = self.limits.slack / max(1, self._live_instances())
        allowed = USABLE_SHARE * (self.limits.ratio * len(window.requests) + slack)
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(self._clock())
        return True

    def refund(self, service: str) -> None:
        """Return the latest retry to the budget because it was not sent."""
        retries = self._window(service).retries
        if retries:
            retries.pop()

    def _window(self, service: str) -> _Window:
        """Return a service's window after dropping entries older than the window."""
        window = self._windows.setdefault(service, _Window())
        oldest_s = self._clock() - self.limits.window_s
        for moments in (window.requests, window.retries):
            while moments and moments[0] < oldest_s:
                moments.popleft()
        return window
