"""Token buckets for endpoints that state a request rate, at the instance that grants the permits.

Decides whether an instance may send one request now, and if not, when it may retry, from the rate
that this granter may grant and the priority of the request.

The bucket refills at that rate and is small, so that the endpoint never gets more than a few
requests over its rate. A new granter starts with an empty bucket: its predecessor may have granted
permits a moment ago. Refused instances get successive retry times, spaced a little closer than the
permits: some instance retries for every permit, and the granter is not called more often than that,
however many instances there are. After a more urgent request was refused, the last permit is
reserved for it.
"""

from collections.abc import Callable, Set
from dataclasses import dataclass

from springbridge.routing.records import EndpointIncarnation

# Smallest bucket size: one permit for the next request, and one that can be reserved for urgent
# requests.
MIN_BUCKET_SIZE = 2.0
# Bucket size as seconds of the rate, where that is more. At high rates it covers the time between
# the refill of a permit and the next call for one.
BUCKET_S = 0.06
# Retry times assigned per permit. The excess over 1 makes up for instances that have no request
# left at their retry time.
RETRIES_PER_PERMIT = 1.5
# Further retry times per second. Without them a permit would stay unused for long at low rates.
EXTRA_RETRIES_PER_S = 4.0
# Longest wait in seconds before an instance may retry. It bounds how long a permit stays unused
# when the refused instances have no more requests, or when the rate rises.
MAX_WAIT_S = 4.0
# Shortest such wait in seconds, so that a request does not call the same granter again.
MIN_WAIT_S = 0.02
# Seconds after its retry time for which the last permit stays reserved for an urgent request.
RESERVATION_S = 0.5


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a request for a permit.

    Attributes:
      granted: Whether one request may be sent.
      wait_s: If not granted, seconds until the instance may retry.
    """

    granted: bool
    wait_s: float = 0.0


@dataclass
class _Permits:
    """The token bucket of one endpoint.

    Attributes:
      left: Number of permits.
      refilled_s: Time of the last refill.
      next_retry_s: The earliest retry time that is not assigned yet.
      urgent: Priority for which the last permit is reserved.
      urgent_until_s: When that reservation ends.
    """

    left: float
    refilled_s: float
    next_retry_s: float
    urgent: int = 0
    urgent_until_s: float = float("-inf")


class RateGrants:
    """The permits that this instance grants."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without permits.

        Args:
          clock: Returns monotonic time in seconds.
        """
        self._clock = clock
        self._permits: dict[EndpointIncarnation, _Permits] = {}

    def request(self, incarnation: EndpointIncarnation, per_s: float, priority: int) -> Grant:
        """Take a permit for one request to an endpoint if there is one.

        Args:
          incarnation: The endpoint.
          per_s: Rate that this instance may grant, in requests a second; above zero.
          priority: Rank of the request, 0 most urgent.
        """
        now_s = self._clock()
        permits = self._refilled(incarnation, per_s, now_s)
        is_reserved = permits.urgent_until_s > now_s and permits.urgent < priority
        needed = 2.0 if is_reserved else 1.0
        if permits.left >= needed:
            permits.left -= 1.0
            return Grant(True)
        wait_s = _assign_retry(permits, (needed - permits.left) / per_s, per_s, now_s)
        if not is_reserved:
            permits.urgent = priority
            permits.urgent_until_s = now_s + wait_s + RESERVATION_S
        return Grant(False, wait_s)

    def return_permit(self, incarnation: EndpointIncarnation) -> None:
        """Return a permit whose request certainly did not reach the endpoint."""
        permits = self._permits.get(incarnation)
        if permits is not None:
            permits.left += 1.0

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Drop the permits of all endpoints except the given ones, which have a rate."""
        for incarnation in self._permits.keys() - incarnations:
            del self._permits[incarnation]

    def _refilled(self, incarnation: EndpointIncarnation, per_s: float, now_s: float) -> _Permits:
        """Return the bucket of an endpoint, refilled up to now."""
        permits = self._permits.get(incarnation)
        if permits is None:
            permits = self._permits[incarnation] = _Permits(0.0, now_s, now_s)
        refill = (now_s - permits.refilled_s) * per_s
        permits.left = min(permits.left + refill, _bucket_size(per_s))
        permits.refilled_s = now_s
        return permits


def _bucket_size(per_s: float) -> float:
    """Return the bucket size: how many unused permits are kept."""
    return max(MIN_BUCKET_SIZE, per_s * BUCKET_S)


def _assign_retry(permits: _Permits, next_s: float, per_s: float, now_s: float) -> float:
    """Assign a retry time to a refused instance and return the seconds until then.

    Args:
      permits: The bucket of the endpoint.
      next_s: Seconds until there is a permit for its request.
      per_s: Rate of the bucket.
      now_s: The current time.
    """
    latest_s = now_s + MAX_WAIT_S
    retry_s = min(latest_s, max(now_s + next_s, permits.next_retry_s))
    permits.next_retry_s = retry_s + 1.0 / (RETRIES_PER_PERMIT * per_s + EXTRA_RETRIES_PER_S)
    return max(MIN_WAIT_S, retry_s - now_s)
