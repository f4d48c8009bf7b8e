"""Back-off from rate-limited endpoints: which to skip for now, and the Retry-After of callers.

When a granter refuses a permit, this instance sends no request of that priority or a less urgent
one to the endpoint until the granter's wait is over. More urgent requests are not held back. If a
service has no other endpoints, callers are refused with a Retry-After.

Without the back-off every request would ask for a permit of the endpoint in vain, since one whose
rate is used up is the least loaded. Callers that retry at the same time would be refused together,
so each gets a later Retry-After than the previous one, by about the time in which this instance
gets another permit.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

# Longest Retry-After in seconds. The endpoint may have no rate any more by then.
MAX_RETRY_AFTER_S = 8.0
# Shortest Retry-After in seconds, about the time that a new connection takes.
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Hold:
    """A wait imposed by a granter.

    Attributes:
      until_s: When this instance may ask again.
      wait_s: The whole wait in seconds.
    """

    until_s: float
    wait_s: float


class HeldBack:
    """The endpoints to which this instance may not send now, by priority."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with no endpoint held back; the clock returns monotonic seconds."""
        self._clock = clock
        self._holds: dict[str, dict[int, Hold]] = {}
        self._next_return_s: dict[str, float] = {}

    def hold(self, endpoint_id: str, priority: int, wait_s: float) -> None:
        """Send no request of a priority, or a less urgent one, to an endpoint for some seconds."""
        until_s = self._clock() + wait_s
        self._holds.setdefault(endpoint_id, {})[priority] = Hold(until_s, wait_s)

    def ids(self, priority: int) -> set[str]:
        """Return the endpoints that must not get a request of a priority now."""
        now_s = self._clock()
        return {
            endpoint_id
            for endpoint_id, holds in self._holds.items()
            if any(rank <= priority and hold.until_s > now_s for rank, hold in holds.items())
        }

    def return_s(self, service: str, endpoint_ids: Collection[str], priority: int) -> float:
        """Return the Retry-After in seconds of a caller for whom all endpoints are held back.

        Args:
          service: Name of the service.
          endpoint_ids: The endpoints of the service that are held back; a wait may just have ended.
          priority: Rank of the caller's request, 0 most urgent.
        """
        now_s = self._clock()
        holds = [
            hold
            for endpoint_id in endpoint_ids
            for rank, hold in self._holds.get(endpoint_id, {}).items()
            if rank <= priority
        ] or [Hold(now_s, MIN_RETRY_AFTER_S)]
        first_s = min(max(now_s + MIN_RETRY_AFTER_S, hold.until_s) for hold in holds)
        earliest_s = max(first_s, self._next_return_s.get(service, now_s))
        return_s = min(earliest_s, now_s + MAX_RETRY_AFTER_S)
        pace_s = 1.0 / sum(1.0 / max(MIN_RETRY_AFTER_S, hold.wait_s) for hold in holds)
        self._next_return_s[service] = return_s + pace_s
        return return_s - now_s

    def forget_old(self) -> None:
        """Drop the waits and the retry times that have passed."""
        now_s = self._clock()
        for endpoint_id, holds in list(self._holds.items()):
            if all(hold.until_s <= now_s for hold in holds.values()):
                del self._holds[endpoint_id]
        self._next_return_s = {
            service: next_s for service, next_s in self._next_return_s.items() if next_s > now_s
        }
