"""Adaptive concurrency limits: learn from latencies how many requests an endpoint takes at a time.

Decides the number of slots of an endpoint, for each tier.
Inputs: times to the first token and between tokens as ratios to their targets, the requests in
flight at that moment, and a monotonic time in seconds.
Result: the number of requests in flight up to which the endpoint meets a tier's targets. An
endpoint keeps to the limits of the tiers that it runs. Without urgent streams it fills up to what
the looser targets of the lower tiers allow, so no throughput is lost where the speed isn't needed.

Entry nodes see latencies at once, while load reports lag. A limit follows additive increase and
multiplicative decrease: a good sample near the limit adds one slot per round, and more if the
latency is far below the target; one above the target takes a tenth, at most once per
DECREASE_INTERVAL_S. A sample taken far from a limit says nothing about it.
"""

from dataclasses import dataclass, field

from springbridge.classes.entities import Tier

# Slots of an endpoint before its first sample.
FIRST_LIMIT = 8.0
# Lower bound of a limit, in slots. Below one, so that an endpoint too slow for a tier has no slot
# for it.
SMALLEST_LIMIT = 0.5
# Slots for a late request even if the limit allows none, and the limit that is tried again after
# STALE_S. Small, since the endpoint was too slow when last measured.
LATE_LIMIT = 2.0
# Upper bound of a limit, in slots; it only keeps a limit from growing indefinitely.
MAX_LIMIT = 512.0
# Factor by which a sample above the target reduces the limit.
DECREASE = 0.9
# Slots that a round of good samples adds if the latency is far below its target.
FASTEST_INCREASE = 4.0
# Ratio of latency to target up to which a sample counts as good. The rest is a margin for the time
# that the limit takes to adapt.
TARGET_SHARE = 0.85
# Minimum time between two decreases, so that one slow moment, seen by many streams, counts once.
DECREASE_INTERVAL_S = 0.4
# Requests in flight as a share of the limit, from which a good sample raises it.
MIN_UTILIZATION_TO_RAISE = 0.75
# Requests in flight as a share of the limit, above which a sample says nothing about it.
MAX_UTILIZATION_TO_LEARN = 1.15
# Time without a sample after which a limit is tried again with LATE_LIMIT slots, in case the
# endpoint has become faster.
STALE_S = 5.0

assert SMALLEST_LIMIT < 1 <= LATE_LIMIT <= FIRST_LIMIT <= MAX_LIMIT
assert MIN_UTILIZATION_TO_RAISE < 1 < MAX_UTILIZATION_TO_LEARN


@dataclass
class TierLimit:
    """The learnt limit of one tier at one endpoint.

    Attributes:
      limit: Number of slots; may be fractional.
      next_decrease_s: No decrease before this time.
      learnt_s: When a sample was last close enough to the limit to count.
    """

    limit: float = FIRST_LIMIT
    next_decrease_s: float = 0.0
    learnt_s: float = 0.0

    def learn(self, now_s: float, latency_ratio: float, in_flight: int) -> None:
        """Adjust the limit to one latency.

        Args:
          latency_ratio: The latency divided by its target.
          in_flight: Requests in flight at the endpoint when the latency was measured.
        """
        if in_flight > max(LATE_LIMIT, MAX_UTILIZATION_TO_LEARN * self.limit):
            return
        self.learnt_s = now_s
        if latency_ratio > TARGET_SHARE:
            self._decrease(now_s)
        elif in_flight >= MIN_UTILIZATION_TO_RAISE * self.limit:
            headroom = 1 - latency_ratio / TARGET_SHARE
            step = max(1.0, FASTEST_INCREASE * headroom) / max(1.0, self.limit)
            self.limit = min(MAX_LIMIT, self.limit + step)

    def _decrease(self, now_s: float) -> None:
        if now_s < self.next_decrease_s:
            return
        self.limit = max(SMALLEST_LIMIT, self.limit * DECREASE)
        self.next_decrease_s = now_s + DECREASE_INTERVAL_S

    def slots(self, now_s: float) -> int:
        """Return the limit in whole slots, raised to LATE_LIMIT after STALE_S without a sample."""
        if now_s - self.learnt_s > STALE_S:
            self.limit = max(LATE_LIMIT, self.limit)
        return int(self.limit)


@dataclass
class EndpointLimits:
    """The learnt limits of one endpoint.

    Attributes:
      targets_s: Targets between tokens of the classes seen in each tier, by class.
    """

    tiers: dict[Tier, TierLimit] = field(
        default_factory=lambda: {tier: TierLimit() for tier in Tier}
    )
    targets_s: dict[Tier, dict[str, float]] = field(
        default_factory=lambda: {tier: {} for tier in Tier}
    )

    def set_target(self, tier: Tier, request_class: str, between_s: float) -> None:
        """Record a class's target for the time between tokens, in seconds."""
        self.targets_s[tier][request_class] = between_s

    def learn_between(self, now_s: float, between_s: float, in_flight: int) -> None:
        """Adjust all tiers' limits to the time between tokens of one stream.

        All streams of a batch run at one speed, so a stream of any tier counts for all tiers.
        """
        for tier, targets in self.targets_s.items():
            if targets:
                self.tiers[tier].learn(now_s, between_s / min(targets.values()), in_flight)

    def learn_first(self, now_s: float, tier: Tier, latency_ratio: float, in_flight: int) -> None:
        """Adjust one tier's limit to a time to the first token, divided by its target."""
        self.tiers[tier].learn(now_s, latency_ratio, in_flight)

    def slots(self, now_s: float, tiers: set[Tier]) -> int:
        """Return the requests that the endpoint takes while all these tiers meet their targets."""
        return min(self.tiers[tier].slots(now_s) for tier in tiers)
