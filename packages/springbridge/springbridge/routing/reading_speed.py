"""How fast an endpoint reads prompts, learnt from what it read while it had more to read.

What the operators say of an endpoint does not name its speed, endpoints of one service differ, and
what runs beside a prompt slows its reading. Only tokens that were read while there was a backlog
count: an endpoint that waits for work says nothing of its speed.
"""

USUAL_TOKENS_PER_S = 40_000.0
LEAST_TOKENS_PER_S = 4_000.0
MOST_TOKENS_PER_S = 400_000.0
# About half a second of reading, so that one prompt's fixed costs weigh little.
LEAST_SAMPLE_TOKENS = 20_000
NEW_SHARE = 0.5


class ReadingSpeed:
    """A running estimate for one endpoint.

    Attributes:
      tokens_per_s: The estimate.
    """

    def __init__(self) -> None:
        """Begin with what is usual."""
        self.tokens_per_s = USUAL_TOKENS_PER_S
        self._since_s: float | None = None
        self._tokens = 0

    def has_work(self, now_s: float) -> None:
        """Note that there is something to read; a sample begins unless one is being taken."""
        if self._since_s is None:
            self._begin(now_s)

    def was_read(self, tokens: int, now_s: float) -> None:
        """Note that a prompt was read."""
        if self._since_s is None:
            return
        self._tokens += tokens
        if self._tokens >= LEAST_SAMPLE_TOKENS and now_s > self._since_s:
            self._take(self._tokens / (now_s - self._since_s))
            self._begin(now_s)

    def is_idle(self) -> None:
        """Note that there is nothing left to read."""
        self._since_s = None

    def _begin(self, now_s: float) -> None:
        self._since_s = now_s
        self._tokens = 0

    def _take(self, sample: float) -> None:
        """Take a sample into the estimate."""
        bounded = min(MOST_TOKENS_PER_S, max(LEAST_TOKENS_PER_S, sample))
        self.tokens_per_s += NEW_SHARE * (bounded - self.tokens_per_s)
