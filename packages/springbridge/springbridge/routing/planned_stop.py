"""Planned stop: the timing of an instance's graceful shutdown.

Decides how long a leaving instance serves new requests, and how long it waits for answers in
progress.
Inputs: the grace period between the signal to stop and the kill, and the longest time for which
callers may cache an address, both in seconds.
On the signal the instance becomes not ready, notifies all peers, and closes each connection with
its next answer. It serves new requests for serve_on_s(), then refuses them as not run. It exits
after its last answer, or after last_answer_s(); requests that are in progress then are given up
with an answer that says whether they may have run.
Callers cache the instance's address for a while, and a request that arrives in that time would
otherwise fail. The rest of the grace period is for answers in progress, none of which may be cut
off by the kill.
"""

# Seconds for which callers may cache an answer of the directory, unless the settings allow less. A
# leaving instance gets new requests for that long.
ADDRESS_TTL_S = 1.0
# Seconds for which a leaving instance serves new requests. Above ADDRESS_TTL_S by several
# heartbeats, since the notice to a peer may be lost and that peer may return the address once more.
SERVE_ON_S = 2.8
# Largest share of the grace period in which new requests are served. In a short grace period, the
# answers in progress get as much time.
SERVE_ON_SHARE = 0.5
# Seconds before the end of the grace period at which the instance stops waiting for answers. Leaves
# time for the last notice to peers and the exit, so that the process ends before the kill.
END_MARGIN_S = 0.25

# Seconds for the answers to requests that are given up as the instance stops waiting. Part of
# END_MARGIN_S: they are written at once, unless their callers read slowly.
GIVING_UP_S = 0.1

assert SERVE_ON_S > ADDRESS_TTL_S, "callers' addresses must be old before requests are refused"
assert GIVING_UP_S < END_MARGIN_S, "the process must end before the kill"


def address_ttl_s(longest_ttl_s: float) -> float:
    """Return how long callers may cache an answer of the directory, in seconds.

    Args:
      longest_ttl_s: Longest time that the settings allow, in seconds.
    """
    return min(ADDRESS_TTL_S, longest_ttl_s)


def serve_on_s(grace_s: float) -> float:
    """Return how long a leaving instance serves new requests, in seconds from the signal.

    Args:
      grace_s: Time from the signal to the kill, in seconds.
    """
    return min(SERVE_ON_S, grace_s * SERVE_ON_SHARE)


def last_answer_s(grace_s: float) -> float:
    """Return how long a leaving instance waits for answers, in seconds from the signal."""
    return grace_s - END_MARGIN_S
