"""How long an endpoint is ejected after failures in a row.

Decided: whether an endpoint that has just failed a request is ejected, and for how long.
Inputs: its failures in a row, as a count; any answer that is delivered resets the count.
Outcome: seconds, 0 for no ejection. An ejected endpoint gets a request only if its service has no
other (eligibility.py), and a further failure ejects it for longer.
Why: an endpoint that accepts connections but answers badly would otherwise look idle and attract
every request.
"""

# Failures in a row. One or two of them eject nobody.
FAILURES_TO_EJECT = 3
# Seconds of the first ejection. It bounds how long an endpoint that works again stays unused, since
# the next request after it is the probe.
EJECT_S = 1.0
# Doublings at the most. The longest ejection lasts 4 s.
MOST_DOUBLINGS = 2


def ejection_s(failures: int) -> float:
    """Return for how many seconds an endpoint is ejected after so many failures in a row."""
    beyond = failures - FAILURES_TO_EJECT
    if beyond < 0:
        return 0.0
    return EJECT_S * 2 ** min(beyond, MOST_DOUBLINGS)
