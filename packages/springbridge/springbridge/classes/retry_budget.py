"""Retry budget of one node: limits retries of repeatable requests to a share of fresh requests.

Decides whether a repeatable request may be sent to another endpoint after a failure.
Inputs: the fresh requests and the retries of this node so far, as tokens without a unit of time.
Result: the retry is taken from the budget, or refused.
As retries are a share of fresh traffic, they cannot multiply an overload.

The budget is this node's own and covers all classes; springbridge.routing.shared_retry_budget
divides one budget for each service between all nodes.
"""

from dataclasses import dataclass

# Retries that each fresh request adds to the budget. In the long run retries add at most a tenth to
# the load.
RETRY_SHARE = 0.1
# Capacity of the budget, and so the largest burst of retries.
LARGEST_BUDGET = 20.0
# Retries in the budget of a new node before its first request.
FIRST_BUDGET = 5.0


@dataclass
class RetryBudget:
    """A token bucket: each fresh request adds RETRY_SHARE of a token, each retry takes one."""

    tokens: float = FIRST_BUDGET

    def fresh(self) -> None:
        """Count a fresh request, which adds RETRY_SHARE to the budget."""
        self.tokens = min(LARGEST_BUDGET, self.tokens + RETRY_SHARE)

    def try_retry(self) -> bool:
        """Take one retry from the budget, or return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
