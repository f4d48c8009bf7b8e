"""The slots of one endpoint: how many there are, which are in use, and how long the next one takes.

It brings together the concurrency limits, the endpoint's health, its memory and the extra slot of
the minimum share. It belongs to the scheduler of the endpoint (scheduler.py), which decides who
gets a slot.
"""

from collections.abc import Callable
from dataclasses import dataclass

from springbridge.classes.decisions import Outcome, Release, Sample, SlotRequest
from springbridge.classes.endpoint_health import EndpointHealth
from springbridge.classes.entities import Tier
from springbridge.classes.slots.concurrency import LATE_LIMIT, EndpointLimits
from springbridge.classes.slots.estimates import RunningMean, RunningQuantile
from springbridge.classes.slots.fair_queue import FairQueue
from springbridge.classes.slots.minimum_share import MinimumShare

# Length of an answer that is expected of a class before its first one, in tokens.
FIRST_ANSWER_TOKENS = 64.0
# Time for which a slot is expected to be held before the first release. The first sample replaces
# it.
FIRST_SERVICE_S = 1.0
# Slots, at least, of which work that may not be preempted leaves one to the top tier. With one slot
# such work could never run. Derived: the smallest number that has one to leave.
MIN_SLOTS_TO_RESERVE_ONE = 2


@dataclass
class Running:
    """A slot request that holds a slot.

    Attributes:
      since_s: When it got the slot.
      tokens: Tokens of the endpoint's memory that it is expected to take up.
      stopping: Whether it was told to stop.
    """

    slot_request: SlotRequest
    since_s: float
    tokens: float
    stopping: bool = False

    @property
    def is_preemptible(self) -> bool:
        """Return whether the work may be preempted and was not told to stop yet."""
        return self.slot_request.preemptible and not self.stopping


class EndpointSlots:
    """The slots of one endpoint.

    Attributes:
      running: The slot requests that hold a slot, by id.
      limits: Learnt limits of the tiers.
      health: Slots that its failures take away.
      share: The extra slot of the minimum share.
      service_s: Mean time for which a slot is held.
    """

    def __init__(self, queue: FairQueue, token_capacity: int, clock: Callable[[], float]) -> None:
        """Start with all slots free.

        Args:
          token_capacity: Tokens of prompt and answer that the endpoint's memory holds.
          clock: Monotonic time in seconds.
        """
        self.running: dict[str, Running] = {}
        self.limits = EndpointLimits()
        self.health = EndpointHealth()
        self.share = MinimumShare()
        self.service_s = RunningMean(FIRST_SERVICE_S)
        self._queue = queue
        self._token_capacity = token_capacity
        self._clock = clock
        self._answer_tokens: dict[str, RunningQuantile] = {}

    def hold(self, slot_request: SlotRequest, now_s: float) -> None:
        """Note that a slot request holds a slot from now on."""
        self.running[slot_request.slot_request_id] = Running(
            slot_request, now_s, self.tokens(slot_request)
        )

    def free(self, slot_request_id: str) -> None:
        """Note that a slot request no longer holds its slot."""
        del self.running[slot_request_id]
        self.share.release(slot_request_id)

    def used(self) -> int:
        """Return the slots in use, without the extra one of the minimum share."""
        return len(self.running) - (self.share.holder is not None)

    def for_tier(self, tier: Tier, now_s: float) -> int:
        """Return how many slots there are for a tier, given the tiers that run now.

        An endpoint too slow for a tier has none for it, until a slot request has waited so long
        that late is better than never.
        """
        present = {run.slot_request.tier for run in self.running.values()}
        slots = self.limits.slots(now_s, present | {tier})
        if self._queue.is_late(tier, now_s):
            slots = max(int(LATE_LIMIT), slots)
        return self.health.slots(now_s, slots)

    def slots_with_one_reserved(self) -> int:
        """Return of how many slots work that may not be preempted has to leave one."""
        return max(MIN_SLOTS_TO_RESERVE_ONE, self.limits.slots(self._clock(), set(Tier)))

    def is_free(self, tier: Tier, now_s: float) -> bool:
        """Return whether a tier has a slot now."""
        return self.used() < self.for_tier(tier, now_s)

    def fits(self, slot_request: SlotRequest) -> bool:
        """Return whether a slot request fits the memory and leaves the last slot to the top tier.

        A slot request that is larger than the memory runs alone.
        """
        if (
            slot_request.is_unpreemptible_lower_tier
            and self.unpreemptible_lower_tier_used() + 1 >= self.slots_with_one_reserved()
        ):
            return False
        used = sum(run.tokens for run in self.running.values())
        return not used or used + self.tokens(slot_request) <= self._token_capacity

    def unpreemptible_lower_tier_used(self) -> int:
        """Return the slots held by fixed work, without the extra one of the minimum share."""
        unpreemptible = [
            slot_request_id
            for slot_request_id, run in self.running.items()
            if run.slot_request.is_unpreemptible_lower_tier
        ]
        return len(unpreemptible) - (self.share.holder in unpreemptible)

    def tokens(self, slot_request: SlotRequest) -> float:
        """Return the tokens that a slot request is expected to take up."""
        return slot_request.prompt_tokens + self._answer_quantile(slot_request.request_class).value

    def _answer_quantile(self, request_class: str) -> RunningQuantile:
        return self._answer_tokens.setdefault(request_class, RunningQuantile(FIRST_ANSWER_TOKENS))

    def learn_latency(self, running: Running, sample: Sample, now_s: float) -> None:
        """Adjust the limits to the latencies of one slot; zero stands for nothing new."""
        in_flight = self.used()
        if sample.between_tokens_s:
            self.limits.learn_between(now_s, sample.between_tokens_s, in_flight)
        if sample.first_token_s:
            latency_ratio = sample.first_token_s / running.slot_request.first_s
            self.limits.learn_first(now_s, running.slot_request.tier, latency_ratio, in_flight)

    def learn_outcome(self, running: Running, release: Release, now_s: float) -> None:
        """Adjust health and estimates to how a slot ended."""
        if release.outcome in (Outcome.ENDPOINT_FAILED, Outcome.ENDPOINT_REFUSED):
            self.health.failure(now_s)
        elif release.outcome is Outcome.DONE:
            self.health.success()
            self._answer_quantile(running.slot_request.request_class).add(release.sample.tokens)
        if release.outcome is not Outcome.UNUSED:
            self.service_s.add(now_s - running.since_s)

    def predicted_wait_s(self, tier: Tier, now_s: float) -> float:
        """Return how long a new slot request of the tier would wait for a slot, in seconds."""
        suspended_s = max(0.0, self.health.suspended_until_s - now_s)
        slots = max(1, self.for_tier(tier, now_s))
        free = slots - self.used() + self._stopping()
        behind = self._queue.load_ahead(tier) + 1 - free
        return suspended_s + max(0.0, behind) * self.service_s.value / slots

    def queued_wait_s(self, slot_request: SlotRequest, now_s: float) -> float:
        """Return how long a slot request that is in the queue already would wait, in seconds.

        The prediction counts the slot request as one of those ahead, so its own part is taken off.
        """
        slots = max(1, self.for_tier(slot_request.tier, now_s))
        own_s = self.service_s.value / slots / slot_request.fan
        return max(0.0, self.predicted_wait_s(slot_request.tier, now_s) - own_s)

    def is_one_short(self, tier: Tier, now_s: float) -> bool:
        """Return whether at most one slot has to be given back to make room for the tier."""
        return self.used() - self._stopping() <= self.for_tier(tier, now_s)

    def _stopping(self) -> int:
        """Return the slots whose work was told to stop."""
        return sum(run.stopping for run in self.running.values())
