"""Retries draw on a budget, a share of fresh traffic, so that they cannot multiply an overload."""

from dataclasses import dataclass

RETRY_SHARE = 0.1
LARGEST_BUDGET = 20.0
FIRST_BUDGET = 5.0


@dataclass
class RetryBudget:
    """Tokens for retries: each fresh request adds a part of one, each retry takes one."""

    tokens: float = FIRST_BUDGET

    def fresh(self) -> None:
        """Note a fresh request."""
        self.tokens = min(LARGEST_BUDGET, self.tokens + RETRY_SHARE)

    def try_retry(self) -> bool:
        """Take a retry from the budget and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
