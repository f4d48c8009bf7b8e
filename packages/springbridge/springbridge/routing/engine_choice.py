"""Which engine serves a request: the one that has read the prompt's shared part, if not busy.

Each node decides alone. The home of a shared prompt part is found by rendezvous hashing, so that
all nodes send it to the same engine without a message; a bound on the load keeps one popular part
from crowding its engine.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from springbridge.hashing import score
from springbridge.routing.engine_board import EngineState
from springbridge.routing.records import Admitted, Arrival, PromptPart

LOAD_BOUND = 1.5
LEAST_BOUND = 2.0
COST_STEP = 500
RUNNING_TOKENS = 100
UNREAD_WEIGHT = 2.0
FETCH_WEIGHT = 0.8
LEAST_FETCH_TOKENS = 1024
HOME_SHARE = 0.8
BORDER_SHARE = 0.3
SHORT_PROMPT_TOKENS = 3000
LONG_AT_QUIET_TOKENS = 12000
SHORT_AT_BUSY_TOKENS = 1500
QUIET_SHARE = 0.2
LEAST_ENGINES_TO_SPLIT = 3
QUIET_KEY = "short prompts"


@dataclass(frozen=True, slots=True)
class Choice:
    """An engine for a request.

    Attributes:
      source: An engine that keeps more of the prompt, to fetch that from; None if there is none.
    """

    state: EngineState
    source: EngineState | None = None


Chooser = Callable[[Sequence[EngineState], Admitted], Choice]


def least_in_flight(states: Sequence[EngineState], admitted: Admitted) -> Choice:
    """Return the engine with the fewest requests for its slots."""
    request_id = admitted.arrival.request_id
    state = min(
        states,
        key=lambda state: (
            state.in_flight / max(1, state.entry.slots),
            -score(request_id, state.entry.engine_id),
        ),
    )
    return Choice(state)


def by_shared_prompt(states: Sequence[EngineState], admitted: Admitted) -> Choice:
    """Return the home of the prompt's shared part if it is within the load bound, else the next."""
    parts = admitted.arrival.prompt_parts
    if not parts:
        return least_in_flight(states, admitted)
    shared = _shared_part(parts)
    mean = (sum(state.in_flight for state in states) + 1) / len(states)
    bound = max(LEAST_BOUND, LOAD_BOUND * mean)
    within = [state for state in states if state.in_flight + 1 <= bound]
    return Choice(max(within or states, key=lambda state: score(shared, state.entry.engine_id)))


@dataclass(frozen=True)
class TokenCost:
    """Chooses the engine at which a request costs the fewest prompt tokens of time.

    The cost of an engine is what it has still to read, what it would have to read of this prompt, a
    little for each request that it runs, and something for a border between failure domains. What
    another engine keeps of the prompt can be fetched for a small part of what reading it costs.
    Short prompts with quick answers suffer beside long ones, whose reading holds up every token; so
    some engines of each service are kept for short prompts by a charge that long ones pay there.

    Attributes:
      place: Failure domain of this node.
    """

    place: str

    def __call__(self, states: Sequence[EngineState], admitted: Admitted) -> Choice:
        """Return the engine with the lowest cost."""
        arrival = admitted.arrival
        if not arrival.prompt_parts:
            return least_in_flight(states, admitted)
        quiet = _quiet_engines(states)
        shared = _shared_part(arrival.prompt_parts)
        kept = _kept_tokens(states, arrival, quiet)
        source = max(states, key=lambda state: kept[state.entry.engine_id])
        most = kept[source.entry.engine_id] if admitted.service.fetches else 0

        def rank(state: EngineState) -> tuple[float, float]:
            own = kept[state.entry.engine_id]
            cost = self._cost(state, admitted, quiet) + _prompt_cost(arrival, own, most)
            return cost // COST_STEP, -score(shared, state.entry.engine_id)

        best = min(states, key=rank)
        fetched = most - kept[best.entry.engine_id]
        return Choice(best, source if fetched >= LEAST_FETCH_TOKENS else None)

    def _cost(self, state: EngineState, admitted: Admitted, quiet: frozenset[str]) -> float:
        """Return the cost of an engine whatever it keeps of the prompt, in prompt tokens."""
        prompt_tokens = admitted.arrival.prompt_tokens
        cost = state.prefill_tokens + RUNNING_TOKENS * state.in_flight
        if state.entry.place != self.place:
            cost += BORDER_SHARE * prompt_tokens
        is_short = prompt_tokens <= SHORT_PROMPT_TOKENS
        if state.entry.engine_id in quiet and not is_short:
            cost += LONG_AT_QUIET_TOKENS
        if state.entry.engine_id not in quiet and is_short:
            cost += SHORT_AT_BUSY_TOKENS
        return cost


@dataclass(frozen=True)
class ByView:
    """Chooses by the whole load where this node sees it, and by its own part where it does not.

    In a large fleet a node sees a small part of each engine's load. To take the engine that looks
    least loaded then makes many nodes take the same one; hashing spreads them.

    Attributes:
      whole: The choice with the whole view.
      own: The choice with only this node's requests in view.
      is_whole: Returns whether the whole view is to be had.
    """

    whole: Chooser
    own: Chooser
    is_whole: Callable[[], bool]

    def __call__(self, states: Sequence[EngineState], admitted: Admitted) -> Choice:
        """Return the engine that the fitting choice takes."""
        choose = self.whole if self.is_whole() else self.own
        return choose(states, admitted)


def _kept_tokens(
    states: Sequence[EngineState], arrival: Arrival, quiet: frozenset[str]
) -> dict[str, int]:
    """Return for each engine how many tokens of a prompt it probably keeps.

    Where this node knows of no engine that keeps the shared parts, as in a large fleet whose nodes
    hear of few of the others' requests, their home probably does: all nodes send them there first.
    """
    parts = arrival.prompt_parts
    kept = {state.entry.engine_id: state.cache.kept_tokens(parts) for state in states}
    shared_tokens = sum(part.tokens for part in parts[:-1])
    if shared_tokens < LEAST_FETCH_TOKENS or max(kept.values()) >= shared_tokens:
        return kept
    shared = _shared_part(parts)
    homes = [name for name in kept if name not in quiet] or list(kept)
    home = max(homes, key=lambda name: score(shared, name))
    kept[home] = max(kept[home], round(HOME_SHARE * shared_tokens))
    return kept


def _prompt_cost(arrival: Arrival, own: int, most: int) -> float:
    """Return what bringing a prompt into an engine costs, in prompt tokens.

    Args:
      own: Tokens of it that the engine keeps.
      most: Tokens of it that some engine keeps which it can fetch from.
    """
    fetched = most - own if most - own >= LEAST_FETCH_TOKENS else 0
    unread = max(0, arrival.prompt_tokens - own - fetched)
    return UNREAD_WEIGHT * unread + FETCH_WEIGHT * fetched


def _shared_part(parts: tuple[PromptPart, ...]) -> str:
    """Return the longest chain of a prompt that other requests may share."""
    return parts[-2].part_id if len(parts) > 1 else parts[-1].part_id


def _quiet_engines(states: Sequence[EngineState]) -> frozenset[str]:
    """Return the engines that are kept for short prompts, the same at all nodes."""
    if len(states) < LEAST_ENGINES_TO_SPLIT:
        return frozenset()
    count = max(1, round(len(states) * QUIET_SHARE))
    ranked = sorted((state.entry.engine_id for state in states), key=_quiet_rank, reverse=True)
    return frozenset(ranked[:count])


@lru_cache(maxsize=4096)
def _quiet_rank(engine_id: str) -> float:
    """Return the rank of an engine among those kept for short prompts."""
    return score(QUIET_KEY, engine_id)
