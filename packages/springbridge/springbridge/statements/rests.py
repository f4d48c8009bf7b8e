"""When an endpoint that asked for rest gets requests of this instance again.

Decided: whether an endpoint may get a request now.
Inputs: when its rest ends, when the first request after that was sent, and the moment, in seconds
of a monotonic clock.
Outcome: yes or no.
Why: an endpoint that turns requests away at once looks idle and would attract all of them. A rest
is a matter between the endpoint and the instance that it answered; other instances only put the
endpoint behind the others meanwhile, which spares callers a refusal at each of them. At its end one
request is sent, and all others follow once that one was answered, or was not turned away for a
while; if they went together, they would be turned away together.
"""

from dataclasses import dataclass

# Longest rest in seconds that is kept to as it stands; a longer one counts as this long. An hour.
LONGEST_REST_S = 3600.0
# Seconds after which the first request counts as taken though no answer has begun. An endpoint that
# has no room says so at once.
TRIAL_S = 0.25

# Longest time in seconds for which the rest of a peer puts an endpoint behind the others here.
LONGEST_PEERS_REST_S = 10.0


@dataclass(slots=True)
class Rest:
    """The rest that an endpoint asked this instance for.

    Attributes:
      until_s: When it ends.
      trial_s: When the first request after its end was sent; None before.
    """

    until_s: float
    trial_s: float | None = None


def rest_until(known: Rest | None, rest_s: float, received_s: float) -> Rest:
    """Return the rest after an answer that asks for one.

    Args:
      known: The rest before, None if there was none. Of two that overlap the later end counts.
      rest_s: How long the endpoint wants nothing, in seconds.
      received_s: When the answer came.
    """
    until_s = received_s + min(rest_s, LONGEST_REST_S)
    return Rest(until_s if known is None else max(known.until_s, until_s))


def may_send(rest: Rest, now_s: float) -> bool:
    """Return whether an endpoint may get a request now."""
    if now_s < rest.until_s:
        return False
    return rest.trial_s is None or now_s >= rest.trial_s + TRIAL_S


def after_send(rest: Rest, now_s: float) -> Rest | None:
    """Return the rest once a request is sent that may be; None if it is over."""
    return Rest(rest.until_s, now_s) if rest.trial_s is None else None


def is_over(rest: Rest, sent_s: float) -> bool:
    """Return whether an answer that asks for no rest ends one.

    Args:
      sent_s: When the request of that answer was sent; answers may overtake each other.
    """
    return sent_s >= rest.until_s
