"""A drawn endpoint: it answers after a while, may name a rate, and records arrivals."""

import asyncio
import random
from bisect import bisect_left
from dataclasses import dataclass, field

from springbridge.rates.statements import StatedRate
from springbridge.routing.records import EndpointEntry
from springbridge_node.gateway.requests.request_codec import Verdict

# Spans of the users' rule, in seconds, and what it allows beyond one and a half times the rate.
WINDOW_S = 4.0
RATIO, BEYOND = 1.5, 5.0
# Seconds from the first answer with a rate in which instances may not know of it, and seconds for
# which what was named before a span still counts in it.
IN_TOUCH_S, STILL_COUNTS_S = 3.0, 0.5


@dataclass(frozen=True)
class Arrival:
    """A request that arrived.

    Attributes:
      is_excused: Whether its instance was restarted, frozen or cut off a moment before.
    """

    at_s: float
    is_excused: bool


@dataclass
class DrawnEndpoint:
    """One endpoint.

    Attributes:
      named: The rates that it named, with when it began to; None where it named none.
      first_named_s: When an answer first named a rate; infinite before.
    """

    entry: EndpointEntry
    rng: random.Random
    longest_work_s: float = 0.4
    arrivals: list[Arrival] = field(default_factory=list)
    named: list[tuple[float, float | None]] = field(default_factory=list)
    first_named_s: float = float("inf")

    def name(self, per_s: float | None) -> None:
        """Name a rate from now on, or none."""
        self.named.append((asyncio.get_running_loop().time(), per_s))

    def per_s(self) -> float | None:
        """Return the rate that is named now."""
        return self.named[-1][1] if self.named else None

    async def answer(self, is_excused: bool) -> Verdict:
        """Take a request and return what the head of its answer says."""
        loop = asyncio.get_running_loop()
        self.arrivals.append(Arrival(loop.time(), is_excused))
        await asyncio.sleep(0.01 + self.rng.random() * self.longest_work_s)
        if self.per_s() is not None:
            self.first_named_s = min(self.first_named_s, loop.time())
        return Verdict("", False, False, StatedRate(self.per_s()))

    def worst_window(self) -> float:
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
        rates = []
        for number, (since_s, per_s) in enumerate(self.named):
            is_last = number + 1 == len(self.named)
            until_s = float("inf") if is_last else self.named[number + 1][0]
            if since_s <= end_s and until_s >= begin_s - STILL_COUNTS_S:
                rates.append(per_s)
        if not rates or None in rates or begin_s < self.named[0][0]:
            return None
        return RATIO * max(rates) * WINDOW_S + BEYOND
