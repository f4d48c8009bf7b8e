"""Retry-After of callers that are refused because all endpoints of their service are resting.

Callers that retry at the same time would be rejected together. They are spread evenly over a short
time after the end of the first rest, whatever their number, without a count of those still waiting.
No caller is sent back before that end.
"""

# Seconds after the end of the first rest over which retries are spread.
SPREAD_S = 1.0
# Fraction of the spread from one caller to the next, modulo 1. Multiples of the golden ratio leave
# no large gap, however many there are.
STEP = 0.6180339887498949


def retry_after_s(refused_before: int, first_end_in_s: float) -> float:
    """Return the Retry-After of a caller, in seconds.

    Args:
      refused_before: Number of callers refused because of rests before this one.
      first_end_in_s: Seconds until the first of the endpoints may get a request.
    """
    return max(0.0, first_end_in_s) + SPREAD_S * (refused_before * STEP % 1.0)
