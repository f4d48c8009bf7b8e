"""Permits to send a request to an endpoint that names a rate, at the instance that grants them.

Decided: whether an instance that asks may send one request now, and if not, when it may ask again.
Inputs: the endpoint's rate, the part of it that this granter may grant, the priority of the
request, and the moment. Outcome: a Grant.
Why: permits come up at the rate and few are kept, so that the endpoint never gets more than a few
requests over its rate. A granter begins with none: the one before it may have granted a moment ago.
Instances that are refused are given turns one after another, a little closer than permits come up:
every permit finds somebody who asks, and a granter is not asked more often than that, however
many instances there are. While a more urgent request was refused, the last permit is kept for it.
"""

from collections.abc import Callable, Set
from dataclasses import dataclass

from springbridge.routing.records import EndpointIncarnation

# Permits that are kept while nobody asks: one for the next request, and one more as the reserve of
# urgent requests.
KEPT_PERMITS = 2.0
# Seconds of a rate that are kept where that is more. At high rates it outlasts the time between a
# permit and the next question.
KEPT_S = 0.06
# Turns given for each permit. Those beyond one make up for instances that have no request when
# their turn comes.
TURNS_PER_PERMIT = 1.5
# Turns a second beyond that. At low rates a permit would else wait long for somebody who asks.
TURNS_PER_S = 4.0
# Longest time in seconds for which an instance is told not to ask. It bounds how long a permit is
# left over when the instances that had asked before have no more requests, or the rate rises.
LONGEST_WAIT_S = 4.0
# Shortest such time in seconds, so that a request does not ask the same granter again.
LEAST_WAIT_S = 0.02
# Seconds beyond its turn for which a refused urgent request keeps the last permit from others.
RESERVED_S = 0.5


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a question for a permit.

    Attributes:
      wait_s: If it was not granted, seconds until the next question.
    """

    granted: bool
    wait_s: float = 0.0


@dataclass
class _Permits:
    """The permits of one endpoint.

    Attributes:
      left: How many there are.
      counted_s: When that was worked out.
      next_turn_s: The earliest turn that nobody was given yet.
      urgent: Priority of the most urgent request that was refused lately.
      urgent_until_s: Until when the last permit is kept for it.
    """

    left: float
    counted_s: float
    next_turn_s: float
    urgent: int = 0
    urgent_until_s: float = float("-inf")


class RateGrants:
    """The permits that this instance grants."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without permits.

        Args:
          clock: Returns the moment in seconds.
        """
        self._clock = clock
        self._permits: dict[EndpointIncarnation, _Permits] = {}

    def ask(self, incarnation: EndpointIncarnation, per_s: float, priority: int) -> Grant:
        """Return whether one request may be sent to an endpoint now.

        Args:
          per_s: What this instance may grant, in requests a second; above zero.
          priority: Rank of the request, 0 most urgent.
        """
        now_s = self._clock()
        permits = self._counted(incarnation, per_s, now_s)
        is_kept = permits.urgent_until_s > now_s and permits.urgent < priority
        needed = 2.0 if is_kept else 1.0
        if permits.left >= needed:
            permits.left -= 1.0
            return Grant(True)
        wait_s = _turn(permits, (needed - permits.left) / per_s, per_s, now_s)
        if not is_kept:
            permits.urgent = priority
            permits.urgent_until_s = now_s + wait_s + RESERVED_S
        return Grant(False, wait_s)

    def give_back(self, incarnation: EndpointIncarnation) -> None:
        """Take back a permit whose request surely did not reach the endpoint."""
        permits = self._permits.get(incarnation)
        if permits is not None:
            permits.left += 1.0

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Forget all endpoints but those that have a rate."""
        for incarnation in self._permits.keys() - incarnations:
            del self._permits[incarnation]

    def _counted(self, incarnation: EndpointIncarnation, per_s: float, now_s: float) -> _Permits:
        """Return the permits of an endpoint with those that came up since they were counted."""
        permits = self._permits.get(incarnation)
        if permits is None:
            permits = self._permits[incarnation] = _Permits(0.0, now_s, now_s)
        came_up = (now_s - permits.counted_s) * per_s
        permits.left = min(permits.left + came_up, _most_kept(per_s))
        permits.counted_s = now_s
        return permits


def _most_kept(per_s: float) -> float:
    """Return how many permits are kept while nobody asks."""
    return max(KEPT_PERMITS, per_s * KEPT_S)


def _turn(permits: _Permits, next_s: float, per_s: float, now_s: float) -> float:
    """Return the seconds until the turn of an instance that is refused, and count the turn.

    Args:
      next_s: Seconds until there is a permit for its request.
    """
    latest_s = now_s + LONGEST_WAIT_S
    turn_s = min(latest_s, max(now_s + next_s, permits.next_turn_s))
    permits.next_turn_s = turn_s + 1.0 / (TURNS_PER_PERMIT * per_s + TURNS_PER_S)
    return max(LEAST_WAIT_S, turn_s - now_s)
