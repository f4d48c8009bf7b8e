"""Running estimates of answer lengths and service times, which are not known in advance.

Both take constant memory for each class and endpoint.
"""

from dataclasses import dataclass

# Largest relative change of a quantile estimate by one sample. A smaller value varies less and
# adapts more slowly.
QUANTILE_STEP = 0.05
# Share of samples below the estimated quantile. Above one half, so that most answers take up no
# more of the endpoint's memory than expected.
QUANTILE = 0.7
# Weight of the old value in a mean at each new sample, which so covers about the last ten.
MEAN_KEEP = 0.9


@dataclass
class RunningMean:
    """Exponentially weighted mean; the first sample replaces the starting value."""

    value: float
    sampled: bool = False

    def add(self, sample: float) -> None:
        """Take in one sample."""
        if self.sampled:
            sample = MEAN_KEEP * self.value + (1 - MEAN_KEEP) * sample
        self.value = sample
        self.sampled = True


@dataclass
class RunningQuantile:
    """Running quantile by multiplicative steps (stochastic approximation).

    A sample above the estimate raises it by QUANTILE_STEP * QUANTILE, one below lowers it by
    QUANTILE_STEP * (1 - QUANTILE), both as a part of the estimate, so that it settles where the
    share QUANTILE of the samples lies below.
    """

    value: float

    def add(self, sample: float) -> None:
        """Take in one sample."""
        if sample > self.value:
            self.value *= 1 + QUANTILE_STEP * QUANTILE
        else:
            self.value *= 1 - QUANTILE_STEP * (1 - QUANTILE)
