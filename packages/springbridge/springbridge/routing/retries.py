"""Retries: whether another endpoint may get a request, and how long a silent one is waited for.

What is decided: after an attempt, whether the request may be sent to another endpoint; before one,
whether it is worth the time that is left; during one, how long a silent endpoint is waited for.
Inputs: the request's route, its attempts so far, and the time left to its deadline in seconds.
Outcome: yes or no, or a time in seconds.
Why: a request that may not run twice is only sent again after an endpoint's promise that it has not
run it, and a caller never gets parts of two answers. Everything else is tried again while that
helps the caller and does not flood the endpoints, which is the part of `shared_retry_budget`.

Owns `End` and `Attempts`, the facts that this rule and `giving_up` decide on.
"""

from dataclasses import dataclass
from enum import Enum

from springbridge.routing.records import Route

# Shortest time to the deadline, in seconds, for which an attempt is made: with less, the endpoint
# works and the caller is gone. A few round trips.
LEAST_LEFT_S = 0.005
# Endpoints without a usable connection that a request passes over before it gives up. Bounds the
# time lost to connecting: five tries at the 0.4 s after which a connection counts as failed are 2
# s.
UNREACHED_ENDPOINTS = 4
# Share of the time to the deadline for which a silent endpoint is waited for. The next endpoint has
# as much time as this one had.
SILENCE_SHARE = 0.5


class End(Enum):
    """How an attempt ended; the values are logged and counted."""

    DELIVERED = "delivered"
    TURNED_AWAY = "turned away"
    ASKED_REST = "asked for rest"
    OTHER_ENDPOINT = "other engine"
    ENDPOINT_ERROR = "engine error"
    BROKEN = "broken"
    SILENT = "silent"


# Ends that count against an endpoint's health. One that turns all requests away never has work, and
# would be the cheapest for the next one. One that asks for rest gets it, and has not failed.
ENDPOINT_FAILURES = frozenset({End.ENDPOINT_ERROR, End.BROKEN, End.SILENT, End.TURNED_AWAY})


@dataclass(frozen=True, slots=True)
class Attempts:
    """What a request's attempts have come to so far.

    Attributes:
      sends: Times that it was sent.
      misdirected: Sends that met another endpoint than the one meant, which is gone.
      unreached: Endpoints that it could not be sent to for want of a connection.
      busy: Those of them that are there, but all connections to them are in use.
      may_have_run: Whether an endpoint may have run it.
      answer_started: Whether the caller has got the beginning of an answer.
      last_event: Id of the last event that the caller has got, or None.
    """

    sends: int = 0
    misdirected: int = 0
    unreached: int = 0
    busy: int = 0
    may_have_run: bool = False
    answer_started: bool = False
    last_event: str | None = None

    @property
    def endpoints_used(self) -> int:
        """Return the endpoints that count towards the route's limit; those that are gone do not."""
        return self.sends - self.misdirected


def is_repeatable(route: Route) -> bool:
    """Return whether requests of a route may run more than once."""
    return route.repeatable or route.resumable


def may_try_another(route: Route, attempts: Attempts) -> bool:
    """Return whether another endpoint may get a request whose last attempt failed."""
    if attempts.answer_started and not _can_be_continued(route, attempts):
        return False
    return not attempts.may_have_run or is_repeatable(route)


def _can_be_continued(route: Route, attempts: Attempts) -> bool:
    """Return whether another endpoint can continue an answer that the caller has in part."""
    return route.resumable and attempts.last_event is not None


def has_endpoint_left(route: Route, attempts: Attempts) -> bool:
    """Return whether the route allows the request another endpoint."""
    return attempts.endpoints_used < route.max_endpoints


def may_pass_over_more(attempts: Attempts) -> bool:
    """Return whether another endpoint is tried after so many without a connection."""
    return attempts.unreached <= UNREACHED_ENDPOINTS


def is_worth_sending(left_s: float) -> bool:
    """Return whether an endpoint can do anything in the seconds left to the deadline."""
    return left_s >= LEAST_LEFT_S


def silence_limit_s(route: Route, attempts: Attempts, left_s: float) -> float | None:
    """Return how long to wait for the head of an answer, in seconds; None for until the deadline.

    Only a plain request that may go to yet another endpoint is taken from a silent one. A stream
    is not: its endpoint may still read the prompt, and another one would read it again.

    Args:
      attempts: With the one that waits.
      left_s: Time left to the request's deadline, in seconds.
    """
    if route.streaming or not route.repeatable:
        return None
    if not has_endpoint_left(route, attempts):
        return None
    return left_s * SILENCE_SHARE
