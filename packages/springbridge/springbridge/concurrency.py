"""How many requests an engine takes at a time, learnt from the latencies that entry nodes see.

Additive increase and multiplicative decrease: the limit grows by one slot per round of good
samples at a full engine and shrinks by a tenth, at most once per COOL_S, when a latency comes
near its target. Load reports play no part, since they lag.
"""

from dataclasses import dataclass

FIRST_LIMIT = 8.0
MIN_LIMIT = 2.0
MAX_LIMIT = 512.0
DECREASE = 0.9
TARGET_SHARE = 0.85
COOL_S = 0.5
FULL_SHARE = 0.75


@dataclass
class ConcurrencyLimit:
    """The learnt limit of one engine."""

    limit: float = FIRST_LIMIT
    cool_until_s: float = 0.0

    @property
    def slots(self) -> int:
        """Return the limit as a whole number of slots."""
        return int(self.limit)

    def learn(self, now_s: float, pressure: float, in_flight: int) -> None:
        """Take in one latency.

        Args:
          pressure: The latency as a share of its target.
          in_flight: Slots that were in use.
        """
        if pressure > TARGET_SHARE:
            self._decrease(now_s)
        elif in_flight >= FULL_SHARE * self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1 / self.limit)

    def _decrease(self, now_s: float) -> None:
        if now_s < self.cool_until_s:
            return
        self.limit = max(MIN_LIMIT, self.limit * DECREASE)
        self.cool_until_s = now_s + COOL_S
