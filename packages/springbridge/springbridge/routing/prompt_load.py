"""The work that prompts of one size bring to an endpoint, as this instance has heard of it.

Owns, for one endpoint and either size of prompt, the requests that run there and a running average
of the prompt tokens that it is given to read. reserved_endpoints.py divides a service's endpoints
between short and long prompts by it.
"""

import math
from dataclasses import dataclass

# Longest prompt in tokens that counts as short. Not measured on its own; chosen so that an endpoint
# reads it in less than two of the pieces of some 2,000 tokens in which it reads between the tokens
# of its running streams.
SHORT_PROMPT_TOKENS = 3000
# Seconds over which the average is taken. 8 runs: mean served value 0.766 with 5 s, 0.762 with 2 s.
AVERAGE_S = 5.0


def is_short(prompt_tokens: int) -> bool:
    """Return whether a prompt of so many tokens counts as short."""
    return prompt_tokens <= SHORT_PROMPT_TOKENS


@dataclass
class PromptLoad:
    """Requests of one size at one endpoint. Moments are seconds of the monotonic clock.

    Attributes:
      running: Requests that have started and not ended.
      recent_tokens: Unread prompt tokens of those that started, each weighed less with its age.
      updated_s: The moment for which recent_tokens holds.
    """

    running: int = 0
    recent_tokens: float = 0.0
    updated_s: float = 0.0

    def started(self, unread_tokens: int, now_s: float) -> None:
        """Add a request that brings so many tokens to read."""
        self.recent_tokens = self._weighed(now_s) + unread_tokens
        self.updated_s = now_s
        self.running += 1

    def ended(self) -> None:
        """Drop a request; what it brought to read stays in the average."""
        self.running -= 1

    def tokens_per_s(self, now_s: float) -> float:
        """Return how many prompt tokens a second the endpoint is given to read."""
        return self._weighed(now_s) / AVERAGE_S

    def _weighed(self, now_s: float) -> float:
        """Return the recent tokens with the weights that they have now."""
        age_s = max(0.0, now_s - self.updated_s)
        return self.recent_tokens * math.exp(-age_s / AVERAGE_S)
