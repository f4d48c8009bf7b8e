"""When callers return who were refused because all endpoints of their service rest.

Decided: the Retry-After of such a refusal.
Inputs: how many callers were refused so before, and the seconds until the first rest ends.
Outcome: seconds, never before that end.
Why: callers that return together would be turned away together. They are spread evenly over a short
time after the end, whatever their number, without a count of who is still to come.
"""

# Seconds after the end of the first rest over which callers return.
SPREAD_S = 1.0
# Fraction of the spread from one caller to the next, modulo 1. Multiples of the golden ratio leave
# no large gap, however many there are.
STEP = 0.6180339887498949


def retry_after_s(refused_before: int, first_end_in_s: float) -> float:
    """Return when a caller returns, in seconds.

    Args:
      refused_before: Callers refused for rests before this one.
      first_end_in_s: Seconds until the first of the endpoints may get a request.
    """
    return max(0.0, first_end_in_s) + SPREAD_S * (refused_before * STEP % 1.0)
