"""Reservation of some endpoints of a service for short prompts.

Decides which endpoints are reserved, and the cost of sending a prompt to the wrong kind of
endpoint.
Inputs: the eligible endpoints; for each, the number of running requests with short and with long
prompts and the rate of their prompt tokens per second; the request's prompt in tokens.
Result: a set of endpoint ids, and a cost in prompt tokens that is added in endpoint_cost.py.
An endpoint reads a long prompt in chunks between the tokens of its running streams, and several
chunks in a row add up to a pause that is longer than callers accept. Streams with short prompts
last longest and suffer most. The endpoints are divided in proportion to the work of short and long
prompts, so that neither kind waits while the other has capacity left. The reservation is a cost
rather than a ban, so that idle endpoints can still be used.
"""

from collections.abc import Sequence
from functools import lru_cache

from springbridge.hashing import score
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.prompt_load import PromptLoad, is_short

# Share of a service's endpoints that is reserved while the service is idle.
IDLE_SHARE = 0.2
# Total work below which a service counts as idle, where 1 is the capacity of one endpoint.
IDLE_WORK = 0.02
# Work of a full batch as a share of an endpoint's capacity: with a request in each slot, an
# endpoint still has time to read prompts.
FULL_BATCH_WORK = 0.5
# Endpoints that a service needs before any is reserved. With three, long prompts have at least one
# endpoint of their own.
MIN_ENDPOINTS_TO_RESERVE = 3
# Cost of a long prompt at a reserved endpoint, in prompt tokens: half a second of reading.
LONG_ON_RESERVED_TOKENS = 20_000
# Cost of a short prompt at any other endpoint, in prompt tokens.
# It is below LONG_ON_RESERVED_TOKENS, so that short prompts spill over sooner than long ones.
SHORT_ON_OTHER_TOKENS = 8000
assert SHORT_ON_OTHER_TOKENS < LONG_ON_RESERVED_TOKENS
# Running requests with short prompts at which an unreserved endpoint costs a long prompt as much as
# a reserved one. It protects streams still running at an endpoint whose reservation has just ended.
PROTECTED_RUNNING = 20
# Hash key that selects the reserved endpoints. Instances of all releases in a fleet must select the
# same ones, so it must never change, not even by a byte.
RESERVED_KEY = "short prompts"
# Endpoint ids whose rank is cached; bounds memory. The largest planned fleet has 720 endpoints.
MAX_CACHED_RANKS = 4096


def reserved_endpoints(states: Sequence[EndpointState], now_s: float) -> frozenset[str]:
    """Return the ids of the endpoints reserved for short prompts.

    Instances that know of the same work reserve the same endpoints. All instances rank them alike,
    so if their counts differ, the smaller set is a subset of the larger one.

    Args:
      now_s: The current time in seconds of the clock that the states use.
    """
    if len(states) < MIN_ENDPOINTS_TO_RESERVE:
        return frozenset()
    count = _reserved_count(states, now_s)
    ranked = sorted((state.entry.endpoint_id for state in states), key=_rank, reverse=True)
    return frozenset(ranked[:count])


def reservation_cost(state: EndpointState, is_reserved: bool, prompt_tokens: int) -> float:
    """Return the additional cost of a prompt at an endpoint because of reservations, in tokens."""
    if is_short(prompt_tokens):
        return 0.0 if is_reserved else SHORT_ON_OTHER_TOKENS
    if is_reserved:
        return LONG_ON_RESERVED_TOKENS
    return LONG_ON_RESERVED_TOKENS * min(1.0, state.short.running / PROTECTED_RUNNING)


def _reserved_count(states: Sequence[EndpointState], now_s: float) -> int:
    """Return how many endpoints to reserve: the share of short prompts in all work."""
    short = sum(_work(state, state.short, now_s) for state in states)
    work = short + sum(_work(state, state.long, now_s) for state in states)
    share = short / work if work >= IDLE_WORK else IDLE_SHARE
    return min(max(1, round(len(states) * share)), len(states) - 1)


def _work(state: EndpointState, load: PromptLoad, now_s: float) -> float:
    """Return the work of requests of one size at an endpoint, as a share of its capacity."""
    batch = FULL_BATCH_WORK * load.running / max(1, state.entry.slots)
    return batch + load.tokens_per_s(now_s) / state.speed.tokens_per_s


@lru_cache(maxsize=MAX_CACHED_RANKS)
def _rank(endpoint_id: str) -> float:
    """Return the hash score of an endpoint; those with the highest scores are reserved."""
    return score(RESERVED_KEY, endpoint_id)
