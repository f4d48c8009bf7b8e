"""Times to come back: after how many seconds may a refused request be repeated?

Decided: the seconds that a refusal by a scheduler or a limit names. Inputs: the predicted wait in
seconds, where one is known. Outcome: that wait, between SHORTEST_S and LONGEST_S, or a fixed time
where nothing is known. Why: who comes back earlier is refused again, and who comes back much later
waits for nothing. No measurement set the constants.
"""

# Shortest time to come back. A short queue or a limit with a high rate does not send its callers
# back at once.
SHORTEST_S = 0.1
# Longest time to come back; the prediction for a long queue is rough.
LONGEST_S = 60.0
# Time to come back where no endpoint serves the class, or none has answered.
NO_ENDPOINT_S = 1.0


def after_wait(wait_s: float) -> float:
    """Return when to come back to a queue that is predicted to be this long."""
    return min(LONGEST_S, max(SHORTEST_S, wait_s))
