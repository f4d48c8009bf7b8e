"""Outlier ejection: how long an endpoint is ejected after consecutive failures.

Input: the number of consecutive failures; any delivered answer resets it.
Result: seconds, 0 for no ejection. An ejected endpoint gets a request only if its service has no
other (eligibility.py), and each further failure ejects it for longer.
An endpoint that accepts connections but answers with errors would otherwise look idle and attract
every request.
"""

# Consecutive failures from which an endpoint is ejected; one or two do not eject it.
FAILURES_TO_EJECT = 3
# Duration of the first ejection in seconds. It bounds how long a recovered endpoint stays unused,
# since the first request afterwards serves as the probe.
FIRST_EJECTION_S = 1.0
# Maximum number of doublings; the longest ejection lasts 4 s.
MAX_DOUBLINGS = 2


def ejection_s(failures: int) -> float:
    """Return the ejection time in seconds after this many consecutive failures, 0 for none."""
    beyond = failures - FAILURES_TO_EJECT
    if beyond < 0:
        return 0.0
    return FIRST_EJECTION_S * 2 ** min(beyond, MAX_DOUBLINGS)
