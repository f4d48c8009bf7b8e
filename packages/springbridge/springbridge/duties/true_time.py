"""The time of day without the jumps of an instance's clock.

Decided: the offset between a steady clock and the time of day.
Inputs: readings of both clocks; the time that the holder of a duty tells.
Outcome: the time of day in seconds since the start of 1970.
Why: usage is counted by windows of the true time. An instance's time of day is nearly right but may
jump by seconds and jump back, so that a jump is passed over. An instance that starts during a jump
has a wrong time from the beginning: the time that the holder tells goes first. The holder keeps
what the first holder took for true with the lease, by the store's steady clock.
"""

# Seconds by which the offset may differ from the one in use without counting as a jump. Clocks that
# are kept in time drift by far less between two looks.
JUMP_S = 0.1
# Seconds by which the time in use may differ from the time that the holder tells.
TOLD_TOLERANCE_S = 0.05


class TrueTime:
    """The time of day by a steady clock and an offset."""

    def __init__(self, steady_s: float, wall_s: float) -> None:
        """Start with what both clocks say."""
        self._offset_s = wall_s - steady_s

    def look(self, steady_s: float, wall_s: float) -> None:
        """Take in a reading of both clocks, unless the time of day has jumped."""
        offset_s = wall_s - steady_s
        if abs(offset_s - self._offset_s) < JUMP_S:
            self._offset_s = offset_s

    def told(self, steady_s: float, true_s: float) -> None:
        """Take in the time that the holder of the duty tells."""
        if abs(self.at(steady_s) - true_s) > TOLD_TOLERANCE_S:
            self._offset_s = true_s - steady_s

    def at(self, steady_s: float) -> float:
        """Return the time of day at a moment of the steady clock."""
        return steady_s + self._offset_s
