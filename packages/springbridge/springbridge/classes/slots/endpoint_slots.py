"""The slots of one endpoint: how many it has, which are in use, and the predicted wait for one.

Combines the learnt concurrency limits, the endpoint's health, its memory and the extra slot of the
minimum share. The endpoint's scheduler (scheduler.py) owns it and decides which slot request gets a
slot.
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

# Expected length of an answer, in tokens, until a class has had its first answer.
FIRST_ANSWER_TOKENS = 64.0
# Expected time for which a slot is held, until the first release replaces it.
FIRST_SERVICE_S = 1.0
# Minimum of the slots of which unpreemptible lower-tier work must leave one to the top tier. With a
# minimum of one, such work could never run at an endpoint with a single slot.
MIN_SLOTS_TO_RESERVE_ONE = 2


@dataclass
class Running:
    """A slot request that holds a slot.

    Attributes:
      since_s: When it got the slot.
      tokens: Expected use of the endpoint's memory, in tokens.
      stopping: Whether its node was told to stop it.
    """

    slot_request: SlotRequest
    since_s: float
    tokens: float
    stopping: bool = False

    @property
    def is_preemptible(self) -> bool:
        """Return whether the work may be preempted and is not stopping already."""
        return self.slot_request.preemptible and not self.stopping


class EndpointSlots:
    """The slots of one endpoint.

    Attributes:
      running: The slot requests that hold a slot, by id.
      limits: Learnt concurrency limits of the tiers.
      health: Failures, which reduce the slots that may be used.
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
        """Register that a slot request holds a slot from now on."""
        self.running[slot_request.slot_request_id] = Running(
            slot_request, now_s, self.tokens(slot_request)
        )

    def free(self, slot_request_id: str) -> None:
        """Free the slot of a slot request."""
        del self.running[slot_request_id]
        self.share.release(slot_request_id)

    def used(self) -> int:
        """Return the slots in use, without the extra one of the minimum share."""
        return len(self.running) - (self.share.holder is not None)

    def for_tier(self, tier: Tier, now_s: float) -> int:
        """Return the number of slots that a tier may use, given the tiers that run now.

        An endpoint that is too slow for a tier has none for it, unless a slot request of the tier
        is late already; it then has at least LATE_LIMIT slots, since a late answer is better than
        none.
        """
        present = {run.slot_request.tier for run in self.running.values()}
        slots = self.limits.slots(now_s, present | {tier})
        if self._queue.is_late(tier, now_s):
            slots = max(int(LATE_LIMIT), slots)
        return self.health.slots(now_s, slots)

    def slots_with_one_reserved(self) -> int:
        """Return the number of slots of which unpreemptible lower-tier work must leave one."""
        return max(MIN_SLOTS_TO_RESERVE_ONE, self.limits.slots(self._clock(), set(Tier)))

    def is_free(self, tier: Tier, now_s: float) -> bool:
        """Return whether a tier has a free slot now."""
        return self.used() < self.for_tier(tier, now_s)

    def fits(self, slot_request: SlotRequest) -> bool:
        """Return whether the work fits the memory and leaves the last slot to the top tier.

        Work that is larger than the memory runs alone.
        """
        if (
            slot_request.is_unpreemptible_lower_tier
            and self.unpreemptible_lower_tier_used() + 1 >= self.slots_with_one_reserved()
        ):
            return False
        used = sum(run.tokens for run in self.running.values())
        return not used or used + self.tokens(slot_request) <= self._token_capacity

    def unpreemptible_lower_tier_used(self) -> int:
        """Return the slots used by unpreemptible lower-tier work, without the extra slot."""
        unpreemptible = [
            slot_request_id
            for slot_request_id, run in self.running.items()
            if run.slot_request.is_unpreemptible_lower_tier
        ]
        return len(unpreemptible) - (self.share.holder in unpreemptible)

    def tokens(self, slot_request: SlotRequest) -> float:
        """Return the expected memory of a slot request's prompt and answer, in tokens."""
        return slot_request.prompt_tokens + self._answer_quantile(slot_request.request_class).value

    def _answer_quantile(self, request_class: str) -> RunningQuantile:
        return self._answer_tokens.setdefault(request_class, RunningQuantile(FIRST_ANSWER_TOKENS))

    def learn_latency(self, running: Running, sample: Sample, now_s: float) -> None:
        """Adjust the limits to the latencies of one slot; a zero means no new value."""
        in_flight = self.used()
        if sample.between_tokens_s:
            self.limits.learn_between(now_s, sample.between_tokens_s, in_flight)
        if sample.first_token_s:
            latency_ratio = sample.first_token_s / running.slot_request.first_s
            self.limits.learn_first(now_s, running.slot_request.tier, latency_ratio, in_flight)

    def learn_outcome(self, running: Running, release: Release, now_s: float) -> None:
        """Adjust the endpoint's health and the estimates to the outcome of a slot."""
        if release.outcome in (Outcome.ENDPOINT_FAILED, Outcome.ENDPOINT_REFUSED):
            self.health.failure(now_s)
        elif release.outcome is Outcome.DONE:
            self.health.success()
            self._answer_quantile(running.slot_request.request_class).add(release.sample.tokens)
        if release.outcome is not Outcome.UNUSED:
            self.service_s.add(now_s - running.since_s)

    def predicted_wait_s(self, tier: Tier, now_s: float) -> float:
        """Return the predicted wait of a new slot request of the tier, in seconds."""
        suspended_s = max(0.0, self.health.suspended_until_s - now_s)
        slots = max(1, self.for_tier(tier, now_s))
        free = slots - self.used() + self._stopping()
        behind = self._queue.load_ahead(tier) + 1 - free
        return suspended_s + max(0.0, behind) * self.service_s.value / slots

    def queued_wait_s(self, slot_request: SlotRequest, now_s: float) -> float:
        """Return the predicted wait of a slot request that is queued already, in seconds.

        predicted_wait_s counts the queued request as one ahead, so its own part is subtracted.
        """
        slots = max(1, self.for_tier(slot_request.tier, now_s))
        own_s = self.service_s.value / slots / slot_request.fan
        return max(0.0, self.predicted_wait_s(slot_request.tier, now_s) - own_s)

    def is_one_short(self, tier: Tier, now_s: float) -> bool:
        """Return whether freeing one more slot is enough to give the tier a slot."""
        return self.used() - self._stopping() <= self.for_tier(tier, now_s)

    def _stopping(self) -> int:
        """Return the number of slots whose work is stopping."""
        return sum(run.stopping for run in self.running.values())
