"""Fair order: which waiting ask of an endpoint is served next?

Decided: the next ask. Inputs: tier, customer, class and weight of the asks, their expected work in
tokens, and how often each tier was passed over. Outcome: one ask, or none. Tiers are strict; inside
a tier, customers and classes share by weight (start-time fair queueing: a flow's next start tag
grows by cost over weight). A lower tier that was passed over MIN_SHARE_GRANTS times in a row is
owed one grant. Why: the urgent go first, a customer cannot crowd out the others of its tier, and
every class is served in the end. No measurement set the constants.
"""

import heapq
from dataclasses import dataclass, field

from springbridge.classes.decisions import Ask
from springbridge.classes.entities import Tier

# Grants to higher tiers after which a lower tier is owed one, so it gets at least one in 21.
MIN_SHARE_GRANTS = 20
# Share of its latency target after which a waiting ask counts as late. It then preempts at every
# endpoint and is served by one that is too slow for its tier.
LATE_TARGET_SHARE = 0.5
# Idle flows are dropped once there are more flows than this beside two for each entry of the heap,
# so that the clean-up costs little on average and memory stays bounded.
IDLE_FLOWS = 16


@dataclass(order=True)
class Entry:
    """An ask in the queue, ordered by its start tag and then by arrival.

    Attributes:
      tag: Start tag in expected tokens over weight.
      number: Count of arrivals.
      expires_s: When its wait ends.
      late_s: When it counts as late.
      gone: Whether it was removed; the heap drops it later.
    """

    tag: float
    number: int
    ask: Ask = field(compare=False)
    expires_s: float = field(compare=False)
    late_s: float = field(compare=False)
    gone: bool = field(default=False, compare=False)


class TierQueue:
    """Start-time fair queue of one tier; a flow is a customer and a class."""

    def __init__(self) -> None:
        self._heap: list[Entry] = []
        self._finish: dict[tuple[str, str], float] = {}
        self._virtual = 0.0

    def push(self, ask: Ask, number: int, cost: float, now_s: float) -> Entry:
        """Queue an ask whose expected work is cost, in tokens, and return its entry."""
        flow = (ask.customer, ask.request_class)
        tag = max(self._virtual, self._finish.get(flow, 0.0))
        self._finish[flow] = tag + cost / ask.weight
        expires_s = now_s + ask.max_wait_s
        late_s = now_s + LATE_TARGET_SHARE * ask.target_s
        entry = Entry(tag, number, ask, expires_s, late_s)
        heapq.heappush(self._heap, entry)
        return entry

    def peek(self) -> Entry | None:
        """Return the entry that is next, or None."""
        while self._heap and self._heap[0].gone:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def pop(self) -> Entry:
        """Remove and return the next entry."""
        entry = heapq.heappop(self._heap)
        entry.gone = True
        self._virtual = max(self._virtual, entry.tag)
        self._forget_idle_flows()
        return entry

    def _forget_idle_flows(self) -> None:
        """Drop flows whose tag lies in the past, once there are many; a new ask makes them anew."""
        if len(self._finish) <= 2 * len(self._heap) + IDLE_FLOWS:
            return
        self._finish = {flow: tag for flow, tag in self._finish.items() if tag > self._virtual}


class FairQueue:
    """All waiting asks of one endpoint."""

    def __init__(self) -> None:
        self._tiers = {tier: TierQueue() for tier in Tier}
        self._passed = dict.fromkeys(Tier, 0)
        self._entries: dict[str, Entry] = {}
        self._load = dict.fromkeys(Tier, 0.0)
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, ask_id: str) -> bool:
        return ask_id in self._entries

    def push(self, ask: Ask, cost: float, now_s: float) -> None:
        """Queue an ask whose expected work is cost, in tokens."""
        self._pushed += 1
        entry = self._tiers[ask.tier].push(ask, self._pushed, cost, now_s)
        self._entries[ask.ask_id] = entry
        self._load[ask.tier] += 1.0 / ask.fan

    def discard(self, ask_id: str) -> Ask | None:
        """Remove an ask from wherever it is and return it, or None if it is not queued."""
        entry = self._entries.pop(ask_id, None)
        if entry is None:
            return None
        entry.gone = True
        self._load[entry.ask.tier] -= 1.0 / entry.ask.fan
        return entry.ask

    def next_tier(self) -> Tier | None:
        """Return the tier that is served next, or None if nothing waits."""
        waiting = [tier for tier in Tier if self._tiers[tier].peek() is not None]
        if not waiting:
            return None
        owed = [tier for tier in waiting[1:] if self._passed[tier] >= MIN_SHARE_GRANTS]
        return max(owed, key=lambda tier: self._passed[tier], default=waiting[0])

    def peek(self, tier: Tier) -> Ask | None:
        """Return the ask of a tier that is next, or None."""
        entry = self._tiers[tier].peek()
        return entry.ask if entry is not None else None

    def pop(self, tier: Tier) -> Ask:
        """Remove and return the next ask of a tier, and note which tiers were passed over."""
        entry = self._tiers[tier].pop()
        del self._entries[entry.ask.ask_id]
        self._load[tier] -= 1.0 / entry.ask.fan
        self._passed[tier] = 0
        for lower in Tier:
            if lower > tier and self._tiers[lower].peek() is not None:
                self._passed[lower] += 1
        return entry.ask

    def load_ahead(self, tier: Tier) -> float:
        """Return how many asks a new ask of the tier would find ahead of it.

        An ask that waits at several endpoints counts for its part at each.
        """
        return sum(self._load[other] for other in Tier if other <= tier)

    def waiting(self) -> list[Ask]:
        """Return the waiting asks."""
        return [entry.ask for entry in self._entries.values()]

    def below(self, tier: Tier) -> list[Ask]:
        """Return the waiting asks of lower tiers, the lowest tier first."""
        asks = [entry.ask for entry in self._entries.values() if entry.ask.tier > tier]
        return sorted(asks, key=lambda ask: -ask.tier)

    def expired(self, now_s: float) -> list[Ask]:
        """Return the asks whose wait has ended."""
        return [entry.ask for entry in self._entries.values() if entry.expires_s <= now_s]

    def is_late(self, tier: Tier, now_s: float) -> bool:
        """Return whether the next ask of a tier used up LATE_TARGET_SHARE of its target."""
        entry = self._tiers[tier].peek()
        return entry is not None and entry.late_s <= now_s

    def late(self, now_s: float) -> list[Ask]:
        """Return the asks that used up LATE_TARGET_SHARE of their latency target, urgent first."""
        asks = [entry.ask for entry in self._entries.values() if entry.late_s <= now_s]
        return sorted(asks, key=lambda ask: ask.tier)
