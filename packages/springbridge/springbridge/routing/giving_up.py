"""Giving up: the answer to a request that no further endpoint gets.

What is decided: the problem that ends the request, and what its caller gets.
Inputs: the request's route, its attempts so far and what stopped them; times in seconds.
Outcome: a `Problem`, whose code says whether the request may have run, and a `FinalAnswer`.
Why: a caller may send a request anew only if it knows that no endpoint has run it, so a refusal
promises that and names a time to come back, and every other code promises nothing. An answer that
has begun is cut off, so that a part never looks whole. An endpoint's own failure tells the caller
more than ours.
"""

from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.overload import Overload
from springbridge.routing.records import Route
from springbridge.routing.retries import Attempts, End, is_repeatable
from springbridge.routing.retry_after import (
    when_endpoint_full,
    while_endpoints_restart,
    while_on_trial,
)


@dataclass(frozen=True, slots=True)
class RatesSpent:
    """Why a request is refused: its endpoints have spent the rates that they name.

    Attributes:
      endpoints: How many have.
      per_s: Requests a second that these take from all instances together.
      retry_after_s: When to come back, in seconds.
    """

    endpoints: int
    per_s: float
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AllRest:
    """Why a request is refused: its endpoints rest, as they have asked this instance to let them.

    Attributes:
      endpoints: How many do.
      retry_after_s: When to come back, in seconds.
    """

    endpoints: int
    retry_after_s: float


class FinalAnswer(Enum):
    """What the caller of a request that is given up gets."""

    CUT_OFF = auto()
    HELD_FAILURE = auto()
    REFUSAL = auto()


def final_answer(problem: Problem, answer_started: bool, failure_held: bool) -> FinalAnswer:
    """Return what the caller gets.

    Args:
      problem: Why the request is given up.
      answer_started: Whether the caller has got the beginning of an answer.
      failure_held: Whether an endpoint's own failure was held back.
    """
    if answer_started:
        return FinalAnswer.CUT_OFF
    if failure_held and not problem.not_run:
        return FinalAnswer.HELD_FAILURE
    return FinalAnswer.REFUSAL


def holds_failure(route: Route, status: int) -> bool:
    """Return whether an endpoint's answer is held back, since another endpoint may do better.

    Args:
      status: HTTP status of the endpoint's answer.
    """
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR and is_repeatable(route)


def when_overloaded(overload: Overload) -> Problem:
    """Return the refusal of a request whose endpoints all have too much for its priority."""
    waits = f"backlog {overload.backlog_s:.2f} s, longest wait {overload.longest_wait_s:.2f} s"
    detail = f"engines: least {waits}, least in flight {overload.in_flight}"
    return Problem(Code.OVERLOADED, detail, retry_after_s=overload.retry_after_s)


def after_failed_attempt(route: Route, attempts: Attempts, end: End) -> Problem:
    """Return the problem of a request whose last attempt failed and that may not be sent again."""
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, end.value)
    return _turned_away(route, end.value)


def without_endpoint(route: Route, attempts: Attempts) -> Problem:
    """Return the problem of a request for which there is no endpoint, or no further one."""
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, "no further engine")
    if attempts.sends:
        return _turned_away(route, "no further engine")
    if attempts.busy:
        # A connection is free again within the time of an answer, long before endpoints restart.
        return _turned_away(route, "connections in use")
    return Problem(Code.NO_ENGINE, "no engine", retry_after_s=while_endpoints_restart())


def when_rates_spent(route: Route, attempts: Attempts, spent: RatesSpent) -> Problem:
    """Return the problem of a request for which there are only endpoints that take no more now."""
    detail = f"rates spent: {spent.endpoints} engines take {spent.per_s:g} a second"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.OVERLOADED, detail, retry_after_s=spent.retry_after_s)


def when_all_rest(route: Route, attempts: Attempts, rest: AllRest) -> Problem:
    """Return the problem of a request for which there are only endpoints that rest."""
    detail = f"{rest.endpoints} engines rest"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.OVERLOADED, detail, retry_after_s=rest.retry_after_s)


def in_quarantine(attempts: Attempts, crashes: int, wait_s: float) -> Problem:
    """Return the problem of a request that is kept from endpoints, as it has ended several.

    The caller is told when it is tried again: before, every try would be refused. A request that
    was sent in this try may have run, and its caller is promised nothing.

    Args:
      crashes: How many endpoints ended under it.
      wait_s: Seconds until its next trial.
    """
    detail = f"{crashes} engines ended under it"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.QUARANTINED, detail, retry_after_s=wait_s)


def while_tried(attempts: Attempts) -> Problem:
    """Return the problem of a request that has waited for the end of a trial for too long."""
    detail = "another request like it is on trial"
    if attempts.may_have_run:
        return Problem(Code.ENGINE_FAILED, detail)
    return Problem(Code.QUARANTINED, detail, retry_after_s=while_on_trial())


def longest_hold_s(route: Route) -> float:
    """Return for how long a request waits for the end of a trial, in seconds.

    Protects callers of a page that many ask for: once one of them is served, all are. It is the
    time that the route aims at, after which an answer is late anyway.
    """
    return route.target_s


def at_deadline(route: Route, attempts: Attempts) -> Problem:
    """Return the problem of a request whose time is up."""
    if attempts.may_have_run:
        return Problem(Code.OUTCOME_UNKNOWN, "deadline")
    return _turned_away(route, "deadline")


def _turned_away(route: Route, detail: str) -> Problem:
    """Return the refusal of a request that endpoints exist for, but that none has run."""
    return Problem(Code.NO_ENGINE, detail, retry_after_s=when_endpoint_full(route.target_s))
