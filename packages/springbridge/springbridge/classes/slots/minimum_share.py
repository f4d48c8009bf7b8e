"""Minimum share: may a lower tier run one request while the top tier overloads an endpoint?

Decided: whether an ask of a lower tier gets the one slot beyond the learnt limit. Inputs: the
times, in seconds, at which top-tier asks were refused and at which each class asked and got the
slot. Outcome: the slot, for the class that has been without it longest, or a refusal at once. Why:
while top-tier requests are refused nothing of a lower tier may wait, and yet every class has to get
through in the end. The slot takes nothing from the top tier's, and its work is not preempted. No
measurement set the constants.
"""

from dataclasses import dataclass, field

# How long after a refused top-tier ask lower tiers may not wait.
PRESSURE_S = 2.0
# How long a class that asked counts when the slot goes to the class that lacked it longest. A class
# that asks less often does not hold the slot back from the others.
INTEREST_S = 10.0


@dataclass
class MinimumShare:
    """The extra slot of one endpoint.

    Attributes:
      holder: Id of the ask that has it.
      served_s: When each class last got it.
      asked_s: When each class last asked for it.
    """

    pressed_until_s: float = 0.0
    holder: str | None = None
    served_s: dict[str, float] = field(default_factory=dict)
    asked_s: dict[str, float] = field(default_factory=dict)

    def press(self, now_s: float) -> None:
        """Note that a top-tier ask is refused now."""
        self.pressed_until_s = now_s + PRESSURE_S

    def pressed(self, now_s: float) -> bool:
        """Return whether a top-tier ask was refused less than PRESSURE_S ago."""
        return now_s < self.pressed_until_s

    def claim(self, ask_id: str, request_class: str, now_s: float) -> bool:
        """Give the extra slot to a lower-tier ask if it is free and it is the class's turn."""
        self.asked_s[request_class] = now_s
        if self.holder is not None or not self._is_turn(request_class, now_s):
            return False
        self.holder = ask_id
        self.served_s[request_class] = now_s
        return True

    def release(self, ask_id: str) -> None:
        """Free the extra slot if the ask holds it."""
        if self.holder == ask_id:
            self.holder = None

    def _is_turn(self, request_class: str, now_s: float) -> bool:
        """Return whether no other class that still asks has been without the slot longer."""
        interested = [
            name for name, asked_s in self.asked_s.items() if now_s - asked_s <= INTEREST_S
        ]
        longest = min(self.served_s.get(name, 0.0) for name in interested)
        return self.served_s.get(request_class, 0.0) <= longest
