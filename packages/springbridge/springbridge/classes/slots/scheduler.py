"""Scheduler of one endpoint: grants its slots, queues or refuses slot requests, and preempts work.

One node schedules an endpoint, so the order of its queue and the count of its slots are exact even
though load reports lag. The methods return decisions, which the node sends to the entry nodes.

The rules, in order:
  1. A free slot goes to the next slot request in fair order (fair_queue.py) that the endpoint has
     room for (endpoint_slots.py).
  2. A slot request that would wait too long for its latency target preempts lower-tier work
     (preemption.py).
  3. Before a top-tier slot request is refused, all preemptible lower-tier work has been preempted
     and all waiting lower-tier slot requests have been refused; INVARIANT_TOP_TIER asserts that.
     Lower tiers then get only the extra slot of the minimum share (minimum_share.py).
  4. Below the top tier, work that may not be preempted never takes the last slot of an endpoint.
  5. A slot request whose predicted wait is longer than it may wait is refused at once, because it
     would only delay those behind it.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from springbridge.classes.decisions import (
    Decision,
    Grant,
    Inventory,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
    SlotRequest,
)
from springbridge.classes.entities import Tier
from springbridge.classes.invariants import Invariants
from springbridge.classes.retry_times import after_wait
from springbridge.classes.slots.endpoint_slots import EndpointSlots, Running
from springbridge.classes.slots.fair_queue import FairQueue
from springbridge.classes.slots.preemption import (
    choose_victim,
    preemptible_below,
    preempts_before_late,
)
from springbridge.hashing import owner

INVARIANT_TOP_TIER = "top tier refused last"
INVARIANT_LAST_SLOT = "last slot stays preemptible"
INVARIANT_TIER_ORDER = "preemption goes downward"

# Prefix of the key whose hash selects the scheduling node. All nodes of a fleet must use the same.
ROLE_PREFIX = "engine/"
# Age from which a slot is freed if its node's inventory doesn't list it. Longer than the second
# between two inventories, so that one written before the grant arrived frees nothing.
INVENTORY_LAG_S = 2.0


def scheduling_node(endpoint: str, nodes: Iterable[str]) -> str | None:
    """Return the live node that schedules an endpoint, or None if there are no nodes.

    Rendezvous hashing selects the same node everywhere, so nodes with the same membership view
    agree without a message.
    """
    return owner(ROLE_PREFIX + endpoint, nodes)


class EndpointScheduler:
    """Queue and slots of one endpoint.

    Attributes:
      endpoint: Name of the endpoint.
      queue: The slot requests that wait.
      slots: The slots, and the estimates learnt about them.
      running: Alias of slots.running, the slot requests that hold a slot.
      limits: Alias of slots.limits.
      health: Alias of slots.health.
    """

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
        self._clock = clock
        self._invariants = invariants

    def request_slot(self, slot_request: SlotRequest) -> list[Decision]:
        """Grant, queue or refuse a slot request; return this and all decisions that follow from it.

        A repeated slot request gets the decision that is in force.
        """
        now_s = self._clock()
        self.limits.set_target(
            slot_request.tier, slot_request.request_class, slot_request.between_s
        )
        if slot_request.slot_request_id in self.running:
            return [self._grant(slot_request)]
        if slot_request.slot_request_id in self.queue:
            return [
                Queued(
                    slot_request.slot_request_id,
                    slot_request.node,
                    self.slots.queued_wait_s(slot_request, now_s),
                )
            ]
        if slot_request.tier is not Tier.URGENT and self.slots.share.is_overloaded(now_s):
            return [self._decide_under_overload(slot_request, now_s)]
        self.queue.push(slot_request, self.slots.tokens(slot_request), now_s)
        decisions = list(self._grant_free_slots(now_s))
        if slot_request.slot_request_id in self.queue:
            decisions += self._place_waiting(slot_request, now_s)
        if slot_request.slot_request_id in self.queue:
            decisions.append(
                Queued(
                    slot_request.slot_request_id,
                    slot_request.node,
                    self.slots.queued_wait_s(slot_request, now_s),
                )
            )
        return decisions

    def hold(self, slot_request: SlotRequest) -> None:
        """Register a slot that the endpoint's former scheduler granted."""
        if slot_request.slot_request_id not in self.running:
            self.slots.hold(slot_request, self._clock())

    def release(self, release: Release) -> list[Decision]:
        """Free a slot, learn from how it was used and grant it to the next slot request."""
        now_s = self._clock()
        running = self.running.get(release.slot_request_id)
        if running is None:
            return self._withdraw(release.slot_request_id, now_s)
        self.slots.learn_latency(running, release.sample, now_s)
        self.slots.free(release.slot_request_id)
        self.slots.learn_outcome(running, release, now_s)
        return list(self._grant_free_slots(now_s))

    def sample(self, sample: Sample) -> None:
        """Update the limits with the latencies of a slot that is still in use."""
        running = self.running.get(sample.slot_request_id)
        if running is not None:
            self.slots.learn_latency(running, sample, self._clock())

    def drop_node(self, node: str) -> list[Decision]:
        """Drop the slot requests and slots of an entry node that has left or failed."""
        for slot_request in [
            slot_request for slot_request in self.queue.waiting() if slot_request.node == node
        ]:
            self.queue.discard(slot_request.slot_request_id)
        for running in [run for run in self.running.values() if run.slot_request.node == node]:
            self.slots.free(running.slot_request.slot_request_id)
        return list(self._grant_free_slots(self._clock()))

    def take_inventory(self, inventory: Inventory) -> list[Decision]:
        """Free the slots that a node's inventory doesn't list, because their releases were lost."""
        now_s = self._clock()
        kept = set(inventory.slot_request_ids)
        lost = [
            slot_request_id
            for slot_request_id, run in self.running.items()
            if run.slot_request.node == inventory.node
            and slot_request_id not in kept
            and now_s - run.since_s > INVENTORY_LAG_S
        ]
        for slot_request_id in lost:
            self.slots.free(slot_request_id)
        return list(self._grant_free_slots(now_s))

    def tick(self) -> list[Decision]:
        """Grant slots that became usable, refuse expired slot requests, preempt for late ones."""
        if not len(self.queue):
            return []
        now_s = self._clock()
        decisions: list[Decision] = list(self._grant_free_slots(now_s))
        for slot_request in self.queue.expired(now_s):
            if slot_request.slot_request_id in self.queue:
                decisions += self._give_up(slot_request, now_s)
        for slot_request in self.queue.late(now_s):
            preemption = self._preempt_for(slot_request)
            if preemption is not None:
                decisions.append(preemption)
        return decisions

    def nodes(self) -> set[str]:
        """Return the entry nodes with slot requests or slots at this endpoint."""
        slot_requests = [run.slot_request for run in self.running.values()] + self.queue.waiting()
        return {slot_request.node for slot_request in slot_requests}

    def slot_request_ids(self) -> set[str]:
        """Return the ids of all slot requests that wait or hold a slot."""
        return set(self.running) | {
            slot_request.slot_request_id for slot_request in self.queue.waiting()
        }

    # Slot requests that found no free slot.

    def _place_waiting(self, slot_request: SlotRequest, now_s: float) -> Iterator[Decision]:
        """Preempt for a waiting slot request, or refuse it if its predicted wait is too long."""
        wait_s = self.slots.queued_wait_s(slot_request, now_s)
        too_long = wait_s > slot_request.max_wait_s
        if too_long or (
            preempts_before_late(slot_request, wait_s)
            and self.slots.is_one_short(slot_request.tier, now_s)
        ):
            preemption = self._preempt_for(slot_request)
            if preemption is not None:
                yield preemption
                return
        if too_long:
            yield from self._give_up(slot_request, now_s)

    def _preempt_for(self, slot_request: SlotRequest) -> Preemption | None:
        """Preempt running work for a slot request; return None if there is none to preempt."""
        requests_ahead = self.queue.load_ahead(slot_request.tier)
        victim = choose_victim(self.running.values(), slot_request.tier, requests_ahead)
        if victim is None:
            return None
        self._invariants.check(
            INVARIANT_TIER_ORDER, victim.slot_request.tier > slot_request.tier, self.endpoint
        )
        return _preempt(victim)

    def _give_up(self, slot_request: SlotRequest, now_s: float) -> Iterator[Decision]:
        """Refuse a waiting slot request; for one of the top tier, clear the lower tiers first."""
        if slot_request.tier is Tier.URGENT:
            self.slots.share.note_top_tier_refusal(now_s)
            yield from self._refuse_below(Tier.URGENT)
            yield from self._preempt_below(Tier.URGENT)
            self._check_top_tier()
        yield self._refuse(slot_request)

    def _refuse_below(self, tier: Tier) -> Iterator[Refusal]:
        """Refuse all waiting slot requests of lower tiers, the lowest first."""
        for lower in self.queue.below(tier):
            yield self._refuse(lower)

    def _preempt_below(self, tier: Tier) -> Iterator[Preemption]:
        """Preempt all preemptible work of lower tiers."""
        for run in preemptible_below(self.running.values(), tier):
            yield _preempt(run)

    def _refuse(self, slot_request: SlotRequest) -> Refusal:
        self.queue.discard(slot_request.slot_request_id)
        wait_s = self.slots.predicted_wait_s(slot_request.tier, self._clock())
        return Refusal(slot_request.slot_request_id, slot_request.node, after_wait(wait_s))

    def _decide_under_overload(self, slot_request: SlotRequest, now_s: float) -> Decision:
        """Grant a lower-tier request the extra slot, or refuse it at once since it may not wait."""
        suspended = self.slots.for_tier(slot_request.tier, now_s) == 0
        if suspended or not self.slots.share.claim(
            slot_request.slot_request_id, slot_request.request_class, now_s
        ):
            return self._refuse(slot_request)
        self.slots.hold(replace(slot_request, preemptible=False), now_s)
        return self._grant(slot_request)

    def _check_top_tier(self) -> None:
        """Assert that no lower-tier slot request waits and no lower-tier work can be preempted."""
        waiting = self.queue.below(Tier.URGENT)
        still_preemptible = preemptible_below(self.running.values(), Tier.URGENT)
        holds = not waiting and not still_preemptible
        self._invariants.check(INVARIANT_TOP_TIER, holds, self.endpoint)

    # Granting slots.

    def _grant_free_slots(self, now_s: float) -> Iterator[Grant]:
        """Grant free slots in fair order, skipping tiers whose next slot request doesn't fit."""
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
        """Return the tier to serve next, leaving out blocked ones (next request doesn't fit)."""
        tier = self.queue.next_tier()
        if tier is None or tier not in blocked:
            return tier
        others = (lower for lower in Tier if lower not in blocked and self.queue.peek(lower))
        return next(others, None)

    def _start(self, slot_request: SlotRequest, now_s: float) -> Grant:
        self.slots.hold(slot_request, now_s)
        if slot_request.is_unpreemptible_lower_tier:
            self._check_last_slot()
        return self._grant(slot_request)

    def _grant(self, slot_request: SlotRequest) -> Grant:
        used_share = self.slots.used() / max(
            1, self.slots.for_tier(slot_request.tier, self._clock())
        )
        return Grant(slot_request.slot_request_id, slot_request.node, self._me, used_share)

    def _check_last_slot(self) -> None:
        """Assert that unpreemptible lower-tier work leaves a slot to the top tier."""
        holds = self.slots.unpreemptible_lower_tier_used() < self.slots.slots_with_one_reserved()
        self._invariants.check(INVARIANT_LAST_SLOT, holds, self.endpoint)

    def _withdraw(self, slot_request_id: str, now_s: float) -> list[Decision]:
        """Drop a slot request that still waits; do nothing if it is unknown."""
        if self.queue.discard(slot_request_id) is None:
            return []
        return list(self._grant_free_slots(now_s))


def _preempt(run: Running) -> Preemption:
    """Mark running work as stopping and return the message that tells its node to stop it."""
    run.stopping = True
    return Preemption(run.slot_request.slot_request_id, run.slot_request.node)
