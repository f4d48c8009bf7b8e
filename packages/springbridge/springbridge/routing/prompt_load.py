"""How much work short or long prompts bring to an endpoint, as this instance has heard of it.

Owns the requests of one size that run at an endpoint, and an exponential average of the prompt
tokens that they give it to read. Each endpoint has one such record for short prompts and one for
long ones; reserved_endpoints.py divides a service's endpoints between the sizes by them. What
counts as short is decided here.
"""

import math
from dataclasses import dataclass

# Longest prompt in tokens that counts as short. An endpoint reads one in two pieces of some 2,000
# tokens at most, too few to hold up a running stream for long.
SHORT_PROMPT_TOKENS = 3000
# Time constant of the average, in seconds.
AVERAGE_S = 5.0


def is_short(prompt_tokens: int) -> bool:
    """Return whether a prompt of so many tokens counts as short."""
    return prompt_tokens <= SHORT_PROMPT_TOKENS


@dataclass
class PromptLoad:
    """Requests of one size at one endpoint. Moments are seconds of the monotonic clock.

    Attributes:
      running: Requests that have started and not ended.
      recent_tokens: Prompt tokens that requests brought to read, weighted by age at updated_s.
      updated_s: When the last request started.
    """

    running: int = 0
    recent_tokens: float = 0.0
    updated_s: float = 0.0

    def started(self, unread_tokens: int, now_s: float) -> None:
        """Add a request that brings so many tokens to read."""
        self.recent_tokens = self._weighted_tokens(now_s) + unread_tokens
        self.updated_s = now_s
        self.running += 1

    def ended(self) -> None:
        """Note that a request has ended; the tokens that it brought stay in the average."""
        self.running -= 1

    def tokens_per_s(self, now_s: float) -> float:
        """Return how many prompt tokens a second the endpoint is given to read."""
        return self._weighted_tokens(now_s) / AVERAGE_S

    def _weighted_tokens(self, now_s: float) -> float:
        """Return the recent tokens, weighted by their age now."""
        age_s = max(0.0, now_s - self.updated_s)
        return self.recent_tokens * math.exp(-age_s / AVERAGE_S)
