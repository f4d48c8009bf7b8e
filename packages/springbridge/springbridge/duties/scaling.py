"""Autoscaling: how many on-demand and spot endpoints a service should have per failure domain.

The result is computed from the endpoints listed there now, the load from callers, and the limits
and prices of the service.

Spot endpoints cost a fraction of on-demand ones but leave a failure domain all at once, with a
notice shorter than replacements take to start. So spot endpoints carry the bursts, a few on-demand
endpoints stay in each failure domain, and when spot endpoints leave, on-demand ones are ordered as
far as the load needs them. No on-demand endpoint is removed before a spot endpoint has replaced it,
and none is removed until the load has been observed for long enough.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

# Seconds for which the load has to be observed before the target may follow it downwards.
MIN_OBSERVATION_S = 60.0
# Target as a multiple of the initial endpoints while the load is unknown, and its bound afterwards.
MAX_GROWTH = 2.0


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """The limits that the operators set for a service.

    Attributes:
      least: Minimum number of endpoints in a failure domain, both kinds together.
      most: Maximum number of endpoints there, both kinds together.
      boot_s: Seconds from an order until the endpoint serves.
      spot_price: Price of a spot endpoint as a fraction of the on-demand price; None if spot
        endpoints are not available.
      prices: Price of an on-demand endpoint by failure domain; 1 where none is given.
    """

    least: int
    most: int
    boot_s: float = 0.0
    spot_price: float | None = None
    prices: Mapping[str, float] | None = None

    def price(self, failure_domain: str) -> float:
        """Return the price of an on-demand endpoint in a failure domain."""
        return (self.prices or {}).get(failure_domain, 1.0)


@dataclass(frozen=True, slots=True)
class ListedEndpoints:
    """Numbers of endpoints of a service in one failure domain, without those about to leave."""

    on_demand: int = 0
    spot: int = 0


@dataclass(frozen=True, slots=True)
class DesiredEndpoints:
    """Numbers of endpoints that a service should have in one failure domain."""

    on_demand: int
    spot: int


@dataclass(frozen=True, slots=True)
class Load:
    """The load of a service, as the number of endpoints that it keeps busy.

    Attributes:
      now: In the last seconds.
      peak: The highest of the kept samples.
      known_for_s: For how many seconds the load has been observed; 0 before the first request.
      initial_endpoints: Number of endpoints when the observation began; all of them count as needed
        until a load has been observed.
    """

    now: float
    peak: float
    known_for_s: float
    initial_endpoints: int


@dataclass(frozen=True, slots=True)
class SpotFirst:
    """Spot endpoints up to a multiple of the peak load, and a few on-demand ones.

    Attributes:
      headroom: Target number of endpoints per endpoint that the peak load keeps busy.
      cover: Number of running endpoints guaranteed per endpoint that the present load keeps busy.
      reserve: Number of on-demand endpoints in each failure domain.
    """

    headroom: float = 2.0
    cover: float = 0.6
    reserve: int = 2


@dataclass(frozen=True, slots=True)
class TargetTracking:
    """On-demand endpoints only, as many as reach a target utilisation at the peak load.

    Attributes:
      utilisation: The target, as the share of time that an endpoint is busy.
    """

    utilisation: float = 0.4


Domains = Mapping[str, ListedEndpoints]


@singledispatch
def desired_endpoints(
    policy: object, domains: Domains, load: Load, limits: ScalingLimits
) -> dict[str, DesiredEndpoints]:
    """Return the numbers of endpoints that a service should have, by failure domain.

    Args:
      policy: A SpotFirst or a TargetTracking.
      domains: The listed endpoints by failure domain.
      load: The observed load.
      limits: The operators' limits.

    Raises:
      TypeError: If the policy is of another type.
    """
    raise TypeError(f"unknown scaling policy: {policy!r}")


@desired_endpoints.register
def _(policy: TargetTracking, domains: Domains, load: Load, limits: ScalingLimits):
    if load.known_for_s < MIN_OBSERVATION_S:
        return {name: DesiredEndpoints(listed.on_demand, 0) for name, listed in domains.items()}
    each = _within(limits, math.ceil(load.peak / policy.utilisation / max(1, len(domains))))
    return {name: DesiredEndpoints(each, 0) for name in domains}


@desired_endpoints.register
def _(policy: SpotFirst, domains: Domains, load: Load, limits: ScalingLimits):
    if limits.spot_price is None:
        return desired_endpoints(TargetTracking(), domains, load, limits)
    target = _target(policy, domains, load, limits)
    reserve = {name: min(policy.reserve, target) for name in domains}
    standing = sum(listed.spot for listed in domains.values()) + sum(reserve.values())
    missing = max(0, _cover(policy, domains, load, limits) - standing)
    on_demand = _fill(domains, reserve, missing, limits)
    return {
        name: DesiredEndpoints(
            on_demand[name],
            max(0, target - max(on_demand[name], each.on_demand)),
        )
        for name, each in domains.items()
    }


def _target(policy: SpotFirst, domains: Domains, load: Load, limits: ScalingLimits) -> int:
    """Return how many endpoints, both kinds together, each failure domain should have."""
    count = MAX_GROWTH * load.initial_endpoints
    if load.known_for_s >= MIN_OBSERVATION_S:
        count = min(count, policy.headroom * load.peak)
    return _within(limits, math.ceil(count / max(1, len(domains))))


def _cover(policy: SpotFirst, domains: Domains, load: Load, limits: ScalingLimits) -> int:
    """Return how many endpoints the service must have even when spot endpoints leave."""
    if load.known_for_s <= 0:
        return load.initial_endpoints
    return min(math.ceil(policy.cover * load.now), limits.most * len(domains))


def _fill(
    domains: Domains, reserve: Mapping[str, int], missing: int, limits: ScalingLimits
) -> dict[str, int]:
    """Return the on-demand endpoints by failure domain: the reserve plus the missing ones.

    Existing on-demand endpoints are kept first; then the cheapest failure domains get more.
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
    """Return a number of endpoints, clamped to the limits of a failure domain."""
    return max(limits.least, min(limits.most, count))
