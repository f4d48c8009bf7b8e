"""Which engine serves a request: the one that has read the prompt's shared part, if not busy.

Each node decides alone. The home of a shared prompt part is found by rendezvous hashing, so that
all nodes send it to the same engine without a message; a bound on the load keeps one popular part
from crowding its engine.
"""

from collections.abc import Callable, Sequence

from springbridge.hashing import score
from springbridge.routing.engine_board import EngineState
from springbridge.routing.records import Admitted

LOAD_BOUND = 1.5
LEAST_BOUND = 2.0

Chooser = Callable[[Sequence[EngineState], Admitted], EngineState]


def least_in_flight(states: Sequence[EngineState], admitted: Admitted) -> EngineState:
    """Return the engine with the fewest requests of this node for its slots."""
    request_id = admitted.arrival.request_id
    return min(
        states,
        key=lambda state: (
            state.in_flight / max(1, state.entry.slots),
            -score(request_id, state.entry.engine_id),
        ),
    )


def by_shared_prompt(states: Sequence[EngineState], admitted: Admitted) -> EngineState:
    """Return the home of the prompt's shared part if it is within the load bound, else the next."""
    parts = admitted.arrival.prompt_parts
    if not parts:
        return least_in_flight(states, admitted)
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    mean = (sum(state.in_flight for state in states) + 1) / len(states)
    bound = max(LEAST_BOUND, LOAD_BOUND * mean)
    within = [state for state in states if state.in_flight + 1 <= bound]
    return max(within or states, key=lambda state: score(shared.part_id, state.entry.engine_id))
