"""Records for how long this process stood still: frozen, stopped, or short of processor time.

What an instance finds out about others after it stood still may have changed meanwhile, so the log
lines of such findings say for how long it did.
"""

from collections import deque

from springbridge_node import clock

# Seconds by which a beat is late before the process counts as having stood still. Far above the
# usual delay of a busy event loop.
MIN_STALL_S = 0.1
# Stalls that are kept.
MAX_STALLS = 16


class StallWatch:
    """The latest stalls of this process."""

    def __init__(self, interval_s: float) -> None:
        """Start without stalls.

        Args:
          interval_s: Seconds between two beats.
        """
        self._interval_s = interval_s
        self._last_beat_s = clock.now_s()
        self._stalls: deque[tuple[float, float]] = deque(maxlen=MAX_STALLS)

    def beat(self) -> float:
        """Record that the process runs; return by how many seconds this beat was late."""
        now_s, late_s = clock.now_s(), self._late_s()
        self._last_beat_s = now_s
        if late_s > MIN_STALL_S:
            self._stalls.append((now_s, late_s))
        return late_s

    def longest_since(self, since_s: float) -> float:
        """Return the longest stall that ended after a moment, in seconds; 0 if there was none.

        Args:
          since_s: The moment, on the clock of `clock.now_s`.
        """
        late_s = self._late_s()
        current_s = late_s if late_s > MIN_STALL_S else 0.0
        return max([current_s, *(long_s for end_s, long_s in self._stalls if end_s > since_s)])

    def _late_s(self) -> float:
        """Return for how many seconds the next beat is overdue, 0 if it is not."""
        return max(0.0, clock.now_s() - self._last_beat_s - self._interval_s)
