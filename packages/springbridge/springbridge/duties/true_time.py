"""The time of day without the jumps of an instance's clock.

Maintains the offset between a monotonic clock and the time of day, in seconds since the start of
1970, from readings of both clocks and from the time that the lease holder distributes.

Usage is counted by windows of this true time. An instance's time of day is nearly right but may
jump by seconds and jump back, so jumps are ignored. An instance that starts during a jump has a
wrong time from the beginning; therefore the holder's time takes precedence. Each holder keeps the
time of the first holder, which is stored with the lease relative to the store's monotonic clock.
"""

# Change of the offset in seconds from which it counts as a jump. Synchronised clocks drift by far
# less between two readings.
JUMP_S = 0.1
# Seconds by which the time in use may differ from the holder's time before it is replaced.
HOLDER_TOLERANCE_S = 0.05


class TrueTime:
    """The time of day, as a monotonic clock plus an offset."""

    def __init__(self, steady_s: float, wall_s: float) -> None:
        """Set the offset from a reading of the monotonic clock and of the time of day."""
        self._offset_s = wall_s - steady_s

    def update(self, steady_s: float, wall_s: float) -> None:
        """Update the offset from a reading of both clocks, unless the time of day has jumped."""
        offset_s = wall_s - steady_s
        if abs(offset_s - self._offset_s) < JUMP_S:
            self._offset_s = offset_s

    def follow_holder(self, steady_s: float, true_s: float) -> None:
        """Adopt the lease holder's time if it differs by more than the tolerance.

        Args:
          steady_s: Time on this instance's monotonic clock.
          true_s: The holder's time of day at that moment.
        """
        if abs(self.at(steady_s) - true_s) > HOLDER_TOLERANCE_S:
            self._offset_s = true_s - steady_s

    def at(self, steady_s: float) -> float:
        """Return the time of day at a time of the monotonic clock."""
        return steady_s + self._offset_s
