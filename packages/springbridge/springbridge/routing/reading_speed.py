"""How fast an endpoint reads prompts, learnt while it has a backlog.

Owns a running estimate in tokens a second, by which a backlog in tokens becomes a wait in seconds
(overload.py). The operators' configuration does not name the speed, endpoints of one service
differ, and requests that run beside a prompt slow it down. Only tokens that were read while more
were waiting count: an endpoint that waits for work shows nothing of its speed.
"""

# Estimate before the first sample, in tokens a second. It fitted the logs of a run in which two
# endpoints had a backlog for long.
USUAL_TOKENS_PER_S = 40_000.0
# Lowest sample that counts, in tokens a second; it limits the harm of late or lost notices. A tenth
# of the usual speed.
LEAST_TOKENS_PER_S = USUAL_TOKENS_PER_S / 10
# Highest sample that counts, for the same reason. Ten times the usual speed.
MOST_TOKENS_PER_S = USUAL_TOKENS_PER_S * 10
# Tokens of a sample, about half a second of reading. The fixed cost of a single prompt weighs
# little.
LEAST_SAMPLE_TOKENS = 20_000
# Weight of a new sample against the estimate so far. With a half, an endpoint that turns slow shows
# within a few prompts.
NEW_SHARE = 0.5


class ReadingSpeed:
    """A running estimate for one endpoint. Moments are seconds of the monotonic clock.

    Attributes:
      tokens_per_s: The estimate.
    """

    def __init__(self) -> None:
        """Start with the usual speed."""
        self.tokens_per_s = USUAL_TOKENS_PER_S
        self._since_s: float | None = None
        self._tokens = 0

    def has_work(self, now_s: float) -> None:
        """Note that a prompt waits to be read; a sample begins unless one is being taken."""
        if self._since_s is None:
            self._begin(now_s)

    def was_read(self, tokens: int, now_s: float) -> None:
        """Note that a prompt of so many unread tokens has been read."""
        if self._since_s is None:
            return
        self._tokens += tokens
        if self._tokens >= LEAST_SAMPLE_TOKENS and now_s > self._since_s:
            self._take(self._tokens / (now_s - self._since_s))
            self._begin(now_s)

    def is_idle(self) -> None:
        """Note that no prompt waits, which ends the sample."""
        self._since_s = None

    def _begin(self, now_s: float) -> None:
        """Begin a sample."""
        self._since_s = now_s
        self._tokens = 0

    def _take(self, sample: float) -> None:
        """Take a sample in tokens a second into the estimate."""
        bounded = min(MOST_TOKENS_PER_S, max(LEAST_TOKENS_PER_S, sample))
        self.tokens_per_s += NEW_SHARE * (bounded - self.tokens_per_s)
