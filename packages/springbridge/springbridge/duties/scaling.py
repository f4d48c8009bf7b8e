"""How many endpoints of each kind a service should have in each failure domain.

Decided: for each failure domain the number of endpoints on demand and of spot endpoints.
Inputs: what is listed there now, the work that callers bring, the limits and prices of the service.
Outcome: Wanted, by failure domain.
Why: spot endpoints cost a fraction of the others but leave a failure domain all at once, with a
notice shorter than others take to start. So spot endpoints carry the bursts, a few on demand stay
in each failure domain, and as spot endpoints leave others are ordered for as many as the load
needs. No endpoint on demand is given up before a spot endpoint stands in its place, and none is
given up while too little of the load has been seen.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

# Seconds of load that have to be seen before fewer endpoints are wanted than there may be.
LEARN_S = 60.0
# Multiple of the endpoints that stood up to which more are wanted while the load is unknown.
MOST_GROWTH = 2.0


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """What the operators allow for a service.

    Attributes:
      least: Fewest endpoints in a failure domain, both kinds together.
      most: Most endpoints there, both kinds together.
      boot_s: Seconds from an order to an endpoint that serves.
      spot_price: Price of a spot endpoint as a share of the price of another; None if there are
        none to be had.
      prices: Price of an endpoint by failure domain; 1 where none is named.
    """

    least: int
    most: int
    boot_s: float = 0.0
    spot_price: float | None = None
    prices: Mapping[str, float] | None = None

    def price(self, failure_domain: str) -> float:
        """Return the price of an endpoint on demand in a failure domain."""
        return (self.prices or {}).get(failure_domain, 1.0)


@dataclass(frozen=True, slots=True)
class Listed:
    """The endpoints of a service in one failure domain that are not about to leave."""

    on_demand: int = 0
    spot: int = 0


@dataclass(frozen=True, slots=True)
class Wanted:
    """The endpoints that a service should have in one failure domain."""

    on_demand: int
    spot: int


@dataclass(frozen=True, slots=True)
class Load:
    """The load of a service in endpoints that it keeps busy.

    Attributes:
      now: In the last seconds.
      peak: The most in any of the samples that are kept.
      known_for_s: For how many seconds it has been observed; 0 while nobody has sent anything.
      stood: Endpoints that stood when the observer began; they count as needed while no load has
        been seen.
    """

    now: float
    peak: float
    known_for_s: float
    stood: int


@dataclass(frozen=True, slots=True)
class SpotFirst:
    """Spot endpoints up to a multiple of the peak, a few others beside them.

    Attributes:
      headroom: Endpoints for each one that the peak keeps busy.
      cover: Endpoints that stand at any time for each one that the present load keeps busy.
      reserve: Endpoints on demand in each failure domain.
    """

    headroom: float = 2.0
    cover: float = 0.6
    reserve: int = 2


@dataclass(frozen=True, slots=True)
class TargetTracking:
    """Endpoints on demand alone, as many as keep them busy for a share of the time.

    Attributes:
      utilisation: That share.
    """

    utilisation: float = 0.4


Domains = Mapping[str, Listed]


@singledispatch
def wanted(
    policy: object, domains: Domains, load: Load, limits: ScalingLimits
) -> dict[str, Wanted]:
    """Return the endpoints that a service should have, by failure domain.

    Args:
      policy: A SpotFirst or a TargetTracking.
    """
    raise TypeError(f"no scaling policy: {policy!r}")


@wanted.register
def _(policy: TargetTracking, domains: Domains, load: Load, limits: ScalingLimits):
    if load.known_for_s < LEARN_S:
        return {name: Wanted(listed.on_demand, 0) for name, listed in domains.items()}
    each = _within(limits, math.ceil(load.peak / policy.utilisation / max(1, len(domains))))
    return {name: Wanted(each, 0) for name in domains}


@wanted.register
def _(policy: SpotFirst, domains: Domains, load: Load, limits: ScalingLimits):
    if limits.spot_price is None:
        return wanted(TargetTracking(), domains, load, limits)
    target = _target(policy, domains, load, limits)
    reserve = {name: min(policy.reserve, target) for name in domains}
    standing = sum(listed.spot for listed in domains.values()) + sum(reserve.values())
    missing = max(0, _cover(policy, domains, load, limits) - standing)
    on_demand = _fill(domains, reserve, missing, limits)
    return {
        name: Wanted(
            on_demand[name],
            max(0, target - max(on_demand[name], each.on_demand)),
        )
        for name, each in domains.items()
    }


def _target(policy: SpotFirst, domains: Domains, load: Load, limits: ScalingLimits) -> int:
    """Return the endpoints of both kinds that each failure domain should have."""
    count = MOST_GROWTH * load.stood
    if load.known_for_s >= LEARN_S:
        count = min(count, policy.headroom * load.peak)
    return _within(limits, math.ceil(count / max(1, len(domains))))


def _cover(policy: SpotFirst, domains: Domains, load: Load, limits: ScalingLimits) -> int:
    """Return the endpoints that the service should have at any time, whatever spot ones leave."""
    if load.known_for_s <= 0:
        return load.stood
    return min(math.ceil(policy.cover * load.now), limits.most * len(domains))


def _fill(
    domains: Domains, reserve: Mapping[str, int], missing: int, limits: ScalingLimits
) -> dict[str, int]:
    """Return the endpoints on demand: the reserve and those that are missing.

    Those that stand are kept first, then the cheapest failure domains get more.
    """
    filled = dict(reserve)
    for name, each in domains.items():
        kept = min(missing, max(0, each.on_demand - filled[name]))
        filled[name] += kept
        missing -= kept
    for name in sorted(domains, key=lambda name: (limits.price(name), name)):
        room = max(0, limits.most - domains[name].spot - filled[name])
        more = min(missing, room)
        filled[name] += more
        missing -= more
    return filled


def _within(limits: ScalingLimits, count: int) -> int:
    """Return a number of endpoints within the limits of a failure domain."""
    return max(limits.least, min(limits.most, count))
