"""Which endpoint serves a request, judged by what is known of the endpoints' load.

Who knows the load that all instances give weighs prompt tokens (by_token_cost). Who knows only its
own goes by rendezvous hashing (by_shared_prompt), so that all instances send a shared prompt part
to the same endpoint without a message; a bound on the load keeps one popular part from crowding it.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from springbridge.hashing import score
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.prefix_cache import chain_of
from springbridge.routing.records import Demand, PromptPart

LOAD_BOUND = 1.5
LEAST_BOUND = 2.0
COST_STEP = 500
RUNNING_TOKENS = 100
# What is read or fetched again takes time and memory from all that the endpoint runs.
UNREAD_WEIGHT = 7.0
FETCH_WEIGHT = 7.0
# About a second of reading: a longer wait for an endpoint weighs as much as reading elsewhere.
LONG_BACKLOG_TOKENS = 40_000
LEAST_FETCH_TOKENS = 1024
HOME_SHARE = 0.8
BORDER_SHARE = 0.3
SHORT_PROMPT_TOKENS = 3000
LONG_AT_QUIET_TOKENS = 12000
SHORT_AT_BUSY_TOKENS = 1500
QUIET_SHARE = 0.2
LEAST_ENDPOINTS_TO_SPLIT = 3
QUIET_KEY = "short prompts"


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint for a request.

    Attributes:
      source: An endpoint that keeps more of the prompt, to fetch that from; None if there is none.
      fetched_tokens: Tokens of the prompt that the source is known to keep.
      attempt_id: Under which the coordinator that chose has counted the request; "" if none did.
      coordinator: The address of that coordinator.
    """

    state: EndpointState
    source: EndpointState | None = None
    fetched_tokens: int = 0
    attempt_id: str = ""
    coordinator: str = ""


Chooser = Callable[[Sequence[EndpointState], Demand], Choice]


def least_in_flight(states: Sequence[EndpointState], demand: Demand) -> Choice:
    """Return the endpoint with the fewest requests for its slots."""
    state = min(
        states,
        key=lambda state: (
            state.in_flight / max(1, state.entry.slots),
            -score(demand.request_id, state.entry.endpoint_id),
        ),
    )
    return Choice(state)


def by_shared_prompt(states: Sequence[EndpointState], demand: Demand) -> Choice:
    """Return the home of the prompt's shared part if it is within the load bound, else the next."""
    parts = demand.prompt_parts
    if not parts:
        return least_in_flight(states, demand)
    shared = _shared_part(parts)
    mean = (sum(state.in_flight for state in states) + 1) / len(states)
    bound = max(LEAST_BOUND, LOAD_BOUND * mean)
    within = [state for state in states if state.in_flight + 1 <= bound]
    return Choice(max(within or states, key=lambda state: score(shared, state.entry.endpoint_id)))


def by_token_cost(states: Sequence[EndpointState], demand: Demand) -> Choice:
    """Return the endpoint at which a request costs the fewest prompt tokens of time.

    The cost of an endpoint is what it has still to read, what it would have to read of this prompt,
    a little for each request that it runs, and something for a border between failure domains. What
    another endpoint keeps of the prompt can be fetched for a small part of what reading it costs.
    Short prompts with quick answers suffer beside long ones, whose reading holds up every token; so
    some endpoints of each service are kept for short prompts by a charge that long ones pay there.
    """
    if not demand.prompt_parts:
        return least_in_flight(states, demand)
    quiet = _quiet_endpoints(states)
    shared = _shared_part(demand.prompt_parts)
    kept = _kept_tokens(states, demand.prompt_parts, quiet)
    source = max(states, key=lambda state: kept[state.entry.endpoint_id])
    most = kept[source.entry.endpoint_id] if demand.fetches else 0

    costs = [
        (
            _endpoint_cost(state, demand, quiet)
            + _prompt_cost(demand, kept[state.entry.endpoint_id], most)
        )
        // COST_STEP
        for state in states
    ]
    least = min(costs)
    cheapest = [state for state, cost in zip(states, costs, strict=True) if cost == least]
    best = max(cheapest, key=lambda state: score(shared, state.entry.endpoint_id))
    if most - kept[best.entry.endpoint_id] < LEAST_FETCH_TOKENS:
        return Choice(best)
    return Choice(best, source, source.cache.kept_tokens(demand.prompt_parts))


def _endpoint_cost(state: EndpointState, demand: Demand, quiet: frozenset[str]) -> float:
    """Return the cost of an endpoint whatever it keeps of the prompt, in prompt tokens."""
    beyond = max(0, state.prefill_tokens - LONG_BACKLOG_TOKENS)
    cost = state.prefill_tokens + (UNREAD_WEIGHT - 1) * beyond
    cost += RUNNING_TOKENS * state.in_flight
    if state.entry.failure_domain != demand.failure_domain:
        cost += BORDER_SHARE * demand.prompt_tokens
    is_short = demand.prompt_tokens <= SHORT_PROMPT_TOKENS
    if state.entry.endpoint_id in quiet and not is_short:
        cost += LONG_AT_QUIET_TOKENS
    if state.entry.endpoint_id not in quiet and is_short:
        cost += SHORT_AT_BUSY_TOKENS
    return cost


def _kept_tokens(
    states: Sequence[EndpointState], parts: tuple[PromptPart, ...], quiet: frozenset[str]
) -> dict[str, int]:
    """Return for each endpoint how many tokens of a prompt it probably keeps.

    Where this instance knows of no endpoint that keeps the shared parts, as after its start, their
    home probably does: all instances send them there first.
    """
    chain = chain_of(parts)
    kept = {state.entry.endpoint_id: state.cache.kept_of(chain) for state in states}
    shared_tokens = sum(part.tokens for part in parts[:-1])
    if shared_tokens < LEAST_FETCH_TOKENS or max(kept.values()) >= shared_tokens:
        return kept
    shared = _shared_part(parts)
    homes = [name for name in kept if name not in quiet] or list(kept)
    home = max(homes, key=lambda name: score(shared, name))
    kept[home] = max(kept[home], round(HOME_SHARE * shared_tokens))
    return kept


def _prompt_cost(demand: Demand, own: int, most: int) -> float:
    """Return what bringing a prompt into an endpoint costs, in prompt tokens.

    Args:
      own: Tokens of it that the endpoint keeps.
      most: Tokens of it that some endpoint keeps which it can fetch from.
    """
    fetched = most - own if most - own >= LEAST_FETCH_TOKENS else 0
    unread = max(0, demand.prompt_tokens - own - fetched)
    return UNREAD_WEIGHT * unread + FETCH_WEIGHT * fetched


def _shared_part(parts: tuple[PromptPart, ...]) -> str:
    """Return the longest chain of a prompt that other requests may share."""
    return parts[-2].part_id if len(parts) > 1 else parts[-1].part_id


def _quiet_endpoints(states: Sequence[EndpointState]) -> frozenset[str]:
    """Return the endpoints that are kept for short prompts, the same at all nodes."""
    if len(states) < LEAST_ENDPOINTS_TO_SPLIT:
        return frozenset()
    count = max(1, round(len(states) * QUIET_SHARE))
    ranked = sorted((state.entry.endpoint_id for state in states), key=_quiet_rank, reverse=True)
    return frozenset(ranked[:count])


@lru_cache(maxsize=4096)
def _quiet_rank(endpoint_id: str) -> float:
    """Return the rank of an endpoint among those kept for short prompts."""
    return score(QUIET_KEY, endpoint_id)
