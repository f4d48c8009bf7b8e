"""How many requests an endpoint takes at a time, learnt from the latencies that entry nodes see.

Each tier has its own limit: the number in flight up to which the endpoint meets that tier's
targets. An endpoint that runs a stream of a tier keeps to that tier's limit; one without urgent
streams may fill up to what the lower tiers' looser targets allow, so throughput is not given away
where nobody needs the speed.

A limit moves by additive increase and multiplicative decrease: a good sample near the limit adds
one slot per round, more where the latency is far from the target; a sample above the target takes a
tenth, at most once per COOL_S. A sample taken far from a limit tells nothing about it. Load reports
play no part, since they lag.
"""

from dataclasses import dataclass, field

from springbridge.classes.entities import Tier

FIRST_LIMIT = 8.0
SMALLEST_LIMIT = 0.5
LATE_LIMIT = 2.0
MAX_LIMIT = 512.0
DECREASE = 0.9
FASTEST_INCREASE = 4.0
TARGET_SHARE = 0.85
COOL_S = 0.4
NEAR_BELOW = 0.75
NEAR_ABOVE = 1.15
STALE_S = 5.0


@dataclass
class TierLimit:
    """The learnt limit of one tier at one endpoint."""

    limit: float = FIRST_LIMIT
    cool_until_s: float = 0.0
    learnt_s: float = 0.0

    def learn(self, now_s: float, pressure: float, in_flight: int) -> None:
        """Take in one latency, as a share of its target, seen with this many in flight."""
        if in_flight > max(LATE_LIMIT, NEAR_ABOVE * self.limit):
            return
        self.learnt_s = now_s
        if pressure > TARGET_SHARE:
            self._decrease(now_s)
        elif in_flight >= NEAR_BELOW * self.limit:
            headroom = 1 - pressure / TARGET_SHARE
            step = max(1.0, FASTEST_INCREASE * headroom) / max(1.0, self.limit)
            self.limit = min(MAX_LIMIT, self.limit + step)

    def _decrease(self, now_s: float) -> None:
        if now_s < self.cool_until_s:
            return
        self.limit = max(SMALLEST_LIMIT, self.limit * DECREASE)
        self.cool_until_s = now_s + COOL_S

    def slots(self, now_s: float) -> int:
        """Return the limit in whole slots; one that was not tested for long is tried again."""
        if now_s - self.learnt_s > STALE_S:
            self.limit = max(LATE_LIMIT, self.limit)
        return int(self.limit)


@dataclass
class EndpointLimits:
    """The learnt limits of one endpoint."""

    tiers: dict[Tier, TierLimit] = field(
        default_factory=lambda: {tier: TierLimit() for tier in Tier}
    )
    targets_s: dict[Tier, dict[str, float]] = field(
        default_factory=lambda: {tier: {} for tier in Tier}
    )

    def know_target(self, tier: Tier, request_class: str, between_s: float) -> None:
        """Note the target for the time between tokens of a class."""
        self.targets_s[tier][request_class] = between_s

    def learn_between(self, now_s: float, between_s: float, in_flight: int) -> None:
        """Take in the time between tokens of one stream: it tells about all tiers."""
        for tier, targets in self.targets_s.items():
            if targets:
                self.tiers[tier].learn(now_s, between_s / min(targets.values()), in_flight)

    def learn_first(self, now_s: float, tier: Tier, pressure: float, in_flight: int) -> None:
        """Take in the time to a first token, as a share of its target."""
        self.tiers[tier].learn(now_s, pressure, in_flight)

    def slots(self, now_s: float, tiers: set[Tier]) -> int:
        """Return how many requests the endpoint takes if those of these tiers are to be in time."""
        return min(self.tiers[tier].slots(now_s) for tier in tiers)
