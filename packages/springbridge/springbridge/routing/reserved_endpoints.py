"""Which endpoints of a service are reserved for short prompts, and how strictly.

Decided: the reserved endpoints, and what it costs to send a prompt to the wrong kind of endpoint.
Inputs: the endpoints that may get the request; for each, how many requests with short and with long
prompts run there and how many prompt tokens a second they bring; the request's prompt in tokens.
Outcome: a set of endpoint ids, and a cost in prompt tokens that the choice of endpoint adds.
Why: an endpoint reads a long prompt in pieces between the tokens of the streams that it runs, and
several pieces in a row make one pause that is longer than callers accept. Streams with short
prompts last longest and suffer most. The endpoints are divided by the work that prompts of either
size bring, so that neither kind waits while the other has room. It is a cost rather than a ban, so
that idle endpoints can still be used.
"""

from collections.abc import Sequence
from functools import lru_cache

from springbridge.hashing import score
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.prompt_load import PromptLoad, is_short

# Share of a service's endpoints that is reserved while there is next to no work to divide them by.
IDLE_SHARE = 0.2
# Work of all endpoints below which a service counts as idle, where 1 is what one endpoint can do. A
# fiftieth of that.
IDLE_WORK = 0.02
# Work of a full batch, as a share of what an endpoint can do: one that runs a request in each slot
# still has time to read prompts.
FULL_BATCH_WORK = 0.5
# Endpoints that a service needs before any is reserved. With three, long prompts have at least one
# endpoint to themselves.
LEAST_ENDPOINTS_TO_RESERVE = 3
# Cost of a long prompt at a reserved endpoint, in prompt tokens: half a second of reading.
LONG_ON_RESERVED_TOKENS = 20_000
# Cost of a short prompt at any other endpoint, in prompt tokens.
# It stays below the cost above, so that short prompts spill over sooner than long ones.
SHORT_ON_OTHER_TOKENS = 8000
assert SHORT_ON_OTHER_TOKENS < LONG_ON_RESERVED_TOKENS
# Running short prompts from which an endpoint that is not reserved costs a long one as much as a
# reserved one does. It protects streams that still run where the reservation has just ended.
PROTECTED_RUNNING = 20
# Key of the hash that selects the reserved endpoints. All instances of a mixed fleet have to select
# the same ones, so this text must stay as it is, byte for byte.
RESERVED_KEY = "short prompts"
# Endpoint ids whose rank is remembered, to bound memory. The largest fleet planned for has 720
# endpoints.
RANKS_REMEMBERED = 4096


def reserved_endpoints(states: Sequence[EndpointState], now_s: float) -> frozenset[str]:
    """Return the ids of the endpoints reserved for short prompts.

    Instances that know the same work reserve the same endpoints. All rank them alike, so where
    their counts differ, the smaller set is part of the larger one.

    Args:
      now_s: The moment on the clock that the states are kept by, in seconds.
    """
    if len(states) < LEAST_ENDPOINTS_TO_RESERVE:
        return frozenset()
    count = _reserved_count(states, now_s)
    ranked = sorted((state.entry.endpoint_id for state in states), key=_rank, reverse=True)
    return frozenset(ranked[:count])


def reservation_cost(state: EndpointState, is_reserved: bool, prompt_tokens: int) -> float:
    """Return the cost of a prompt at an endpoint of the other kind, in prompt tokens."""
    if is_short(prompt_tokens):
        return 0.0 if is_reserved else SHORT_ON_OTHER_TOKENS
    if is_reserved:
        return LONG_ON_RESERVED_TOKENS
    return LONG_ON_RESERVED_TOKENS * min(1.0, state.short.running / PROTECTED_RUNNING)


def _reserved_count(states: Sequence[EndpointState], now_s: float) -> int:
    """Return how many endpoints to reserve, by the share of short prompts in all work."""
    short = sum(_work(state, state.short, now_s) for state in states)
    work = short + sum(_work(state, state.long, now_s) for state in states)
    share = short / work if work >= IDLE_WORK else IDLE_SHARE
    return min(max(1, round(len(states) * share)), len(states) - 1)


def _work(state: EndpointState, load: PromptLoad, now_s: float) -> float:
    """Return the work of requests of one size at an endpoint, as a share of what it can do."""
    batch = FULL_BATCH_WORK * load.running / max(1, state.entry.slots)
    return batch + load.tokens_per_s(now_s) / state.speed.tokens_per_s


@lru_cache(maxsize=RANKS_REMEMBERED)
def _rank(endpoint_id: str) -> float:
    """Return the rank of an endpoint; those with the highest are reserved."""
    return score(RESERVED_KEY, endpoint_id)
