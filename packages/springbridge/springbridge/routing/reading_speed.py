"""Estimate of how fast an endpoint reads prompts, measured while it has a backlog.

Owns a running estimate in tokens per second, which converts a backlog in tokens to a wait in
seconds (overload.py). The operators' configuration does not contain the speed, endpoints of one
service differ, and other running requests slow down the reading of a prompt. Only tokens that are
read during a backlog count: an idle endpoint reveals nothing about its speed.
"""

# Estimate before the first sample, in tokens per second; typical of endpoints with a long backlog.
USUAL_TOKENS_PER_S = 40_000.0
# Lower bound of a sample in tokens per second, a tenth of the usual speed. It limits the error
# caused by late or lost notices.
MIN_TOKENS_PER_S = USUAL_TOKENS_PER_S / 10
# Upper bound of a sample for the same reason, ten times the usual speed.
MAX_TOKENS_PER_S = USUAL_TOKENS_PER_S * 10
# Minimum tokens of a sample, about half a second of reading, so that the fixed cost of a single
# prompt has little weight.
MIN_SAMPLE_TOKENS = 20_000
# Weight of a new sample against the estimate so far. With a half, an endpoint that becomes slow is
# recognized within a few prompts.
SAMPLE_WEIGHT = 0.5


class ReadingSpeed:
    """Running estimate for one endpoint. Times are seconds of the monotonic clock.

    Attributes:
      tokens_per_s: The current estimate.
    """

    def __init__(self) -> None:
        """Start with USUAL_TOKENS_PER_S and no sample."""
        self.tokens_per_s = USUAL_TOKENS_PER_S
        self._since_s: float | None = None
        self._tokens = 0

    def start_sample(self, now_s: float) -> None:
        """Start a sample because a prompt waits to be read, unless one is in progress."""
        if self._since_s is None:
            self._begin_sample(now_s)

    def record_read(self, tokens: int, now_s: float) -> None:
        """Add the tokens of a prompt that has been read to the sample, if one is in progress."""
        if self._since_s is None:
            return
        self._tokens += tokens
        if self._tokens >= MIN_SAMPLE_TOKENS and now_s > self._since_s:
            self._update_estimate(self._tokens / (now_s - self._since_s))
            self._begin_sample(now_s)

    def end_sample(self) -> None:
        """Discard the sample in progress because no prompt is waiting."""
        self._since_s = None

    def _begin_sample(self, now_s: float) -> None:
        """Begin an empty sample."""
        self._since_s = now_s
        self._tokens = 0

    def _update_estimate(self, sample: float) -> None:
        """Include a sample in tokens per second in the estimate."""
        bounded = min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, sample))
        self.tokens_per_s += SAMPLE_WEIGHT * (bounded - self.tokens_per_s)
