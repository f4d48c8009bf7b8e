"""When a request is refused at once, because its endpoints have more than they can bring to an end.

An endpoint that runs too many requests at a time brings none of them to its end: each token takes
longer, and all miss their deadlines together. An endpoint with a long backlog of prompts answers
nobody in time: what comes now is read when its caller no longer profits from it, and everything
behind it waits for that. So a request is refused while every endpoint that it may use is too full
or too far behind for its priority, the least urgent first. The most urgent are refused last, when
the endpoints' own queues are long as well.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.retry_after import after_overload

# Share of an endpoint's slots that may be taken when a request of a priority is still sent there.
FULLEST_BY_PRIORITY = (1.5, 0.75, 0.5)


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """The longest backlog behind which a request of a priority is still sent.

    It follows the target of the request's route within bounds that do not overlap, so that a more
    urgent request never waits less than a less urgent one, however their targets differ.

    Attributes:
      targets: The limit in times of the target.
    """

    targets: float
    least_s: float
    most_s: float

    def seconds(self, target_s: float) -> float:
        """Return the limit for a route with a target."""
        return min(self.most_s, max(self.least_s, self.targets * target_s))


WAIT_LIMITS = (
    WaitLimit(1.0, 1.2, 60.0),
    WaitLimit(0.5, 0.6, 1.2),
    WaitLimit(0.15, 0.25, 0.6),
)


@dataclass(frozen=True, slots=True)
class Overload:
    """Why a request is refused: its endpoints have too much.

    Attributes:
      backlog_s: What the endpoint with the shortest backlog has still to read, in seconds.
      longest_wait_s: The longest backlog behind which the request would be sent.
      in_flight: Requests that the emptiest endpoint has.
    """

    backlog_s: float
    longest_wait_s: float
    in_flight: int

    @property
    def retry_after_s(self) -> float:
        """Return when to come back: once the backlog is short enough, and a burst may be over."""
        return after_overload(self.backlog_s, self.longest_wait_s)


def overload(states: Sequence[EndpointState], demand: Demand) -> Overload | None:
    """Return why a request is refused if all its endpoints are too full or too far behind, else
    None.

    Args:
      states: The endpoints that it may use; none is not an overload.
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
    """Return the longest backlog behind which a request is still sent, in seconds."""
    limit = WAIT_LIMITS[_rank(demand.priority, len(WAIT_LIMITS))]
    return limit.seconds(demand.target_s)


def _is_full(state: EndpointState, demand: Demand) -> bool:
    """Return whether an endpoint has too many requests for another of a priority."""
    fullest = FULLEST_BY_PRIORITY[_rank(demand.priority, len(FULLEST_BY_PRIORITY))]
    return state.in_flight >= fullest * state.entry.slots


def _is_behind(state: EndpointState, demand: Demand) -> bool:
    """Return whether an endpoint would begin to read a prompt too late for it."""
    return state.backlog_s > longest_wait_s(demand)


def _rank(priority: int, ranks: int) -> int:
    """Return the rank of a priority where all beyond the last rank count as that."""
    return min(max(priority, 0), ranks - 1)
