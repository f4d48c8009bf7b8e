"""When a request is refused at once because its endpoints have too much to do.

Decided: whether a request with a prompt is refused before its first attempt.
Inputs: for each endpoint that may get it the requests and slots, and the backlog in seconds; the
priority of its route, 0 most urgent; the target of its route in seconds.
Outcome: None, or an Overload with what decided, while every endpoint is too full or too far behind
for that priority. The least urgent are refused first.
Why: refuse early. An endpoint that runs too many requests finishes none: each token takes longer,
and all miss their deadlines together. Past a certain backlog the answer misses its deadline and
delays everyone behind it.
"""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.retry_after import after_overload

# By priority: the share of an endpoint's slots in use at which it is full.
FULLEST_BY_PRIORITY = (1.5, 0.75, 0.5)


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """The longest backlog behind which a request of a priority is still sent.

    It follows the target of the request's route within bounds. The bounds of different priorities
    do not overlap, so that a more urgent request never waits less than a less urgent one, whatever
    their targets.

    Attributes:
      targets: The limit in multiples of the target.
      least_s: Lower bound in seconds.
      most_s: Upper bound in seconds.
    """

    targets: float
    least_s: float
    most_s: float

    def seconds(self, target_s: float) -> float:
        """Return the limit for a route with a target."""
        return min(self.most_s, max(self.least_s, self.targets * target_s))


# By priority.
WAIT_LIMITS = (
    WaitLimit(1.0, 1.2, 60.0),
    WaitLimit(0.5, 0.6, 1.2),
    WaitLimit(0.15, 0.25, 0.6),
)
assert all(
    urgent.least_s >= less_urgent.most_s for urgent, less_urgent in itertools.pairwise(WAIT_LIMITS)
)


@dataclass(frozen=True, slots=True)
class Overload:
    """Why a request is refused: its endpoints have too much to do.

    It travels from coordinators to instances as a list of its fields, in this order.

    Attributes:
      backlog_s: Seconds that the endpoint with the shortest backlog still has to read.
      longest_wait_s: Longest backlog in seconds behind which the request would be sent.
      in_flight: Requests at the endpoint with the fewest.
    """

    backlog_s: float
    longest_wait_s: float
    in_flight: int

    @property
    def retry_after_s(self) -> float:
        """Return when to come back: once the backlog is short enough, and a burst may be over."""
        return after_overload(self.backlog_s, self.longest_wait_s)


def overload(states: Sequence[EndpointState], demand: Demand) -> Overload | None:
    """Return why a request is refused, or None if it is not.

    Args:
      states: The endpoints that may get it; having none is not an overload.
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
    """Return the longest backlog in seconds behind which a request is still sent."""
    limit = WAIT_LIMITS[_rank(demand.priority, len(WAIT_LIMITS))]
    return limit.seconds(demand.target_s)


def _is_full(state: EndpointState, demand: Demand) -> bool:
    """Return whether an endpoint has too many requests to take one of this priority."""
    fullest = FULLEST_BY_PRIORITY[_rank(demand.priority, len(FULLEST_BY_PRIORITY))]
    return state.in_flight >= fullest * state.entry.slots


def _is_behind(state: EndpointState, demand: Demand) -> bool:
    """Return whether an endpoint would begin to read the prompt too late."""
    return state.backlog_s > longest_wait_s(demand)


def _rank(priority: int, ranks: int) -> int:
    """Return the rank of a priority; all beyond the last rank count as the last."""
    return min(max(priority, 0), ranks - 1)
