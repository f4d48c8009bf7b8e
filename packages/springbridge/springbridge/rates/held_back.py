"""Endpoints to which an instance sends nothing now, and when callers refused for it may return.

Decided: the endpoints whose granter has told this instance to wait, for a request of some priority;
and, where there are no others, the Retry-After of a refused caller.
Inputs: the waits that granters told, with the priority that was refused, and the moment.
Outcome: ids of endpoints; seconds. What a request was refused does not hold back a more urgent one.
Why: an endpoint whose rate is spent would be asked for in vain by each request, since it has the
least to do. Callers that return together would be refused together, so each is sent back later than
the one before by about the time in which this instance gets another permit.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

# Longest Retry-After in seconds. A rate may be gone by then.
LONGEST_RETURN_S = 8.0
# Shortest Retry-After in seconds, about what a new connection takes.
LEAST_RETURN_S = 0.05


@dataclass(frozen=True, slots=True)
class Hold:
    """What a granter told.

    Attributes:
      until_s: When this instance may ask again.
      wait_s: How long that was then, in seconds.
    """

    until_s: float
    wait_s: float


class HeldBack:
    """The endpoints that this instance waits for."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any."""
        self._clock = clock
        self._holds: dict[str, dict[int, Hold]] = {}
        self._next_return_s: dict[str, float] = {}

    def hold(self, endpoint_id: str, priority: int, wait_s: float) -> None:
        """Send no request of a priority, or a less urgent one, to an endpoint for some seconds."""
        until_s = self._clock() + wait_s
        self._holds.setdefault(endpoint_id, {})[priority] = Hold(until_s, wait_s)

    def ids(self, priority: int) -> set[str]:
        """Return the endpoints that get no request of a priority now."""
        now_s = self._clock()
        return {
            endpoint_id
            for endpoint_id, holds in self._holds.items()
            if any(rank <= priority and hold.until_s > now_s for rank, hold in holds.items())
        }

    def return_s(self, service: str, endpoint_ids: Collection[str], priority: int) -> float:
        """Return the Retry-After of a caller for whom all endpoints are held back, in seconds.

        Args:
          endpoint_ids: The endpoints of the service that are held back; a turn may just have come.
        """
        now_s = self._clock()
        holds = [
            hold
            for endpoint_id in endpoint_ids
            for rank, hold in self._holds.get(endpoint_id, {}).items()
            if rank <= priority
        ] or [Hold(now_s, LEAST_RETURN_S)]
        first_s = min(max(now_s + LEAST_RETURN_S, hold.until_s) for hold in holds)
        earliest_s = max(first_s, self._next_return_s.get(service, now_s))
        return_s = min(earliest_s, now_s + LONGEST_RETURN_S)
        pace_s = 1.0 / sum(1.0 / max(LEAST_RETURN_S, hold.wait_s) for hold in holds)
        self._next_return_s[service] = return_s + pace_s
        return return_s - now_s

    def forget_old(self) -> None:
        """Drop what is over."""
        now_s = self._clock()
        for endpoint_id, holds in list(self._holds.items()):
            if all(hold.until_s <= now_s for hold in holds.values()):
                del self._holds[endpoint_id]
        self._next_return_s = {
            service: next_s for service, next_s in self._next_return_s.items() if next_s > now_s
        }
