"""Fair queue of one endpoint: orders the waiting slot requests by tier, weight and arrival.

Decides which slot request is served next.
Inputs: tier, customer, class and weight of the slot requests, their expected work in tokens, and
how often each tier was passed over.
Result: one slot request, or none.
Tiers have strict priority. Within a tier, flows (a customer and a class) share by weight, by
start-time fair queueing: each request advances its flow's next start tag by cost over weight. A
lower tier that was passed over MIN_SHARE_GRANTS times in a row is owed one grant. So urgent
requests go first, a customer cannot crowd out the others of its tier, and no class starves.
"""

import heapq
from dataclasses import dataclass, field

from springbridge.classes.decisions import SlotRequest
from springbridge.classes.entities import Tier

# Grants to higher tiers after which a lower tier is owed one; it so gets at least one grant in 21.
MIN_SHARE_GRANTS = 20
# Share of its latency target after which a waiting slot request counts as late. It then preempts at
# every endpoint and is served by one that is too slow for its tier.
LATE_TARGET_SHARE = 0.5
# Idle flows are dropped once there are more flows than this plus two per entry of the heap, so that
# the clean-up costs little on average and memory stays bounded.
IDLE_FLOWS = 16


@dataclass(order=True)
class Entry:
    """A slot request in the queue, ordered by its start tag and then by arrival.

    Attributes:
      start_tag: Virtual start time, in expected tokens over weight.
      number: Sequence number of arrival, which breaks ties.
      expires_s: When its wait ends.
      late_s: When it counts as late.
      removed: Whether it was removed from the queue; the heap drops it later.
    """

    start_tag: float
    number: int
    slot_request: SlotRequest = field(compare=False)
    expires_s: float = field(compare=False)
    late_s: float = field(compare=False)
    removed: bool = field(default=False, compare=False)


class TierQueue:
    """Start-time fair queue of one tier; a flow is a customer and a class."""

    def __init__(self) -> None:
        self._heap: list[Entry] = []
        self._finish_tags: dict[tuple[str, str], float] = {}
        self._virtual_time = 0.0

    def push(self, slot_request: SlotRequest, number: int, cost: float, now_s: float) -> Entry:
        """Queue a slot request and return its entry; cost is its expected work in tokens."""
        flow = (slot_request.customer, slot_request.request_class)
        start_tag = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = start_tag + cost / slot_request.weight
        expires_s = now_s + slot_request.max_wait_s
        late_s = now_s + LATE_TARGET_SHARE * slot_request.target_s
        entry = Entry(start_tag, number, slot_request, expires_s, late_s)
        heapq.heappush(self._heap, entry)
        return entry

    def peek(self) -> Entry | None:
        """Return the next entry, or None if the queue is empty."""
        while self._heap and self._heap[0].removed:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def pop(self) -> Entry:
        """Remove and return the next entry, and advance the virtual time to its tag."""
        entry = heapq.heappop(self._heap)
        entry.removed = True
        self._virtual_time = max(self._virtual_time, entry.start_tag)
        self._forget_idle_flows()
        return entry

    def _forget_idle_flows(self) -> None:
        """Drop flows whose finish tag is in the past, once there are many.

        A new slot request of such a flow adds it again.
        """
        if len(self._finish_tags) <= 2 * len(self._heap) + IDLE_FLOWS:
            return
        self._finish_tags = {
            flow: start_tag
            for flow, start_tag in self._finish_tags.items()
            if start_tag > self._virtual_time
        }


class FairQueue:
    """All waiting slot requests of one endpoint."""

    def __init__(self) -> None:
        self._tiers = {tier: TierQueue() for tier in Tier}
        self._passed_over = dict.fromkeys(Tier, 0)
        self._entries: dict[str, Entry] = {}
        self._load = dict.fromkeys(Tier, 0.0)
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, slot_request_id: str) -> bool:
        return slot_request_id in self._entries

    def push(self, slot_request: SlotRequest, cost: float, now_s: float) -> None:
        """Queue a slot request; cost is its expected work in tokens."""
        self._pushed += 1
        entry = self._tiers[slot_request.tier].push(slot_request, self._pushed, cost, now_s)
        self._entries[slot_request.slot_request_id] = entry
        self._load[slot_request.tier] += 1.0 / slot_request.fan

    def discard(self, slot_request_id: str) -> SlotRequest | None:
        """Remove a slot request and return it, or return None if it is not queued."""
        entry = self._entries.pop(slot_request_id, None)
        if entry is None:
            return None
        entry.removed = True
        self._load[entry.slot_request.tier] -= 1.0 / entry.slot_request.fan
        return entry.slot_request

    def next_tier(self) -> Tier | None:
        """Return the tier to serve next, or None if the queue is empty."""
        waiting = [tier for tier in Tier if self._tiers[tier].peek() is not None]
        if not waiting:
            return None
        owed = [tier for tier in waiting[1:] if self._passed_over[tier] >= MIN_SHARE_GRANTS]
        return max(owed, key=lambda tier: self._passed_over[tier], default=waiting[0])

    def peek(self, tier: Tier) -> SlotRequest | None:
        """Return the next slot request of a tier, or None if the tier has none."""
        entry = self._tiers[tier].peek()
        return entry.slot_request if entry is not None else None

    def pop(self, tier: Tier) -> SlotRequest:
        """Remove and return the next slot request of a tier; count lower tiers passed over."""
        entry = self._tiers[tier].pop()
        del self._entries[entry.slot_request.slot_request_id]
        self._load[tier] -= 1.0 / entry.slot_request.fan
        self._passed_over[tier] = 0
        for lower in Tier:
            if lower > tier and self._tiers[lower].peek() is not None:
                self._passed_over[lower] += 1
        return entry.slot_request

    def load_ahead(self, tier: Tier) -> float:
        """Return the number of slot requests ahead of a new one of the tier.

        One that waits at several endpoints counts as a fraction (one over its fan) at each.
        """
        return sum(self._load[other] for other in Tier if other <= tier)

    def waiting(self) -> list[SlotRequest]:
        """Return the waiting slot requests."""
        return [entry.slot_request for entry in self._entries.values()]

    def below(self, tier: Tier) -> list[SlotRequest]:
        """Return the waiting slot requests of lower tiers, the lowest tier first."""
        slot_requests = [
            entry.slot_request for entry in self._entries.values() if entry.slot_request.tier > tier
        ]
        return sorted(slot_requests, key=lambda slot_request: -slot_request.tier)

    def expired(self, now_s: float) -> list[SlotRequest]:
        """Return the slot requests whose wait has ended."""
        return [entry.slot_request for entry in self._entries.values() if entry.expires_s <= now_s]

    def is_late(self, tier: Tier, now_s: float) -> bool:
        """Return whether a tier's next slot request has used up LATE_TARGET_SHARE of its target."""
        entry = self._tiers[tier].peek()
        return entry is not None and entry.late_s <= now_s

    def late(self, now_s: float) -> list[SlotRequest]:
        """Return the slot requests that have used up LATE_TARGET_SHARE, the highest tier first."""
        slot_requests = [
            entry.slot_request for entry in self._entries.values() if entry.late_s <= now_s
        ]
        return sorted(slot_requests, key=lambda slot_request: slot_request.tier)
