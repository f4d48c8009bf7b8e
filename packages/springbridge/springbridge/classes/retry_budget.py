"""Retry budget: may this node send a repeatable request to another endpoint after a failure?

Decided: whether one more retry is allowed. Inputs: the fresh requests and retries of this node so
far, as tokens without a unit of time. Outcome: the retry is taken from the budget or refused. Why:
retries are a share of fresh traffic, so they cannot multiply an overload. No measurement set the
constants.

The budget is this node's own and covers all classes; springbridge.routing.shared_retry_budget
divides one budget for each service between all nodes.
"""

from dataclasses import dataclass

# Retries that each fresh request adds. It bounds the load that retries add to a tenth in the long
# run.
RETRY_SHARE = 0.1
# Most retries that may be saved up, and so the longest run of retries at once.
LARGEST_BUDGET = 20.0
# Retries that a new node has before its first request.
FIRST_BUDGET = 5.0


@dataclass
class RetryBudget:
    """A token bucket: each fresh request adds RETRY_SHARE of a token, each retry takes one."""

    tokens: float = FIRST_BUDGET

    def fresh(self) -> None:
        """Note a fresh request."""
        self.tokens = min(LARGEST_BUDGET, self.tokens + RETRY_SHARE)

    def try_retry(self) -> bool:
        """Take one retry from the budget, or return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
