"""Which endpoints of a service are reserved for short prompts, and how strictly.

Decided: the reserved endpoints, and what it costs to send a prompt to the wrong kind of endpoint.
Inputs: the endpoints that may get the request; the length of its prompt in tokens.
Outcome: a set of endpoint ids, and a cost in prompt tokens that the choice of endpoint adds.
Why: an endpoint that reads a long prompt holds up every token of the others that it runs, and short
prompts with quick answers suffer most. It is a cost rather than a ban, so that idle endpoints can
still be used.
Numbers: not measured one by one. Brought in together with notices of load, the reservation raised
the score from 0.797 to 0.853 with 7 instances and from 0.945 to 0.950 with 8, one run each.
"""

from collections.abc import Sequence
from functools import lru_cache

from springbridge.hashing import score
from springbridge.routing.endpoint_state import EndpointState

# Longest prompt in tokens that counts as short. Not measured on its own; see above.
SHORT_PROMPT_TOKENS = 3000
# Share of a service's endpoints that is reserved. Not measured on its own; see above.
RESERVED_SHARE = 0.2
# Endpoints that a service needs before any is reserved. Not measured; with three, long prompts have
# at least two endpoints to themselves.
LEAST_ENDPOINTS_TO_RESERVE = 3
# Cost of a long prompt at a reserved endpoint, in prompt tokens. 40,000 made no difference: mean
# served value 0.728 against 0.719, and 0.787 against 0.787, one run each with 71 instances.
LONG_ON_RESERVED_TOKENS = 12000
# Cost of a short prompt at any other endpoint, in prompt tokens. Not measured on its own; it must
# stay below the cost above, so that short prompts spill over sooner than long ones.
SHORT_ON_OTHER_TOKENS = 1500
assert SHORT_ON_OTHER_TOKENS < LONG_ON_RESERVED_TOKENS
# Key of the hash that selects the reserved endpoints. All instances of a mixed fleet have to select
# the same ones, so this text must stay as it is, byte for byte.
RESERVED_KEY = "short prompts"
# Endpoint ids whose rank is remembered, to bound memory. Not measured; the largest fleet planned
# for has 720 endpoints.
RANKS_REMEMBERED = 4096


def reserved_endpoints(states: Sequence[EndpointState]) -> frozenset[str]:
    """Return the ids of the endpoints reserved for short prompts, the same at all instances."""
    if len(states) < LEAST_ENDPOINTS_TO_RESERVE:
        return frozenset()
    count = max(1, round(len(states) * RESERVED_SHARE))
    ranked = sorted((state.entry.endpoint_id for state in states), key=_rank, reverse=True)
    return frozenset(ranked[:count])


def reservation_cost(is_reserved: bool, prompt_tokens: int) -> int:
    """Return the cost of a prompt at an endpoint of the other kind, in prompt tokens."""
    is_short = prompt_tokens <= SHORT_PROMPT_TOKENS
    if is_short == is_reserved:
        return 0
    return SHORT_ON_OTHER_TOKENS if is_short else LONG_ON_RESERVED_TOKENS


@lru_cache(maxsize=RANKS_REMEMBERED)
def _rank(endpoint_id: str) -> float:
    """Return the rank of an endpoint; those with the highest are reserved."""
    return score(RESERVED_KEY, endpoint_id)
