"""What an endpoint's answers say of the rate that it takes, and which of two is the newer one.

Decided: whether a statement replaces the one that is known of the same endpoint.
Inputs: both statements, each with the rate and with when its request was sent and its answer came.
Outcome: yes or no, and the rate that a stated number stands for.
Why: answers on several connections overtake one another, and instances tell each other what they
got. An answer was made between the sending of its request and its arrival, so that one whose
request was sent after the other had arrived is surely newer. Where neither is, the stricter one
counts: a limit that holds for one request too long does less harm than one that is missed.
"""

from dataclasses import dataclass

# Lowest rate that is kept to, in requests a second; also what a rate of 0 stands for. An endpoint
# that is asked nothing could not say that its need is over.
LEAST_PER_S = 0.2
# Rates from here on are no limit: no instance sends so much.
NO_LIMIT_PER_S = 100_000.0


@dataclass(frozen=True, slots=True)
class StatedRate:
    """What the head of an answer says of its endpoint's rate.

    Attributes:
      per_s: Requests a second from all instances together; None if the answer names no rate.
      unreadable: What stands there in place of a number, "" if it can be read.
    """

    per_s: float | None = None
    unreadable: str = ""


@dataclass(frozen=True, slots=True)
class Statement:
    """The rate that an answer named, and when.

    Attributes:
      per_s: The rate to keep to, None for no limit.
      sent_s: When the request was sent, on the clock of all ages.
      received_s: When the head of its answer came.
    """

    per_s: float | None
    sent_s: float
    received_s: float


def is_readable(stated: StatedRate) -> bool:
    """Return whether a stated rate can be used; one that cannot changes nothing."""
    if stated.unreadable:
        return False
    return stated.per_s is None or stated.per_s >= 0.0


def rate_of(stated: StatedRate) -> float | None:
    """Return the rate to keep to for a readable statement, None for no limit."""
    if stated.per_s is None or stated.per_s >= NO_LIMIT_PER_S:
        return None
    return max(LEAST_PER_S, stated.per_s)


def is_literal(stated: StatedRate) -> bool:
    """Return whether a stated rate is kept to as it stands, so that nobody has to be told."""
    return is_readable(stated) and rate_of(stated) == stated.per_s


def replaces(told: Statement, known: Statement) -> bool:
    """Return whether a statement replaces the one that is known."""
    if told.sent_s >= known.received_s:
        return True
    if told.received_s <= known.sent_s:
        return False
    return _is_stricter(told.per_s, known.per_s)


def joined(one: Statement, other: Statement) -> Statement:
    """Return what two statements of the same rate say together."""
    sent_s = max(one.sent_s, other.sent_s)
    return Statement(one.per_s, sent_s, max(one.received_s, other.received_s))


def _is_stricter(one: float | None, other: float | None) -> bool:
    """Return whether a rate allows less than another; None allows everything."""
    if one is None or other is None:
        return one is not None and other is None
    return one < other
