"""When an endpoint counts as leaving, and how far its word reaches.

Decided: whether an endpoint gets no request any more, whether it gets one only if its service has
no other endpoint, and until when the last endpoints of a service are used that all leave.
Inputs: when this instance first heard the endpoint say that it leaves, and when a peer first told
that it did, in seconds of a monotonic clock.
Outcome: yes or no.
Why: an endpoint leaves once, so its own word is final for its incarnation, whatever a list, a later
answer or a peer says. The word of a peer may be wrong, so it only puts the endpoint behind the
others, for a time that no repetition prolongs; a request that comes there after it finds out.
"""

from dataclasses import dataclass

# Seconds by which the last request to an endpoint that leaves, or has left, is sent before the
# operators' bound. It is sent before that moment and not at it.
DRAIN_MARGIN_S = 0.1
# Seconds after the endpoint's word for which it may be the last resort at the most.
LONGEST_LAST_RESORT_S = 1.9
# Seconds for which a peer's word puts an endpoint behind the others. The list, which is read every
# half second, says the same long before unless the store is out.
PEERS_WORD_S = 10.0


@dataclass(slots=True)
class Leaving:
    """What is known of whether an endpoint leaves.

    Attributes:
      heard_s: When this instance first heard the endpoint say so; None if it did not.
      told_s: When a peer first told of it; None if none did.
    """

    heard_s: float | None = None
    told_s: float | None = None

    @property
    def is_certain(self) -> bool:
        """Return whether the endpoint itself said so to this instance."""
        return self.heard_s is not None

    @property
    def is_known(self) -> bool:
        """Return whether the endpoint or a peer said so."""
        return self.is_certain or self.told_s is not None


def is_likely(leaving: Leaving, now_s: float) -> bool:
    """Return whether an endpoint gets a request only if there is no other, on a peer's word."""
    return leaving.told_s is not None and now_s < leaving.told_s + PEERS_WORD_S


def within_bound_s(wanted_s: float, drain_s: float) -> float:
    """Return for how many seconds an endpoint that leaves, or has left, may still be used.

    Args:
      wanted_s: For how long it would be.
      drain_s: The operators' bound: seconds after which it must get no more requests.
    """
    return max(0.0, min(wanted_s, drain_s - DRAIN_MARGIN_S))


def is_last_resort(leaving: Leaving, drain_s: float, now_s: float) -> bool:
    """Return whether an endpoint that leaves may still be used if all of its service leave."""
    if leaving.heard_s is None:
        return False
    return now_s < leaving.heard_s + within_bound_s(LONGEST_LAST_RESORT_S, drain_s)
