"""What an endpoint that names rates got, and whether that was more than the users' rule allows.

The rule: from a few seconds after an endpoint first named a rate it gets in no span of WINDOW_S
more than RATIO times what the rate allows, and BEYOND requests. An instance that was harmed is
excused.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

# Spans of the rule, in seconds, and what it allows beyond one and a half times the rate.
WINDOW_S = 4.0
RATIO, BEYOND = 1.5, 5.0
# Seconds from the first answer with a rate in which instances may not know of it, and seconds for
# which what was named before a span still counts in it.
IN_TOUCH_S, STILL_COUNTS_S = 3.0, 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived.

    Attributes:
      is_excused: Whether its instance, or the way to the endpoint, was harmed a moment before.
    """

    at_s: float
    is_excused: bool


@dataclass(frozen=True, slots=True)
class Named:
    """A rate that is named from a moment on; None for none."""

    since_s: float
    per_s: float | None


@dataclass
class RateRecord:
    """One run of an endpoint: what it named and what arrived.

    Attributes:
      first_named_s: When an answer first named a rate; infinite before.
    """

    named: list[Named] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    first_named_s: float = float("inf")

    def per_s(self) -> float | None:
        """Return the rate that is named now."""
        return self.named[-1].per_s if self.named else None

    def answered(self, now_s: float) -> float | None:
        """Return the rate for the head of an answer that goes out now."""
        if self.per_s() is not None:
            self.first_named_s = min(self.first_named_s, now_s)
        return self.per_s()

    def most_over(self) -> float:
        """Return the most requests over what is allowed in any span; below zero if none is over."""
        at_s = [
            each.at_s
            for each in self.arrivals
            if not each.is_excused and each.at_s >= self.first_named_s + IN_TOUCH_S
        ]
        worst = -BEYOND
        for last, end_s in enumerate(at_s):
            allowed = self._allowed(end_s - WINDOW_S, end_s)
            if allowed is not None:
                worst = max(worst, last + 1 - bisect_left(at_s, end_s - WINDOW_S) - allowed)
        return worst

    def _allowed(self, begin_s: float, end_s: float) -> float | None:
        """Return what a span may have; None if no rate was named in a part of it."""
        if begin_s < self.named[0].since_s:
            return None
        ends = [each.since_s for each in self.named[1:]] + [float("inf")]
        rates = [
            each.per_s
            for each, until_s in zip(self.named, ends, strict=True)
            if each.since_s <= end_s and until_s >= begin_s - STILL_COUNTS_S
        ]
        return None if None in rates else RATIO * max(rates) * WINDOW_S + BEYOND
