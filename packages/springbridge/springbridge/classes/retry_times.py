"""Retry-after times: the seconds after which a refused request may be retried.

Inputs: the predicted wait in seconds, if one is known.
Result: that wait, between SHORTEST_S and LONGEST_S, or NO_ENDPOINT_S if nothing is known.
A caller that retries earlier is refused again; one that retries much later waits for nothing.
"""

# Lower bound, so that callers don't retry at once when the queue is short or the rate is high.
SHORTEST_S = 0.1
# Upper bound, because the prediction for a long queue is inaccurate.
LONGEST_S = 60.0
# Retry time if no endpoint serves the class, or none has answered.
NO_ENDPOINT_S = 1.0


def after_wait(wait_s: float) -> float:
    """Return the seconds after which to retry, for a predicted wait in seconds."""
    return min(LONGEST_S, max(SHORTEST_S, wait_s))
