"""Measures the load on each service across the fleet, in prompt tokens a second.

Each instance broadcasts the total work that it has sent since its start, which only grows; a
receiver adds the increase since the last message of that run. The next message makes up for a lost
one.
"""

import math
from collections import defaultdict
from collections.abc import Callable

# Number of prompt tokens that an endpoint processes in the time in which it generates one token of
# an answer, while it also generates answers to other requests.
ANSWER_TOKEN_WEIGHT = 10
# Work of a request without token counts, in prompt tokens.
DEFAULT_REQUEST_TOKENS = 1000
# Length of a sample in seconds; shorter than a burst, longer than the time between two messages.
SAMPLE_S = 2.0
# Seconds for which samples are kept.
KEPT_S = 60.0


def request_work(prompt_tokens: int, answer_tokens: int) -> int:
    """Return the work of a request, in prompt tokens."""
    return prompt_tokens + ANSWER_TOKEN_WEIGHT * answer_tokens or DEFAULT_REQUEST_TOKENS


class FleetDemand:
    """The load on each service, from the totals that instances have reported."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without samples; the clock returns monotonic seconds."""
        self._clock = clock
        self._totals: dict[tuple[str, str], int] = {}
        self._samples: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self._since_s: dict[str, float] = {}

    def record_total(self, incarnation: str, service: str, total: int) -> None:
        """Record the total work that a run of an instance has sent to a service since its start.

        A total that is not above the last one came late or twice and is ignored.

        Args:
          incarnation: Identifies the run.
          service: Name of the service.
          total: Prompt tokens.
        """
        before = self._totals.get((incarnation, service), 0)
        if total <= before:
            return
        self._totals[(incarnation, service)] = total
        now_s = self._clock()
        self._since_s.setdefault(service, now_s)
        self._samples[service][math.floor(now_s / SAMPLE_S)] += total - before

    def known_for_s(self, service: str) -> float:
        """Return for how many seconds the load of a service has been observed; 0 before any."""
        return self._clock() - self._since_s.get(service, self._clock())

    def peak_per_s(self, service: str, within_s: float) -> float:
        """Return the highest load of one sample in the last `within_s` seconds."""
        samples = self._samples.get(service, {})
        first = math.floor((self._clock() - within_s) / SAMPLE_S)
        return max((work for at, work in samples.items() if at >= first), default=0) / SAMPLE_S

    def drop_old_samples(self) -> None:
        """Drop samples older than KEPT_S."""
        first = math.floor((self._clock() - KEPT_S) / SAMPLE_S)
        for samples in self._samples.values():
            for at in [at for at in samples if at < first]:
                del samples[at]

    def forget_runs(self, live: set[str]) -> None:
        """Drop the totals of runs that are no longer alive."""
        self._totals = {key: total for key, total in self._totals.items() if key[0] in live}
