"""The scheduler of one endpoint: who gets a slot, who waits, who is refused and who is preempted.

One node schedules an endpoint, so the order of its queue and the count of its slots are exact
whatever the lag of load reports. The scheduler sees metadata only. Its methods take the time and
return decisions, which the node carries to the entry nodes.

The rules, in order:
  1. A free slot goes to the queue's next ask (fair_queue.py).
  2. An ask that finds no slot in time for its latency target preempts lower-tier work.
  3. Before a top-tier ask is refused, all preemptible lower-tier work has been preempted and all
     waiting lower-tier asks have been refused; INVARIANT_TOP_TIER asserts that.
  4. Work that may not be preempted never takes the last slot of an endpoint below the top tier.
  5. An ask whose predicted wait is longer than it may wait is refused at once.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace

from springbridge.classes.decisions import (
    Ask,
    Decision,
    Grant,
    Inventory,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
)
from springbridge.classes.entities import Tier
from springbridge.classes.invariants import Invariants
from springbridge.classes.slots.endpoint_slots import EndpointSlots, Running
from springbridge.classes.slots.fair_queue import FairQueue

INVARIANT_TOP_TIER = "top tier refused last"
INVARIANT_LAST_SLOT = "last slot stays preemptible"
INVARIANT_TIER_ORDER = "preemption goes downward"

LONGEST_RETRY_AFTER_S = 60.0
SHORTEST_RETRY_AFTER_S = 0.1
PREEMPT_TARGET_SHARE = 0.25
INVENTORY_LAG_S = 2.0


class EndpointScheduler:
    """Queue and slots of one endpoint."""

    def __init__(
        self,
        me: str,
        endpoint: str,
        token_capacity: int,
        clock: Callable[[], float],
        invariants: Invariants,
    ):
        """Start with an empty queue.

        Args:
          me: Incarnation of the node that schedules.
          token_capacity: Tokens of prompt and answer that the endpoint's memory holds.
          clock: Monotonic time in seconds.
        """
        self._me = me
        self.endpoint = endpoint
        self.queue = FairQueue()
        self.slots = EndpointSlots(self.queue, token_capacity, clock)
        self.running = self.slots.running
        self.limits = self.slots.limits
        self.health = self.slots.health
        self.share = self.slots.share
        self._clock = clock
        self._invariants = invariants

    def ask(self, ask: Ask) -> list[Decision]:
        """Take in an ask and return what follows from it."""
        now_s = self._clock()
        self.limits.know_target(ask.tier, ask.request_class, ask.between_s)
        if ask.ask_id in self.running:
            return [self._grant(ask)]
        if ask.ask_id in self.queue:
            return [Queued(ask.ask_id, ask.node, self._predicted_wait_queued_s(ask))]
        if ask.tier is not Tier.URGENT and self.share.pressed(now_s):
            return [self._ask_under_pressure(ask, now_s)]
        self.queue.push(ask, self.slots.tokens(ask), now_s)
        decisions = list(self._grant_free_slots(now_s))
        if ask.ask_id in self.queue:
            decisions += self._place_waiting(ask, now_s)
        if ask.ask_id in self.queue:
            decisions.append(Queued(ask.ask_id, ask.node, self._predicted_wait_queued_s(ask)))
        return decisions

    def hold(self, ask: Ask) -> None:
        """Take over a slot that the endpoint's former scheduler gave."""
        if ask.ask_id not in self.running:
            self.running[ask.ask_id] = Running(ask, self._clock(), self.slots.tokens(ask))

    def release(self, release: Release) -> list[Decision]:
        """Take a slot back, learn from how it was used and give it on."""
        now_s = self._clock()
        running = self.running.get(release.ask_id)
        if running is None:
            return self._withdraw(release.ask_id, now_s)
        self.slots.learn_latency(running, release.sample, now_s)
        del self.running[release.ask_id]
        self.share.release(release.ask_id)
        self.slots.learn_outcome(running, release, now_s)
        return list(self._grant_free_slots(now_s))

    def sample(self, sample: Sample) -> None:
        """Learn from a slot that is still in use."""
        running = self.running.get(sample.ask_id)
        if running is not None:
            self.slots.learn_latency(running, sample, self._clock())

    def drop_node(self, node: str) -> list[Decision]:
        """Forget the asks and slots of an entry node that is gone."""
        for ask in [ask for ask in self.queue.waiting() if ask.node == node]:
            self.queue.discard(ask.ask_id)
        for running in [run for run in self.running.values() if run.ask.node == node]:
            del self.running[running.ask.ask_id]
            self.share.release(running.ask.ask_id)
        return list(self._grant_free_slots(self._clock()))

    def take_inventory(self, inventory: Inventory) -> list[Decision]:
        """Drop what a node no longer has here, in case its release was lost on the way."""
        now_s = self._clock()
        kept = set(inventory.ask_ids)
        lost = [
            ask_id
            for ask_id, run in self.running.items()
            if run.ask.node == inventory.node
            and ask_id not in kept
            and now_s - run.since_s > INVENTORY_LAG_S
        ]
        for ask_id in lost:
            del self.running[ask_id]
            self.share.release(ask_id)
        return list(self._grant_free_slots(now_s))

    def tick(self) -> list[Decision]:
        """Give up asks whose wait has ended, preempt for late ones, give slots freed by time."""
        if not len(self.queue):
            return []
        now_s = self._clock()
        decisions: list[Decision] = list(self._grant_free_slots(now_s))
        for ask in self.queue.expired(now_s):
            if ask.ask_id in self.queue:
                decisions += self._give_up(ask, now_s)
        for ask in self.queue.late(now_s):
            preemption = self._preempt_for(ask)
            if preemption is not None:
                decisions.append(preemption)
        return decisions

    def nodes(self) -> set[str]:
        """Return the entry nodes that have asks or slots here."""
        asks = [run.ask for run in self.running.values()] + self.queue.waiting()
        return {ask.node for ask in asks}

    def ask_ids(self) -> set[str]:
        """Return the ids of all asks and slots."""
        return set(self.running) | {ask.ask_id for ask in self.queue.waiting()}

    def predicted_wait_s(self, tier: Tier) -> float:
        """Return how long a new ask of the tier would wait for a slot."""
        return self.slots.predicted_wait_s(tier, self._clock())

    # Placing an ask that found no free slot.

    def _place_waiting(self, ask: Ask, now_s: float) -> Iterator[Decision]:
        """Preempt for a waiting ask, or give it up if its wait would be too long."""
        wait_s = self._predicted_wait_queued_s(ask)
        too_long = wait_s > ask.max_wait_s
        misses_target = wait_s > PREEMPT_TARGET_SHARE * ask.target_s
        if too_long or (misses_target and ask.primary and self.slots.is_one_short(ask.tier, now_s)):
            preemption = self._preempt_for(ask)
            if preemption is not None:
                yield preemption
                return
        if too_long:
            yield from self._give_up(ask, now_s)

    def _predicted_wait_queued_s(self, ask: Ask) -> float:
        """Return the predicted wait of an ask that is already counted in the queue."""
        return max(0.0, self.predicted_wait_s(ask.tier) - self._service_share_s(ask))

    def _service_share_s(self, ask: Ask) -> float:
        """Return by how much an ask itself lengthens the predicted wait of its tier."""
        slots = max(1, self.slots.for_tier(ask.tier, self._clock()))
        return self.slots.service_s.value / slots / ask.fan

    def _preempt_for(self, ask: Ask) -> Preemption | None:
        """Tell the lowest, youngest preemptible work below the ask's tier to stop.

        Slots that are already being given back count for the asks that are ahead.
        """
        stopping = sum(run.stopping for run in self.running.values())
        if stopping >= self.queue.load_ahead(ask.tier):
            return None
        victims = [run for run in self.running.values() if run.yields and run.ask.tier > ask.tier]
        if not victims:
            return None
        victim = max(victims, key=lambda run: (run.ask.tier, run.since_s))
        self._invariants.check(INVARIANT_TIER_ORDER, victim.ask.tier > ask.tier, self.endpoint)
        victim.stopping = True
        return Preemption(victim.ask.ask_id, victim.ask.node)

    def _give_up(self, ask: Ask, now_s: float) -> Iterator[Decision]:
        """Refuse a waiting ask; for the top tier only after all lower tiers have made way."""
        if ask.tier is Tier.URGENT:
            self.share.press(now_s)
            yield from self._refuse_below(Tier.URGENT)
            yield from self._preempt_below(Tier.URGENT)
            self._check_top_tier()
        yield self._refuse(ask)

    def _refuse_below(self, tier: Tier) -> Iterator[Refusal]:
        """Refuse all waiting asks of lower tiers, the lowest first."""
        for lower in self.queue.below(tier):
            yield self._refuse(lower)

    def _preempt_below(self, tier: Tier) -> Iterator[Preemption]:
        """Tell all preemptible work of lower tiers to stop."""
        for run in self.running.values():
            if run.yields and run.ask.tier > tier:
                run.stopping = True
                yield Preemption(run.ask.ask_id, run.ask.node)

    def _refuse(self, ask: Ask) -> Refusal:
        self.queue.discard(ask.ask_id)
        return Refusal(ask.ask_id, ask.node, self._retry_after_s(ask.tier))

    def _retry_after_s(self, tier: Tier) -> float:
        """Return when the queue ahead of a tier will have drained."""
        wait_s = self.predicted_wait_s(tier)
        return min(LONGEST_RETRY_AFTER_S, max(SHORTEST_RETRY_AFTER_S, wait_s))

    def _ask_under_pressure(self, ask: Ask, now_s: float) -> Decision:
        """Give a lower-tier ask the extra slot or refuse it at once; it may not wait."""
        suspended = self.slots.for_tier(ask.tier, now_s) == 0
        if suspended or not self.share.claim(ask.ask_id, ask.request_class, now_s):
            return self._refuse(ask)
        fixed = replace(ask, preemptible=False)
        self.running[ask.ask_id] = Running(fixed, now_s, self.slots.tokens(ask))
        return self._grant(ask)

    def _check_top_tier(self) -> None:
        """Assert that nothing of a lower tier waits or could still be preempted."""
        waiting = self.queue.below(Tier.URGENT)
        yielding = [
            run for run in self.running.values() if run.yields and run.ask.tier > Tier.URGENT
        ]
        holds = not waiting and not yielding
        self._invariants.check(INVARIANT_TOP_TIER, holds, self.endpoint)

    # Giving slots.

    def _grant_free_slots(self, now_s: float) -> Iterator[Grant]:
        """Give free slots to the next asks in order, past tiers whose next ask does not fit."""
        blocked: set[Tier] = set()
        while True:
            tier = self._next_tier(blocked)
            if tier is None or not self.slots.is_free(tier, now_s):
                return
            if self.slots.fits(self.queue.peek(tier)):
                yield self._start(self.queue.pop(tier), now_s)
            else:
                blocked.add(tier)

    def _next_tier(self, blocked: set[Tier]) -> Tier | None:
        """Return the tier to serve next, leaving out those whose next ask does not fit."""
        tier = self.queue.next_tier()
        if tier is None or tier not in blocked:
            return tier
        others = (lower for lower in Tier if lower not in blocked and self.queue.peek(lower))
        return next(others, None)

    def _start(self, ask: Ask, now_s: float) -> Grant:
        self.running[ask.ask_id] = Running(ask, now_s, self.slots.tokens(ask))
        if not ask.preemptible and ask.tier is not Tier.URGENT:
            self._check_last_slot()
        return self._grant(ask)

    def _grant(self, ask: Ask) -> Grant:
        used_share = self.slots.used() / max(1, self.slots.for_tier(ask.tier, self._clock()))
        return Grant(ask.ask_id, ask.node, self._me, used_share)

    def _check_last_slot(self) -> None:
        """Assert that work which may not be preempted leaves a slot to the top tier."""
        holds = self.slots.fixed_below_top() < self.slots.beside_fixed()
        self._invariants.check(INVARIANT_LAST_SLOT, holds, self.endpoint)

    def _withdraw(self, ask_id: str, now_s: float) -> list[Decision]:
        """Take back an ask that still waits."""
        if self.queue.discard(ask_id) is None:
            return []
        return list(self._grant_free_slots(now_s))
