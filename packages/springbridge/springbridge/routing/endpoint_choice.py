"""Load balancing: chooses one of the eligible endpoints for a request.

For a request with a prompt it may also choose a source endpoint, from which the chosen one fetches
cached prompt parts.
Inputs: the eligible endpoints with their load as far as this instance knows it; the request's
prompt in parts and tokens.
Result: a Choice. by_token_cost is for an instance that gets the load notices of all requests,
by_shared_prompt for one that knows only its own requests, and least_in_flight for requests without
a prompt.
Rendezvous hashing sends a shared prompt part to the same endpoint from every instance without any
message. Where the load of all instances is known, the cost of reading prompts can be included,
which serves more requests within their deadlines. Endpoints of different versions do not fetch from
each other: what one version has cached need not fit another.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from springbridge.hashing import score
from springbridge.routing.endpoint_cost import MIN_FETCH_TOKENS, is_worth_fetching, token_cost
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.prefix_cache import prefixes
from springbridge.routing.records import Demand, PromptPart
from springbridge.routing.reserved_endpoints import reserved_endpoints

# Requests that an endpoint may have when a shared prompt part is sent there, in multiples of the
# mean of all endpoints. It keeps a popular part from overloading an endpoint.
LOAD_BOUND_FACTOR = 1.5
# Minimum of this bound in requests, for a low mean. It lets the preferred endpoint take a second
# request in a fleet that is nearly idle.
MIN_LOAD_BOUND = 2.0
# Costs that fall into the same step of so many prompt tokens count as equal, and the hash decides.
# It is 12.5 ms of reading at the usual 40,000 tokens a second.
COST_STEP_TOKENS = 500
# Share of a prompt's shared parts that the preferred endpoint is assumed to have cached if no
# endpoint is known to have them.
PREFERRED_CACHED_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen for a request.

    Attributes:
      source: Endpoint from which to fetch cached prompt parts; None if nothing is fetched.
      fetched_tokens: Prompt tokens that the source is known to have cached.
      attempt_id: Id under which the coordinator that chose counts the request; "" if none chose.
      coordinator: Address of that coordinator; "" if none chose.
    """

    state: EndpointState
    source: EndpointState | None = None
    fetched_tokens: int = 0
    attempt_id: str = ""
    coordinator: str = ""


# Parameters: the eligible endpoints, the request's demand, the current time in seconds of the clock
# that the states use, and leaving endpoints, which get no requests but still serve cached parts.
Chooser = Callable[[Sequence[EndpointState], Demand, float, Sequence[EndpointState]], Choice]


def least_in_flight(
    states: Sequence[EndpointState],
    demand: Demand,
    now_s: float,
    leaving: Sequence[EndpointState] = (),
) -> Choice:
    """Return the endpoint with the fewest requests per slot; ties are broken by a hash."""
    state = min(
        states,
        key=lambda state: (
            state.in_flight / max(1, state.entry.slots),
            -score(demand.request_id, state.entry.endpoint_id),
        ),
    )
    return Choice(state)


def by_shared_prompt(
    states: Sequence[EndpointState],
    demand: Demand,
    now_s: float,
    leaving: Sequence[EndpointState] = (),
) -> Choice:
    """Return the preferred endpoint of the prompt's shared part among those within the load bound.

    If no endpoint is within the bound, all of them are considered.
    """
    parts = demand.prompt_parts
    if not parts:
        return least_in_flight(states, demand, now_s)
    mean = (sum(state.in_flight for state in states) + 1) / len(states)
    bound = max(MIN_LOAD_BOUND, LOAD_BOUND_FACTOR * mean)
    within = [state for state in states if state.in_flight + 1 <= bound]
    return Choice(_preferred(within or states, parts))


def by_token_cost(
    states: Sequence[EndpointState],
    demand: Demand,
    now_s: float,
    leaving: Sequence[EndpointState] = (),
) -> Choice:
    """Return the endpoint at which a request has the lowest token cost (endpoint_cost.py).

    Among endpoints of about the same cost, the preferred one of the prompt's shared part is taken.
    Leaving endpoints serve as sources as long as they run; otherwise what they have cached would
    have to be read again.
    """
    parts = demand.prompt_parts
    if not parts:
        return least_in_flight(states, demand, now_s)
    reserved = reserved_endpoints(states, now_s)
    cached = _cached_tokens(states, parts, reserved)
    prompt = prefixes(parts)
    known = cached | {
        state.entry.endpoint_id: state.cache.cached_tokens_of(prompt) for state in leaving
    }
    sources = _sources((*states, *leaving), known) if demand.fetches else {}
    best = _preferred(_cheapest(states, demand, reserved, cached, sources), parts)
    source = sources.get(best.entry.version)
    if source is None or not is_worth_fetching(cached[best.entry.endpoint_id], source.tokens):
        return Choice(best)
    return Choice(best, source.state, source.state.cache.cached_tokens(parts))


@dataclass(frozen=True, slots=True)
class _Source:
    """The endpoint of a version that has the most tokens of a prompt cached."""

    state: EndpointState
    tokens: int


def _sources(states: Sequence[EndpointState], known: dict[str, int]) -> dict[str | None, _Source]:
    """Return from which endpoint those of each version would fetch.

    Args:
      known: Prompt tokens that each endpoint has cached.
    """
    sources: dict[str | None, _Source] = {}
    for state in states:
        version, tokens = state.entry.version, known[state.entry.endpoint_id]
        if version not in sources or tokens > sources[version].tokens:
            sources[version] = _Source(state, tokens)
    return sources


def _cheapest(
    states: Sequence[EndpointState],
    demand: Demand,
    reserved: frozenset[str],
    cached: dict[str, int],
    sources: dict[str | None, _Source],
) -> list[EndpointState]:
    """Return the endpoints whose cost falls into the lowest step.

    Args:
      cached: Prompt tokens that each endpoint has probably cached.
      sources: From where the endpoints of each version would fetch; empty if they cannot.
    """
    steps = []
    for state in states:
        name = state.entry.endpoint_id
        source = sources.get(state.entry.version)
        max_cached = source.tokens if source else 0
        cost = token_cost(state, demand, name in reserved, cached[name], max_cached)
        steps.append(cost // COST_STEP_TOKENS)
    least = min(steps)
    return [state for state, step in zip(states, steps, strict=True) if step == least]


def _cached_tokens(
    states: Sequence[EndpointState], parts: tuple[PromptPart, ...], reserved: frozenset[str]
) -> dict[str, int]:
    """Return how many tokens of a prompt each endpoint has probably cached.

    If no endpoint is known to have cached the shared parts, as after a start of this instance, the
    preferred endpoint is assumed to: all instances send them there first.
    """
    prompt = prefixes(parts)
    cached = {state.entry.endpoint_id: state.cache.cached_tokens_of(prompt) for state in states}
    shared_tokens = sum(part.tokens for part in parts[:-1])
    if shared_tokens < MIN_FETCH_TOKENS or max(cached.values()) >= shared_tokens:
        return cached
    general = [state for state in states if state.entry.endpoint_id not in reserved]
    preferred = _preferred(general or states, parts).entry.endpoint_id
    cached[preferred] = max(cached[preferred], round(PREFERRED_CACHED_SHARE * shared_tokens))
    return cached


def _preferred(states: Sequence[EndpointState], parts: tuple[PromptPart, ...]) -> EndpointState:
    """Return the preferred endpoint of a prompt's shared part, by rendezvous hashing.

    All instances of a fleet, also those of other releases, must prefer the same endpoint, so the
    hash key must remain the id of the last part that other requests may share.
    """
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return max(states, key=lambda state: score(shared.part_id, state.entry.endpoint_id))
