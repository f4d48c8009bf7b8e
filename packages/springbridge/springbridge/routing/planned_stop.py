"""When a node that is asked to stop takes its last request, and when its process ends.

Decided: how long a leaving node serves on, and how long it waits for its last answers.
Inputs: the grace between the signal to stop and the kill, and the longest time for which callers
may keep an address, both in seconds.
Outcome: at once the node is not ready, tells all peers, and ends each connection with its next
answer. It serves new requests for serve_on_s(), then refuses them as not run. It ends with its last
answer, or when last_answer_s() is over.
Why: callers hold the node's address for a while, and a request that arrives meanwhile would fail.
The time after that belongs to the answers in progress, and none of them may be cut off by the kill.
"""

# Seconds for which callers may keep an answer of the directory, unless the settings allow less. A
# node that leaves gets new requests for that long.
ADDRESS_TTL_S = 1.0
# Seconds for which a leaving node serves new requests. Above ADDRESS_TTL_S by several heartbeats,
# since the notice to a peer may be lost and that peer names the node once more.
SERVE_ON_S = 2.8
# Largest share of the grace in which new requests are served. A short grace leaves as much time to
# the answers in progress.
SERVE_ON_SHARE = 0.5
# Seconds before the end of the grace at which the node stops waiting for answers. For the last
# notice to peers and the exit, so that the process ends before the kill.
END_MARGIN_S = 0.25

assert SERVE_ON_S > ADDRESS_TTL_S, "callers' addresses must be old before requests are refused"


def address_ttl_s(longest_ttl_s: float) -> float:
    """Return how long callers may keep an answer of the directory, in seconds.

    Args:
      longest_ttl_s: Longest time that the settings allow, in seconds.
    """
    return min(ADDRESS_TTL_S, longest_ttl_s)


def serve_on_s(grace_s: float) -> float:
    """Return how long a leaving node serves new requests, in seconds from the signal.

    Args:
      grace_s: Time from the signal to the kill, in seconds.
    """
    return min(SERVE_ON_S, grace_s * SERVE_ON_SHARE)


def last_answer_s(grace_s: float) -> float:
    """Return how long a leaving node waits for answers in progress, in seconds from the signal."""
    return grace_s - END_MARGIN_S
