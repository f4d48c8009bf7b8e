"""Endpoint choice: selects the endpoints at which an attempt requests a slot.

Decides which endpoint is tried first, and which others once that one has no slot at once.
Inputs: the endpoints that the request may use, the share of its slots that each had in use for the
tier by the last decision that this node received, the tier, and the request's affinity.
Result: endpoints at which to request a slot.
Under light load one slot request is enough. Otherwise requesting slots at the others as well and
taking the first grant (late binding; Ousterhout and others, Sparrow, SOSP 2013) keeps a request
from waiting behind a slow endpoint.

Urgent requests of all nodes prefer the same URGENT_PREFERRED endpoints, so that the others may run
wide batches; other requests prefer the endpoint that may have their prefix cached.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from springbridge.classes.decisions import SlotRequest
from springbridge.classes.entities import Endpoint, Request, Tier
from springbridge.classes.ports import Attempt
from springbridge.hashing import ranking

# Key by whose rendezvous ranking urgent requests prefer endpoints; the same on every node.
URGENT_PREFERENCE = "urgent"
# Number of endpoints that urgent requests prefer.
URGENT_PREFERRED = 2
# Share of its slots in use from which a preferred endpoint counts as full.
PREFERENCE_BOUND = 0.5
# Allowed endpoints up to which slots are requested at all of them at once. With more, each attempt
# would cost too many messages.
ALL_WHILE_FEW = 12
# Concurrent slot requests of an attempt if more than ALL_WHILE_FEW endpoints are allowed.
FAN_WHILE_MANY = 3

assert FAN_WHILE_MANY <= ALL_WHILE_FEW


@dataclass
class UsedShares:
    """Shares of slots in use, by endpoint and tier, from the last decision received."""

    _shares: dict[tuple[str, Tier], float] = field(default_factory=dict)

    def note(self, slot_request: SlotRequest, share: float) -> None:
        """Record the share of the slots in use, from the decision on a slot request."""
        self._shares[slot_request.endpoint, slot_request.tier] = share

    def find(self, endpoint: str, tier: Tier) -> float:
        """Return the last known share of an endpoint; 0 if there is none."""
        return self._shares.get((endpoint, tier), 0.0)


def choose_first(attempt: Attempt, used: UsedShares, rng: random.Random) -> Endpoint:
    """Return the first endpoint to try: a preferred one with room, else the less used of two."""
    tier = attempt.request.request_class.tier
    for name in preferred(attempt.request, attempt.endpoints):
        if used.find(name, tier) < PREFERENCE_BOUND:
            return attempt.endpoint_named(name)
    two = rng.sample(attempt.endpoints, min(2, len(attempt.endpoints)))
    return min(two, key=lambda endpoint: used.find(endpoint.name, tier))


def choose_others(
    attempt: Attempt, asked: set[str], waiting: int, rng: random.Random
) -> list[Endpoint]:
    """Return the endpoints to try next.

    Args:
      asked: Names of the endpoints at which a slot was requested already.
      waiting: Slot requests of the attempt that are pending; with none left, all other endpoints
        are returned.
    """
    others = [endpoint for endpoint in attempt.endpoints if endpoint.name not in asked]
    if len(attempt.endpoints) <= ALL_WHILE_FEW or not waiting:
        return others
    wanted = max(0, FAN_WHILE_MANY - waiting)
    return rng.sample(others, min(wanted, len(others)))


def preferred(request: Request, endpoints: Sequence[Endpoint]) -> list[str]:
    """Return the names of the endpoints that a request prefers, most preferred first."""
    names = {endpoint.name: 1.0 for endpoint in endpoints}
    if request.request_class.tier is Tier.URGENT:
        return ranking(URGENT_PREFERENCE, names)[:URGENT_PREFERRED]
    if request.affinity:
        return ranking(request.affinity, names)[:1]
    return []
