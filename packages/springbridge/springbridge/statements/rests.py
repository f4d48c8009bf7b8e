"""Rests: an endpoint that rejects requests for a while, and when it gets requests again.

Decides whether an endpoint may get a request now, from the end of its rest and the time of the
first request after that, in seconds of a monotonic clock.

An endpoint that rejects requests at once looks idle and would attract all of them. A rest applies
between the endpoint and the instance that it responded to; other instances only rank the endpoint
behind the others meanwhile, which spares callers a rejection at each of them. When the rest ends,
one probe request is sent (as in a half-open circuit breaker). The others follow once that one was
answered, or was not rejected for a while; if sent together, they would be rejected together.
"""

from dataclasses import dataclass

# Longest rest in seconds; a longer one counts as this long. An hour.
MAX_REST_S = 3600.0
# Seconds after which the probe request counts as accepted although no response has begun. An
# endpoint without free capacity rejects a request at once.
TRIAL_S = 0.25

# Longest time in seconds for which a rest that a peer reported ranks an endpoint behind the others.
MAX_PEER_REST_S = 10.0


@dataclass(slots=True)
class Rest:
    """The rest that an endpoint asked this instance for.

    Attributes:
      until_s: When it ends.
      trial_s: When the probe request after its end was sent; None before.
    """

    until_s: float
    trial_s: float | None = None


def rest_until(known: Rest | None, rest_s: float, received_s: float) -> Rest:
    """Return the rest after a response that asks for one.

    Args:
      known: The previous rest, None if there was none. Of two the later end counts.
      rest_s: Seconds for which the endpoint wants no requests.
      received_s: When the response arrived.
    """
    until_s = received_s + min(rest_s, MAX_REST_S)
    return Rest(until_s if known is None else max(known.until_s, until_s))


def may_send(rest: Rest, now_s: float) -> bool:
    """Return whether an endpoint may get a request now."""
    if now_s < rest.until_s:
        return False
    return rest.trial_s is None or now_s >= rest.trial_s + TRIAL_S


def after_send(rest: Rest, now_s: float) -> Rest | None:
    """Return the rest after a request that may_send() allowed; None if the rest is over."""
    return Rest(rest.until_s, now_s) if rest.trial_s is None else None


def is_over(rest: Rest, sent_s: float) -> bool:
    """Return whether a response that does not ask for a rest ends the current one.

    Args:
      rest: The current rest.
      sent_s: When the request was sent; responses may overtake each other.
    """
    return sent_s >= rest.until_s
