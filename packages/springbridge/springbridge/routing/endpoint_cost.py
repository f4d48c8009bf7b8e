"""The cost function by which endpoint_choice.by_token_cost compares endpoints.

Inputs: an endpoint's unread prompt tokens, running requests and slots; the request's prompt in
tokens and its route's target in seconds; how many of the tokens the endpoint has cached, and the
largest number that any endpoint has cached.
Result: the cost in prompt tokens, that is in units of the time an endpoint takes to read a token.
A new prompt waits behind those that the endpoint has still to read, and reading or fetching parts
again takes time and memory from everything else that the endpoint runs.
"""

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.reserved_endpoints import reservation_cost

# Cost of a full batch, in prompt tokens; each running request costs its share of it. Among
# endpoints without a backlog it favours those with emptier batches.
FULL_BATCH_TOKENS = 6400
# Cost of waiting for one running request to end, in prompt tokens: 2 s of reading, about the median
# duration of streams with short prompts. The more slots, the sooner one becomes free, so each
# request beyond the slots costs this divided by their number.
SLOT_WAIT_TOKENS = 80_000
# Cost of a prompt token that the endpoint has to read.
UNREAD_WEIGHT = 7.0
# Cost of a prompt token that is fetched from another endpoint, per second of the route's target. A
# fetch saves waiting time, which matters more the shorter the target is, but each copy takes memory
# from other prompts.
FETCH_PER_TARGET_S = 2.0
# Maximum cost of a fetched token: that of a token that is read.
MAX_FETCH_WEIGHT = UNREAD_WEIGHT
# Backlog in tokens beyond which each further token costs as much as one of the prompt: about one
# second of reading.
LONG_BACKLOG_TOKENS = 40_000
# Tokens that another endpoint must have cached in addition for a fetch to be worthwhile. Fewer are
# read within 26 ms at the usual 40,000 tokens a second, which does not justify the call.
MIN_FETCH_TOKENS = 1024
# Cost of sending a prompt to another failure domain, as a share of the prompt's tokens.
CROSS_DOMAIN_SHARE = 0.3


def token_cost(
    state: EndpointState, demand: Demand, is_reserved: bool, own_cached: int, max_cached: int
) -> float:
    """Return the cost of a request at an endpoint, in prompt tokens.

    Args:
      is_reserved: Whether the endpoint is reserved for short prompts.
      own_cached: Prompt tokens that the endpoint has cached.
      max_cached: The largest number that any endpoint has cached; 0 if nothing can be fetched.
    """
    return (
        _backlog_cost(state.prefill_tokens)
        + _batch_cost(state)
        + _failure_domain_cost(state, demand)
        + reservation_cost(state, is_reserved, demand.prompt_tokens)
        + _prompt_cost(demand, own_cached, max_cached)
    )


def is_worth_fetching(own_cached: int, max_cached: int) -> bool:
    """Return whether to fetch prompt parts from another endpoint, given the tokens cached by each.

    Args:
      own_cached: Tokens that the endpoint itself has cached.
      max_cached: Tokens that the other endpoint has cached.
    """
    return max_cached - own_cached >= MIN_FETCH_TOKENS


def fetch_weight(target_s: float) -> float:
    """Return the cost of a fetched prompt token for a route with this target in seconds."""
    return min(MAX_FETCH_WEIGHT, FETCH_PER_TARGET_S * target_s)


def _backlog_cost(prefill_tokens: int) -> float:
    """Return the cost of waiting for the prompts that an endpoint has still to read."""
    beyond = max(0, prefill_tokens - LONG_BACKLOG_TOKENS)
    return prefill_tokens + (UNREAD_WEIGHT - 1) * beyond


def _batch_cost(state: EndpointState) -> float:
    """Return the cost of sharing the batch, and of waiting for a slot if all are taken."""
    slots = max(1, state.entry.slots)
    waiting = max(0, state.in_flight + 1 - slots)
    return (FULL_BATCH_TOKENS * state.in_flight + SLOT_WAIT_TOKENS * waiting) / slots


def _failure_domain_cost(state: EndpointState, demand: Demand) -> float:
    """Return the cost of sending a prompt to another failure domain, 0 within the same one."""
    if state.entry.failure_domain == demand.failure_domain:
        return 0.0
    return CROSS_DOMAIN_SHARE * demand.prompt_tokens


def _prompt_cost(demand: Demand, own_cached: int, max_cached: int) -> float:
    """Return the cost of reading or fetching the prompt tokens that the endpoint has not cached."""
    fetched = max_cached - own_cached if is_worth_fetching(own_cached, max_cached) else 0
    unread = max(0, demand.prompt_tokens - own_cached - fetched)
    return UNREAD_WEIGHT * unread + fetch_weight(demand.target_s) * fetched
