"""Asking order: at which endpoints does an attempt ask for a slot, first and then?

Decided: the endpoint that is asked first, and which others are asked once that one has no slot at
once. Inputs: the endpoints that the request may use, how full each was for the tier as far as this
node was told (a share of its slots), the tier and the request's affinity. Outcome: endpoints to
slot request. Why: under light load one slot request is enough; asking the others as well and taking
the first grant (late binding; Ousterhout and others, Sparrow, SOSP 2013) keeps a request from
waiting behind a slow endpoint.

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

# The key whose ranking names the endpoints that urgent requests prefer, the same on every node.
URGENT_PREFERENCE = "urgent"
# Endpoints that urgent requests prefer. No gain is shown; see above.
URGENT_PREFERRED = 2
# Share of its slots up to which a preferred endpoint counts as having room. No gain over 0.7 is
# shown; see above.
PREFERENCE_BOUND = 0.5
# Allowed endpoints up to which all are asked at once. Beyond that each attempt would cost too many
# messages.
ALL_WHILE_FEW = 12
# Endpoints at which an attempt asks at a time where more than ALL_WHILE_FEW are allowed.
FAN_WHILE_MANY = 3

assert FAN_WHILE_MANY <= ALL_WHILE_FEW


@dataclass
class UsedShares:
    """How full endpoints were for a tier, by the last decision that this node got from there."""

    _shares: dict[tuple[str, Tier], float] = field(default_factory=dict)

    def note(self, slot_request: SlotRequest, share: float) -> None:
        """Note the share of the slots in use, from the decision on a slot request."""
        self._shares[slot_request.endpoint, slot_request.tier] = share

    def find(self, endpoint: str, tier: Tier) -> float:
        """Return the last share of an endpoint; 0 if there was none."""
        return self._shares.get((endpoint, tier), 0.0)


def choose_first(attempt: Attempt, used: UsedShares, rng: random.Random) -> Endpoint:
    """Return the endpoint to ask first: a preferred one with room, else the emptier of two."""
    tier = attempt.request.request_class.tier
    for name in preferred(attempt.request, attempt.endpoints):
        if used.find(name, tier) < PREFERENCE_BOUND:
            return attempt.endpoint_named(name)
    two = rng.sample(attempt.endpoints, min(2, len(attempt.endpoints)))
    return min(two, key=lambda endpoint: used.find(endpoint.name, tier))


def choose_others(
    attempt: Attempt, asked: set[str], waiting: int, rng: random.Random
) -> list[Endpoint]:
    """Return the endpoints to ask next.

    Args:
      asked: Names of the endpoints that were asked already.
      waiting: Asks of the attempt that wait for a decision; with none left, all others are asked.
    """
    others = [endpoint for endpoint in attempt.endpoints if endpoint.name not in asked]
    if len(attempt.endpoints) <= ALL_WHILE_FEW or not waiting:
        return others
    wanted = max(0, FAN_WHILE_MANY - waiting)
    return rng.sample(others, min(wanted, len(others)))


def preferred(request: Request, endpoints: Sequence[Endpoint]) -> list[str]:
    """Return the names of the endpoints that a request prefers, the best first."""
    names = {endpoint.name: 1.0 for endpoint in endpoints}
    if request.request_class.tier is Tier.URGENT:
        return ranking(URGENT_PREFERENCE, names)[:URGENT_PREFERRED]
    if request.affinity:
        return ranking(request.affinity, names)[:1]
    return []
