"""Records the arrivals at an endpoint that announces limits, and checks them by the users' rule.

The rule: from PROPAGATION_S after an endpoint first announced a limit, any span of WINDOW_S has at
most RATIO times the requests that the limit allows, and EXTRA_REQUESTS more. An instance that had a
fault shortly before is excused.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

# Span of the rule, the multiple of the rate that it allows, and the requests allowed in addition.
WINDOW_S = 4.0
RATIO, EXTRA_REQUESTS = 1.5, 5.0
# Time from the first announcement in which instances may not know of a limit, and the time for
# which a limit replaced before a span still counts in it.
PROPAGATION_S, OLD_RATE_COUNTS_S = 3.0, 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived at the endpoint.

    Attributes:
      is_excused: Whether its instance or the connection to the endpoint had a fault shortly before.
    """

    at_s: float
    is_excused: bool


@dataclass(frozen=True, slots=True)
class AnnouncedRate:
    """A limit in requests per second announced from a time on; None for no limit."""

    since_s: float
    per_s: float | None


@dataclass
class RateRecord:
    """One incarnation of an endpoint: its announced limits and its arrivals.

    Attributes:
      first_named_s: When an answer first announced a limit; infinite before.
    """

    named: list[AnnouncedRate] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    first_named_s: float = float("inf")

    def per_s(self) -> float | None:
        """Return the current limit in requests per second, None if there is none."""
        return self.named[-1].per_s if self.named else None

    def answered(self, now_s: float) -> float | None:
        """Return the limit to announce in an answer that is sent now."""
        if self.per_s() is not None:
            self.first_named_s = min(self.first_named_s, now_s)
        return self.per_s()

    def max_excess(self) -> float:
        """Return the most requests above the limit in any span; negative if none is exceeded."""
        at_s = [
            each.at_s
            for each in self.arrivals
            if not each.is_excused and each.at_s >= self.first_named_s + PROPAGATION_S
        ]
        worst = -EXTRA_REQUESTS
        for last, end_s in enumerate(at_s):
            allowed = self._allowed(end_s - WINDOW_S, end_s)
            if allowed is not None:
                worst = max(worst, last + 1 - bisect_left(at_s, end_s - WINDOW_S) - allowed)
        return worst

    def _allowed(self, begin_s: float, end_s: float) -> float | None:
        """Return the requests allowed in a span; None if a part of it had no limit."""
        if begin_s < self.named[0].since_s:
            return None
        ends = [each.since_s for each in self.named[1:]] + [float("inf")]
        rates = [
            each.per_s
            for each, until_s in zip(self.named, ends, strict=True)
            if each.since_s <= end_s and until_s >= begin_s - OLD_RATE_COUNTS_S
        ]
        return None if None in rates else RATIO * max(rates) * WINDOW_S + EXTRA_REQUESTS
