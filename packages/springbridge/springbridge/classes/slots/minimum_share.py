"""The slot that keeps lower tiers moving while the top tier alone overloads an endpoint.

While top-tier requests are refused, nothing of a lower tier may wait. A lower-tier ask is then
either refused at once or given one slot beyond the learnt limit; that slot goes to the class that
has been without it longest. It takes nothing from the top tier's slots and its work is not
preempted, so every class gets through in the end.
"""

from dataclasses import dataclass, field

PRESSURE_S = 2.0
INTEREST_S = 10.0


@dataclass
class MinimumShare:
    """Who may use the extra slot of one endpoint."""

    pressed_until_s: float = 0.0
    holder: str | None = None
    served_s: dict[str, float] = field(default_factory=dict)
    asked_s: dict[str, float] = field(default_factory=dict)

    def press(self, now_s: float) -> None:
        """Note that a top-tier ask is being refused."""
        self.pressed_until_s = now_s + PRESSURE_S

    def pressed(self, now_s: float) -> bool:
        """Return whether top-tier asks were refused just now."""
        return now_s < self.pressed_until_s

    def claim(self, ask_id: str, request_class: str, now_s: float) -> bool:
        """Give the extra slot to an ask of a lower tier, if it is free and the class's turn."""
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
