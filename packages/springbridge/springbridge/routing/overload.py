"""When a request is refused at once, because its engines have more than they can bring to an end.

An engine that runs too many requests at a time brings none of them to its end: each token takes
longer, and all miss their deadlines together. So a request is refused while every engine that it
may use is full beyond the share that its priority allows, the least urgent first. The most urgent
are refused last, when the engines' own queues are long as well.
"""

from collections.abc import Sequence

from springbridge.routing.engine_board import EngineState

# Share of an engine's slots that may be taken when a request of a priority is still sent there.
FULLEST_BY_PRIORITY = (1.5, 0.75, 0.5)
RETRY_AFTER_S = 2.0


def is_refused(states: Sequence[EngineState], priority: int) -> bool:
    """Return whether a request finds all its engines too full.

    Args:
      states: The engines that it may use; none is not an overload.
      priority: Rank of the request, 0 first.
    """
    fullest = FULLEST_BY_PRIORITY[min(max(priority, 0), len(FULLEST_BY_PRIORITY) - 1)]
    return bool(states) and all(state.in_flight >= fullest * state.entry.slots for state in states)
