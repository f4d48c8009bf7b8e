"""Giving up: the final answer to a request that is not sent to a further endpoint.

Decides which problem ends the request and which answer its caller gets.
Inputs: the request's route, its attempts so far and what ended them; times in seconds.
Result: a `Problem`, whose code says whether the request may have run, and a `FinalAnswer`.
A caller may safely repeat a request only if no endpoint has run it. A refusal guarantees that and
names a Retry-After time; all other codes guarantee nothing. An answer that has begun is cut off, so
that a partial answer never looks complete. An endpoint's own error answer tells the caller more
than the router's.
"""

from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.overload import Overload
from springbridge.routing.records import Route
from springbridge.routing.retries import AttemptOutcome, Attempts, is_repeatable
from springbridge.routing.retry_after import (
    after_node_fault,
    when_endpoint_full,
    while_endpoints_restart,
    while_leaving,
    while_on_trial,
    while_origin_unknown,
)

# Detail of the problem of a request that is given up as its instance stops.
END_OF_GRACE = "end of grace"


@dataclass(frozen=True, slots=True)
class RatesExhausted:
    """Refusal because the endpoints' own rate limits are exhausted.

    Attributes:
      endpoints: Number of these endpoints.
      per_s: Requests a second that they accept from all instances together.
      retry_after_s: Retry-After in seconds.
    """

    endpoints: int
    per_s: float
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AllResting:
    """Refusal because all endpoints rest, as they have asked for a pause without requests.

    Attributes:
      endpoints: Number of resting endpoints.
      retry_after_s: Retry-After in seconds.
    """

    endpoints: int
    retry_after_s: float


class FinalAnswer(Enum):
    """What the caller gets when its request is given up.

    CUT_OFF ends an answer that has begun, HELD_FAILURE passes on an endpoint's own error answer
    that was held back, and REFUSAL is the router's own error answer.
    """

    CUT_OFF = auto()
    HELD_FAILURE = auto()
    REFUSAL = auto()


def final_answer(problem: Problem, answer_started: bool, failure_held: bool) -> FinalAnswer:
    """Return which kind of final answer the caller gets.

    Args:
      problem: Why the request is given up.
      answer_started: Whether the caller has received the beginning of an answer.
      failure_held: Whether an endpoint's own error answer was held back.
    """
    if answer_started:
        return FinalAnswer.CUT_OFF
    if failure_held and not problem.not_run:
        return FinalAnswer.HELD_FAILURE
    return FinalAnswer.REFUSAL


def holds_failure(route: Route, status: int) -> bool:
    """Return whether an endpoint's answer is held back because another endpoint may succeed.

    Args:
      status: HTTP status of the endpoint's answer.
    """
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR and is_repeatable(route)


def when_overloaded(overload: Overload) -> Problem:
    """Return the refusal of a request whose endpoints are all overloaded for its priority."""
    waits = f"backlog {overload.backlog_s:.2f} s, longest wait {overload.longest_wait_s:.2f} s"
    detail = f"engines: least {waits}, least in flight {overload.in_flight}"
    return Problem(Code.OVERLOADED, detail, retry_after_s=overload.retry_after_s)


def after_failed_attempt(route: Route, attempts: Attempts, end: AttemptOutcome) -> Problem:
    """Return the problem of a request whose last attempt failed and that may not be retried."""
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, end.value)
    return _refused_not_run(route, end.value)


def without_endpoint(route: Route, attempts: Attempts) -> Problem:
    """Return the problem of a request for which there is no endpoint, or no further one."""
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, "no further engine")
    if attempts.sends:
        return _refused_not_run(route, "no further engine")
    if attempts.busy:
        # A connection becomes free as soon as an answer ends, long before an endpoint restarts.
        return _refused_not_run(route, "connections in use")
    return Problem(Code.NO_ENGINE, "no engine", retry_after_s=while_endpoints_restart())


def without_version(attempts: Attempts, is_listed: bool) -> Problem:
    """Return the problem of a stream for which no endpoint, or no further one, has its version.

    Args:
      is_listed: Whether the list has an endpoint of that version which is not leaving.
    """
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, "no further engine of its version")
    wait_s = while_origin_unknown() if is_listed else while_endpoints_restart()
    detail = "an engine of its version is listed" if is_listed else "no engine of its version"
    return Problem(Code.NO_ENGINE_OF_VERSION, detail, retry_after_s=wait_s)


def when_origin_unknown(reason: str) -> Problem:
    """Return the problem of a stream whose version cannot be known, so that it cannot go on."""
    return Problem(Code.STREAM_ORIGIN_UNKNOWN, reason, retry_after_s=while_origin_unknown())


def when_rates_exhausted(route: Route, attempts: Attempts, spent: RatesExhausted) -> Problem:
    """Return the problem of a request if all remaining endpoints have exhausted their rates."""
    detail = f"rates spent: {spent.endpoints} engines take {spent.per_s:g} a second"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.OVERLOADED, detail, retry_after_s=spent.retry_after_s)


def when_no_place(route: Route, attempts: Attempts, endpoints: int) -> Problem:
    """Return the problem of a request if all remaining endpoints are brittle and may be full.

    Args:
      endpoints: Number of these endpoints.
    """
    detail = f"no place at {endpoints} brittle engines"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.OVERLOADED, detail, retry_after_s=when_endpoint_full(route.target_s))


def when_all_resting(route: Route, attempts: Attempts, rest: AllResting) -> Problem:
    """Return the problem of a request if all remaining endpoints rest."""
    detail = f"{rest.endpoints} engines rest"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.OVERLOADED, detail, retry_after_s=rest.retry_after_s)


def in_quarantine(attempts: Attempts, crashes: int, wait_s: float) -> Problem:
    """Return the problem of a request in quarantine because several endpoints crashed under it.

    Retry-After is the time of its next trial: earlier tries would all be refused. A request that
    was already sent in this try may have run, so its caller gets no guarantee.

    Args:
      crashes: Number of endpoints that crashed under it.
      wait_s: Seconds until its next trial.
    """
    detail = f"{crashes} engines ended under it"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.QUARANTINED, detail, retry_after_s=wait_s)


def with_quarantined_parts(attempts: Attempts, crashes: int, wait_s: float) -> Problem:
    """Return the problem of a request whose prompt has parts that crash endpoints.

    Args:
      crashes: Number of endpoints that crashed under prompts with these parts.
      wait_s: Seconds until the next trial of such a prompt.
    """
    detail = f"{crashes} engines ended under parts of its prompt"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.QUARANTINED, detail, retry_after_s=wait_s)


def while_trial_pending(attempts: Attempts) -> Problem:
    """Return the problem of a request that waited too long for another request's trial to end."""
    detail = "another request like it is on trial"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.QUARANTINED, detail, retry_after_s=while_on_trial())


def max_trial_wait_s(route: Route) -> float:
    """Return how long a request waits for the end of another request's trial, in seconds.

    When many callers send the same request, all of them are served once one trial succeeds. The
    limit is the route's target, after which an answer is late anyway.
    """
    return route.target_s


def at_deadline(route: Route, attempts: Attempts) -> Problem:
    """Return the problem of a request that has reached its deadline."""
    if attempts.may_have_run:
        return Problem(Code.OUTCOME_UNKNOWN, "deadline")
    return _refused_not_run(route, "deadline")


def at_end_of_grace(attempts: Attempts) -> Problem:
    """Return the problem of a request that is in progress as its instance's grace ends."""
    if attempts.may_have_run:
        return Problem(Code.OUTCOME_UNKNOWN, END_OF_GRACE)
    return Problem(Code.NODE_LEAVING, END_OF_GRACE, retry_after_s=while_leaving())


def when_fault_met(attempts: Attempts) -> Problem:
    """Return the problem of a request whose serving met an unforeseen exception."""
    if attempts.may_have_run:
        return Problem(Code.OUTCOME_UNKNOWN, "fault")
    return Problem(Code.NODE_FAULT, "fault", retry_after_s=after_node_fault())


def _refused_not_run(route: Route, detail: str) -> Problem:
    """Return the refusal of a request that no endpoint has run although there are endpoints."""
    return Problem(Code.NO_ENGINE, detail, retry_after_s=when_endpoint_full(route.target_s))
