"""Running estimates of what is not known in advance: answer lengths and durations."""

from dataclasses import dataclass

QUANTILE_STEP = 0.05


@dataclass
class RunningMean:
    """Exponentially weighted mean; the first value replaces the starting one."""

    value: float
    keep: float = 0.9
    seen: int = 0

    def add(self, sample: float) -> None:
        """Take in one sample."""
        if self.seen == 0:
            self.value = sample
        else:
            self.value = self.keep * self.value + (1 - self.keep) * sample
        self.seen += 1


@dataclass
class RunningQuantile:
    """Running quantile by multiplicative steps (stochastic approximation); constant memory.

    A sample above the estimate raises it by QUANTILE_STEP * share, one below lowers it by
    QUANTILE_STEP * (1 - share), both as a part of the estimate, so that it settles where the
    given share of samples lies below.
    """

    value: float
    share: float = 0.7

    def add(self, sample: float) -> None:
        """Take in one sample."""
        if sample > self.value:
            self.value *= 1 + QUANTILE_STEP * self.share
        else:
            self.value *= 1 - QUANTILE_STEP * (1 - self.share)
