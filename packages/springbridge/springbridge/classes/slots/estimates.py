"""Running estimates of what is not known in advance: answer lengths and durations.

Both take constant memory for each class and endpoint. No measurement set the constants.
"""

from dataclasses import dataclass

# Part of the estimate by which one sample moves a quantile at most. Smaller is calmer and slower to
# follow.
QUANTILE_STEP = 0.05
# Share of samples that lie below the estimated quantile. Above the middle, so that most answers
# take up no more of the endpoint's memory than was expected.
QUANTILE = 0.7
# What the old value keeps of its weight in a mean at each sample: about the last ten count.
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
