"""What a request costs at an endpoint, where the load of all instances is known.

Decided: the cost by which endpoint_choice.by_token_cost compares endpoints.
Inputs: an endpoint's unread prompt tokens, running requests and slots; the request's prompt in
tokens and the target of its route in seconds; how many of the tokens the endpoint keeps, and how
many some other endpoint keeps.
Outcome: the cost in prompt tokens, that is in units of the time an endpoint takes to read a token.
Why: a new prompt waits for those that the endpoint has still to read, and what is read or fetched
again takes time and memory from everything else that the endpoint runs.
"""

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.reserved_endpoints import reservation_cost

# Cost of a full batch, in prompt tokens; each running request costs its share of it. Of endpoints
# without a backlog it favours those with emptier batches.
FULL_BATCH_TOKENS = 6400
# Cost of waiting for one running request to end, in prompt tokens: 2 s of reading, about the median
# of streams with short prompts. Slots become free that much sooner the more there are, so each
# request beyond them costs this divided by the slots.
SLOT_WAIT_TOKENS = 80_000
# Cost of a prompt token that the endpoint has to read.
UNREAD_WEIGHT = 7.0
# Cost of a prompt token that the endpoint fetches from another one, for each second of the target
# of the request's route. A fetch saves a wait, and the shorter the target, the more a wait matters;
# but each copy takes memory from the prompts of others.
FETCH_PER_TARGET_S = 2.0
# Most that such a token costs: as much as one that is read.
MOST_FETCH_WEIGHT = UNREAD_WEIGHT
# Unread tokens beyond which a token of the backlog costs as much as one of the prompt: about one
# second of reading.
LONG_BACKLOG_TOKENS = 40_000
# Tokens that another endpoint must keep beyond the endpoint's own for a fetch. It saves the call
# for a prompt that is read in 26 ms at the usual 40,000 tokens a second.
LEAST_FETCH_TOKENS = 1024
# Cost of another failure domain, as a share of the prompt's tokens.
CROSS_DOMAIN_SHARE = 0.3


def token_cost(
    state: EndpointState, demand: Demand, is_reserved: bool, own: int, most: int
) -> float:
    """Return what a request costs at an endpoint, in prompt tokens.

    Args:
      is_reserved: Whether the endpoint is reserved for short prompts.
      own: Tokens of the prompt that the endpoint keeps.
      most: Tokens of it that the endpoint with the most keeps; 0 if nothing can be fetched.
    """
    return (
        _backlog_cost(state.prefill_tokens)
        + _batch_cost(state)
        + _failure_domain_cost(state, demand)
        + reservation_cost(state, is_reserved, demand.prompt_tokens)
        + _prompt_cost(demand, own, most)
    )


def is_worth_fetching(own: int, most: int) -> bool:
    """Return whether an endpoint fetches what another one keeps of a prompt, by their tokens."""
    return most - own >= LEAST_FETCH_TOKENS


def fetch_weight(target_s: float) -> float:
    """Return the cost of a prompt token that is fetched, for a route with a target in seconds."""
    return min(MOST_FETCH_WEIGHT, FETCH_PER_TARGET_S * target_s)


def _backlog_cost(prefill_tokens: int) -> float:
    """Return the cost of the prompts that an endpoint has still to read."""
    beyond = max(0, prefill_tokens - LONG_BACKLOG_TOKENS)
    return prefill_tokens + (UNREAD_WEIGHT - 1) * beyond


def _batch_cost(state: EndpointState) -> float:
    """Return the cost of sharing an endpoint's slots, and of waiting for one if all are taken."""
    slots = max(1, state.entry.slots)
    waiting = max(0, state.in_flight + 1 - slots)
    return (FULL_BATCH_TOKENS * state.in_flight + SLOT_WAIT_TOKENS * waiting) / slots


def _failure_domain_cost(state: EndpointState, demand: Demand) -> float:
    """Return the cost of sending a prompt to another failure domain."""
    if state.entry.failure_domain == demand.failure_domain:
        return 0.0
    return CROSS_DOMAIN_SHARE * demand.prompt_tokens


def _prompt_cost(demand: Demand, own: int, most: int) -> float:
    """Return the cost of reading and fetching what the endpoint does not keep of a prompt."""
    fetched = most - own if is_worth_fetching(own, most) else 0
    unread = max(0, demand.prompt_tokens - own - fetched)
    return UNREAD_WEIGHT * unread + fetch_weight(demand.target_s) * fetched
