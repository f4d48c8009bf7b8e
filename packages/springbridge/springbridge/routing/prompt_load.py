"""Prompt load: the work of short or long prompts at an endpoint, as known from load notices.

Owns the number of running requests of one prompt size at an endpoint, and an exponential average of
the rate of their unread prompt tokens. Each endpoint has one such record for short prompts and one
for long ones; reserved_endpoints.py divides a service's endpoints by them. What counts as short is
also decided here.
"""

import math
from dataclasses import dataclass

# Longest prompt in tokens that counts as short. An endpoint reads it in at most two chunks of some
# 2,000 tokens, too few to delay a running stream for long.
SHORT_PROMPT_TOKENS = 3000
# Time constant of the average, in seconds.
AVERAGING_TIME_S = 5.0


def is_short(prompt_tokens: int) -> bool:
    """Return whether a prompt of this length counts as short."""
    return prompt_tokens <= SHORT_PROMPT_TOKENS


@dataclass
class PromptLoad:
    """Load of requests of one prompt size at one endpoint. Times are on the monotonic clock.

    Attributes:
      running: Number of requests that have started and not ended.
      recent_tokens: Unread prompt tokens of recent requests, weighted by their age at updated_s.
      updated_s: When the last request started.
    """

    running: int = 0
    recent_tokens: float = 0.0
    updated_s: float = 0.0

    def record_start(self, unread_tokens: int, now_s: float) -> None:
        """Add a request whose prompt has this number of tokens to read."""
        self.recent_tokens = self._weighted_tokens(now_s) + unread_tokens
        self.updated_s = now_s
        self.running += 1

    def record_end(self) -> None:
        """Record that a request has ended; its tokens stay in the average."""
        self.running -= 1

    def tokens_per_s(self, now_s: float) -> float:
        """Return the average rate at which the endpoint gets prompt tokens to read."""
        return self._weighted_tokens(now_s) / AVERAGING_TIME_S

    def _weighted_tokens(self, now_s: float) -> float:
        """Return the recent tokens, weighted by their age at now_s."""
        age_s = max(0.0, now_s - self.updated_s)
        return self.recent_tokens * math.exp(-age_s / AVERAGING_TIME_S)
