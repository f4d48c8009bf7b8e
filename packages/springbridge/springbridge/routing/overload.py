"""Load shedding: refuses a request at once if all of its endpoints are overloaded.

Decides whether a request with a prompt is refused before its first attempt.
Inputs: running requests, slots and backlog in seconds of each eligible endpoint; the route's
priority, 0 most urgent; the route's target in seconds.
Result: None, or an Overload with the figures that decided, if every endpoint has too many requests
or too long a backlog for that priority. The least urgent requests are refused first.
Refusing early is better than late. An endpoint that runs too many requests finishes none of them:
each token takes longer, and all miss their deadlines together. Behind too long a backlog, an answer
misses its deadline and delays all requests after it.
"""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.retry_after import after_overload

# Share of an endpoint's slots in use from which it counts as full, by priority.
FULL_SHARE_BY_PRIORITY = (1.5, 0.75, 0.5)


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Longest backlog behind which a request of some priority is still sent.

    It is proportional to the target of the request's route, within bounds. The bounds of different
    priorities do not overlap, so the limit of a more urgent request is never below that of a less
    urgent one, whatever their targets.

    Attributes:
      target_multiple: The limit in multiples of the target.
      min_s: Lower bound in seconds.
      max_s: Upper bound in seconds.
    """

    target_multiple: float
    min_s: float
    max_s: float

    def limit_s(self, target_s: float) -> float:
        """Return the limit in seconds for a route with this target in seconds."""
        return min(self.max_s, max(self.min_s, self.target_multiple * target_s))


# Limits on the backlog by priority, most urgent first.
WAIT_LIMITS = (
    WaitLimit(1.0, 1.2, 60.0),
    WaitLimit(0.5, 0.6, 1.2),
    WaitLimit(0.15, 0.25, 0.6),
)
assert all(
    urgent.min_s >= less_urgent.max_s for urgent, less_urgent in itertools.pairwise(WAIT_LIMITS)
)


@dataclass(frozen=True, slots=True)
class Overload:
    """The figures for which a request is refused because of overload.

    Coordinators send it to instances as a list of its fields, in this order.

    Attributes:
      backlog_s: Shortest backlog of any endpoint, in seconds of reading.
      longest_wait_s: Longest backlog in seconds behind which the request would be sent.
      in_flight: Smallest number of running requests at any endpoint.
    """

    backlog_s: float
    longest_wait_s: float
    in_flight: int

    @property
    def retry_after_s(self) -> float:
        """Return Retry-After in seconds: the backlog is short enough then, a burst may be over."""
        return after_overload(self.backlog_s, self.longest_wait_s)


def overload(states: Sequence[EndpointState], demand: Demand) -> Overload | None:
    """Return the overload for which a request is refused, or None if it is not refused.

    Args:
      states: The eligible endpoints; having none is not an overload.
    """
    if not states:
        return None
    if not all(_is_full(state, demand) or _is_behind(state, demand) for state in states):
        return None
    return Overload(
        min(state.backlog_s for state in states),
        longest_wait_s(demand),
        min(state.in_flight for state in states),
    )


def longest_wait_s(demand: Demand) -> float:
    """Return the longest backlog in seconds behind which this request is still sent."""
    limit = WAIT_LIMITS[_rank(demand.priority, len(WAIT_LIMITS))]
    return limit.limit_s(demand.target_s)


def _is_full(state: EndpointState, demand: Demand) -> bool:
    """Return whether an endpoint runs too many requests to take one of this priority."""
    fullest = FULL_SHARE_BY_PRIORITY[_rank(demand.priority, len(FULL_SHARE_BY_PRIORITY))]
    return state.in_flight >= fullest * state.entry.slots


def _is_behind(state: EndpointState, demand: Demand) -> bool:
    """Return whether an endpoint's backlog is too long for the request."""
    return state.backlog_s > longest_wait_s(demand)


def _rank(priority: int, ranks: int) -> int:
    """Return the index of a priority, clamped to the available ranks."""
    return min(max(priority, 0), ranks - 1)
