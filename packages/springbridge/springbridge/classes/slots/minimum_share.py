"""Minimum share: one extra slot for lower tiers while the top tier overloads an endpoint.

Decides whether a lower-tier slot request gets the one slot beyond the learnt limit.
Inputs: the times, in seconds, at which top-tier slot requests were refused and at which each class
requested and got the extra slot.
Result: the slot, for the class that has been without it longest, or a refusal at once.
While top-tier requests are refused no lower-tier request may wait, yet no class may starve. The
extra slot takes none from the top tier, and work in it is not preempted.
"""

from dataclasses import dataclass, field

# Time after a refused top-tier slot request in which lower-tier ones may not wait.
OVERLOAD_S = 2.0
# Age up to which a class's last request counts when the slot goes to the class that has been
# without it longest. A class that requests less often doesn't keep the slot from the others.
RECENT_REQUEST_S = 10.0


@dataclass
class MinimumShare:
    """The extra slot of one endpoint.

    Attributes:
      holder: Id of the slot request that has it.
      served_s: When each class last got it.
      requested_s: When each class last requested it.
    """

    overloaded_until_s: float = 0.0
    holder: str | None = None
    served_s: dict[str, float] = field(default_factory=dict)
    requested_s: dict[str, float] = field(default_factory=dict)

    def note_top_tier_refusal(self, now_s: float) -> None:
        """Record that a top-tier slot request is refused now."""
        self.overloaded_until_s = now_s + OVERLOAD_S

    def is_overloaded(self, now_s: float) -> bool:
        """Return whether a top-tier slot request was refused less than OVERLOAD_S ago."""
        return now_s < self.overloaded_until_s

    def claim(self, slot_request_id: str, request_class: str, now_s: float) -> bool:
        """Give a lower-tier request the extra slot if it is free and it is the class's turn."""
        self.requested_s[request_class] = now_s
        if self.holder is not None or not self._is_turn(request_class, now_s):
            return False
        self.holder = slot_request_id
        self.served_s[request_class] = now_s
        return True

    def release(self, slot_request_id: str) -> None:
        """Free the extra slot if the slot request holds it."""
        if self.holder == slot_request_id:
            self.holder = None

    def _is_turn(self, request_class: str, now_s: float) -> bool:
        """Return whether no other class with a recent request has been without the slot longer."""
        recent = [
            name
            for name, requested_s in self.requested_s.items()
            if now_s - requested_s <= RECENT_REQUEST_S
        ]
        longest = min(self.served_s.get(name, 0.0) for name in recent)
        return self.served_s.get(request_class, 0.0) <= longest
