"""Retries: whether a request may be sent to another endpoint, and the timeout of a silent one.

Decides after an attempt whether the request may be sent to another endpoint, before an attempt
whether the remaining time is worth it, and during one how long to wait for a silent endpoint.
Inputs: the request's route, its attempts so far, and the time left to its deadline in seconds.
A request that may not run twice is retried only if the endpoint has guaranteed that it has not run
it, and a caller never gets parts of two answers. A stream goes on only at endpoints of the version
that began it, so not at all if that is unknown. Any other request is retried while that helps the
caller; `shared_retry_budget` keeps retries from flooding the endpoints.

Defines `AttemptOutcome` and `Attempts`, the facts on which this module and `giving_up` decide.
"""

from dataclasses import dataclass
from enum import Enum

from springbridge.routing.records import Route

# Shortest time to the deadline, in seconds, with which an attempt is made: with less, the endpoint
# would work for a caller that has already gone. A few round trips.
MIN_REMAINING_S = 0.005
# Endpoints without a usable connection that a request skips before it is given up. Bounds the time
# lost to connecting: five tries at the 0.4 s after which a connection counts as failed take 2 s.
MAX_UNREACHED_ENDPOINTS = 4
# Share of the remaining time for which to wait for a silent endpoint. The next endpoint then has as
# much time as this one had.
SILENCE_TIMEOUT_SHARE = 0.5


class AttemptOutcome(Enum):
    """How an attempt ended; the values are logged and counted."""

    DELIVERED = "delivered"
    TURNED_AWAY = "turned away"
    ASKED_REST = "asked for rest"
    OTHER_ENDPOINT = "other engine"
    ENDPOINT_ERROR = "engine error"
    BROKEN = "broken"
    SILENT = "silent"
    PATH_LOST = "path lost"
    NO_CONTINUATION = "no continuation"


# Outcomes that count as failures of the endpoint. An endpoint that turns every request away never
# has load, so it would otherwise look the cheapest for the next request. An endpoint that asks for
# rest is given it and has not failed. An answer that does not go on with a stream is a failure
# whatever its status: the request is one that another endpoint has accepted.
ENDPOINT_FAILURES = frozenset(
    {
        AttemptOutcome.ENDPOINT_ERROR,
        AttemptOutcome.BROKEN,
        AttemptOutcome.SILENT,
        AttemptOutcome.TURNED_AWAY,
        AttemptOutcome.NO_CONTINUATION,
    }
)


@dataclass(frozen=True, slots=True)
class Attempts:
    """Summary of a request's attempts so far.

    Attributes:
      sends: How often the request was sent.
      misdirected: Sends that reached another endpoint than the intended one, which has ended.
      paths_lost: Sends whose connection broke because this instance lost its path to the endpoint.
      unreached: Endpoints to which it could not be sent because there was no usable connection.
      busy: Those of them that are up, but with all connections to them in use.
      may_have_run: Whether an endpoint may have run it.
      answer_started: Whether the caller has received the beginning of an answer.
      only_blank: Whether all that the caller has received is the head of a stream and lines that
        take effect without an event.
      last_event: Id of the event behind which a stream can go on, as it names all that the caller
        has received of it; None if there is none.
      version: Version of the endpoints that began the stream, None if unknown or not begun.
    """

    sends: int = 0
    misdirected: int = 0
    paths_lost: int = 0
    unreached: int = 0
    busy: int = 0
    may_have_run: bool = False
    answer_started: bool = False
    only_blank: bool = False
    last_event: str | None = None
    version: str | None = None

    @property
    def endpoints_used(self) -> int:
        """Return how many endpoints count towards the route's limit.

        Those that ended, and those that this instance was cut off from, do not.
        """
        return self.sends - self.misdirected - self.paths_lost


def is_repeatable(route: Route) -> bool:
    """Return whether a request of the route may run more than once."""
    return route.repeatable or route.resumable


def may_try_another(route: Route, attempts: Attempts) -> bool:
    """Return whether a request may be sent to another endpoint after a failed attempt."""
    if attempts.answer_started and not _can_be_continued(route, attempts):
        return False
    return not attempts.may_have_run or is_repeatable(route)


def _can_be_continued(route: Route, attempts: Attempts) -> bool:
    """Return whether another endpoint can go on with an answer that has been sent in part.

    As long as no event was sent, the stream begins anew; its head says nothing of its events.
    """
    if attempts.only_blank:
        return route.resumable
    return route.resumable and attempts.last_event is not None and attempts.version is not None


def has_endpoint_left(route: Route, attempts: Attempts) -> bool:
    """Return whether the route's limit of endpoints per request allows another one."""
    return attempts.endpoints_used < route.max_endpoints


def may_skip_another(attempts: Attempts) -> bool:
    """Return whether another endpoint is tried after those that had no usable connection."""
    return attempts.unreached <= MAX_UNREACHED_ENDPOINTS


def is_worth_sending(left_s: float) -> bool:
    """Return whether the seconds left to the deadline suffice for another attempt."""
    return left_s >= MIN_REMAINING_S


def silence_timeout_s(route: Route, attempts: Attempts, left_s: float) -> float | None:
    """Return how long to wait for the head of an answer, in seconds; None for until the deadline.

    Only a plain request that may still be sent to another endpoint times out early. A stream does
    not: its endpoint may still be reading the prompt, which another one would read again.

    Args:
      attempts: Including the one that is waiting.
      left_s: Time left to the request's deadline, in seconds.
    """
    if route.streaming or not route.repeatable:
        return None
    if not has_endpoint_left(route, attempts):
        return None
    return left_s * SILENCE_TIMEOUT_SHARE
