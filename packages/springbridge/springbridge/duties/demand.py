"""How much work callers bring to each service, in prompt tokens a second.

Each instance tells the work that it has sent since its start, which only grows; a receiver adds up
what came on top since the last message of that run. A message that is lost is made good by the
next.
"""

import math
from collections import defaultdict
from collections.abc import Callable

# Prompt tokens that an endpoint reads in the time in which it makes one token of an answer, beside
# the answers to others.
ANSWER_TOKEN_WEIGHT = 10
# Work of a request that tells no tokens, in prompt tokens.
PLAIN_REQUEST_TOKENS = 1000
# Seconds of one sample; shorter than a burst, longer than the pause between two messages.
SAMPLE_S = 2.0
# Seconds for which samples are kept.
KEPT_S = 60.0


def request_work(prompt_tokens: int, answer_tokens: int) -> int:
    """Return the work that a request brings, in prompt tokens."""
    return prompt_tokens + ANSWER_TOKEN_WEIGHT * answer_tokens or PLAIN_REQUEST_TOKENS


class FleetDemand:
    """The work that callers bring to each service, as far as instances told of it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without samples."""
        self._clock = clock
        self._told: dict[tuple[str, str], int] = {}
        self._samples: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self._since_s: dict[str, float] = {}

    def take(self, incarnation: str, service: str, total: int) -> None:
        """Take in the work that a run of an instance has sent to a service since its start."""
        before = self._told.get((incarnation, service), 0)
        if total <= before:
            return
        self._told[(incarnation, service)] = total
        now_s = self._clock()
        self._since_s.setdefault(service, now_s)
        self._samples[service][math.floor(now_s / SAMPLE_S)] += total - before

    def known_for_s(self, service: str) -> float:
        """Return for how many seconds the work for a service has been observed."""
        return self._clock() - self._since_s.get(service, self._clock())

    def peak_per_s(self, service: str, within_s: float) -> float:
        """Return the most work a second in one sample of the last seconds."""
        samples = self._samples.get(service, {})
        first = math.floor((self._clock() - within_s) / SAMPLE_S)
        return max((work for at, work in samples.items() if at >= first), default=0) / SAMPLE_S

    def forget(self) -> None:
        """Drop old samples."""
        first = math.floor((self._clock() - KEPT_S) / SAMPLE_S)
        for samples in self._samples.values():
            for at in [at for at in samples if at < first]:
                del samples[at]

    def forget_runs(self, live: set[str]) -> None:
        """Drop what runs told that are no longer alive."""
        self._told = {key: total for key, total in self._told.items() if key[0] in live}
