"""Rate statements in an endpoint's responses, and which of two statements is in force.

Decides whether a statement replaces the known one of the same endpoint, from the rates and from
when each request was sent and its response arrived.

Responses on several connections overtake one another, and instances forward statements to each
other. A response was produced between the sending of its request and its arrival, so one whose
request was sent after the other had arrived is certainly newer. If neither is certainly newer, the
stricter statement wins: a limit that holds for one request too long does less harm than one that is
missed.
"""

from dataclasses import dataclass

# Lowest rate that is applied, in requests a second; lower ones and 0 count as this one. An endpoint
# that gets no requests could not state that the limit is over.
MIN_RATE_PER_S = 0.2
# Rate in requests a second from which there is no limit: no instance sends so many.
NO_LIMIT_PER_S = 100_000.0


@dataclass(frozen=True, slots=True)
class StatedRate:
    """The rate header of a response, as parsed.

    Attributes:
      per_s: Requests a second from all instances together; None if the response states no rate.
      unreadable: The value if it is not a number, "" if it is one.
    """

    per_s: float | None = None
    unreadable: str = ""


@dataclass(frozen=True, slots=True)
class Statement:
    """The rate that a response stated, and when.

    Attributes:
      per_s: The rate to apply, None for no limit.
      sent_s: When the request was sent, on the instance's monotonic clock.
      received_s: When the head of its response arrived.
    """

    per_s: float | None
    sent_s: float
    received_s: float


def is_readable(stated: StatedRate) -> bool:
    """Return whether a stated rate is valid; an invalid one changes nothing."""
    if stated.unreadable:
        return False
    return stated.per_s is None or stated.per_s >= 0.0


def rate_of(stated: StatedRate) -> float | None:
    """Return the rate to apply for a valid statement, None for no limit."""
    if stated.per_s is None or stated.per_s >= NO_LIMIT_PER_S:
        return None
    return max(MIN_RATE_PER_S, stated.per_s)


def is_literal(stated: StatedRate) -> bool:
    """Return whether a stated rate is applied unchanged, so that nothing has to be logged."""
    return is_readable(stated) and rate_of(stated) == stated.per_s


def replaces(new: Statement, known: Statement) -> bool:
    """Return whether a statement replaces the known one."""
    if new.sent_s >= known.received_s:
        return True
    if new.received_s <= known.sent_s:
        return False
    return _is_stricter(new.per_s, known.per_s)


def joined(one: Statement, other: Statement) -> Statement:
    """Return two statements of the same rate as one, with the later of both times."""
    sent_s = max(one.sent_s, other.sent_s)
    return Statement(one.per_s, sent_s, max(one.received_s, other.received_s))


def _is_stricter(one: float | None, other: float | None) -> bool:
    """Return whether a rate allows less than another; None allows everything."""
    if one is None or other is None:
        return one is not None and other is None
    return one < other
