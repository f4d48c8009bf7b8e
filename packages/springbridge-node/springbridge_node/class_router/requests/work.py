"""State of a request that is being run, and the rules for retrying it after a failed attempt.

Defines Work, which the runner updates after each attempt. Uses no clock and no sockets.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from springbridge.classes.decisions import Outcome
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.retry_budget import RetryBudget
from springbridge.codes import Code, Fate
from springbridge.problems import Problem

# Times that one request may be preempted. After that its work is not preemptible and never takes
# the last slot of an endpoint.
MAX_PREEMPTIONS = 2
# Attempts that endpoints may refuse before the request fails. These retries take nothing from the
# retry budget, as nothing ran.
MAX_REFUSED_ATTEMPTS = 4
# Retry-After sent with such a failure.
REFUSED_RETRY_S = 1.0


class AttemptEnd(Enum):
    """How one attempt ended."""

    COMPLETED = auto()
    PREEMPTED = auto()
    NOT_ADMITTED = auto()
    STREAM_BROKEN = auto()


@dataclass
class Work:
    """A request together with its body, its allowed endpoints and its retry counts.

    Attributes:
      path: Path below a plain service, empty for models.
      endpoints: Returns the endpoints that the request may use under the table in force.
      wait_start_s: Start of the current wait for a slot, on the node's monotonic clock.
      started: Whether an endpoint may have started to run it.
      avoid: Names of endpoints that failed this request.
    """

    request: Request
    body: bytes
    path: str
    endpoints: Callable[[], tuple[Endpoint, ...]]
    wait_start_s: float
    attempts: int = 0
    preemptions: int = 0
    refused_attempts: int = 0
    started: bool = False
    avoid: set[str] = field(default_factory=set)

    def job_id(self) -> str:
        """Return the id of the current attempt: the request's own if it may be sent only once."""
        if not self.request.repeatable:
            return self.request.request_id
        return f"{self.request.request_id}.{self.attempts}"

    def wait_left_s(self, now_s: float) -> float:
        """Return how long the request may still wait for a slot."""
        return max(0.0, self.request.max_wait_s - (now_s - self.wait_start_s))

    def preemptible(self) -> bool:
        """Return whether its attempt may be preempted."""
        return self.request.repeatable and self.preemptions < MAX_PREEMPTIONS


def record_failed_attempt(
    work: Work, endpoint: Endpoint, end: AttemptEnd, budget: RetryBudget
) -> Problem | None:
    """Count an attempt that did not complete, and decide whether to make another.

    Inputs: the work with its counts, the endpoint that had it, how the attempt ended, and the
    node's retry budget, from which a retry after a broken stream takes one token.
    Outcome: None for another attempt, else the problem that ends the request.
    Why: a preemption is springbridge's own decision and costs nothing; an endpoint that refused the
    request did not run it, so it may be sent to another; after a broken stream only repeatable work
    may be sent again, and only within the budget, so that retries cannot multiply an overload.
    """
    if end is AttemptEnd.PREEMPTED:
        work.preemptions += 1
        return None
    work.avoid.add(endpoint.name)
    if end is AttemptEnd.NOT_ADMITTED:
        work.refused_attempts += 1
        if work.refused_attempts >= MAX_REFUSED_ATTEMPTS:
            return adjust_if_started(work, Problem(Code.NO_ENGINE, retry_after_s=REFUSED_RETRY_S))
        return None
    if not work.request.repeatable:
        return Problem(Code.OUTCOME_UNKNOWN, "the engine's stream broke", endpoint.name)
    if not budget.try_retry():
        return Problem(Code.ENGINE_FAILED, "no retry left in the budget", endpoint.name)
    return None


def adjust_if_started(work: Work, problem: Problem) -> Problem:
    """Return the problem, replaced if it says NOT_RUN and the work has started."""
    if work.started and problem.info.fate is Fate.NOT_RUN:
        detail = f"given up after its start: {problem.code.name}"
        return Problem(Code.ENGINE_FAILED, detail, retry_after_s=problem.retry_after_s)
    return problem


def outcome_of(end: AttemptEnd) -> Outcome:
    """Return the outcome that is reported to the endpoint's scheduler."""
    return {
        AttemptEnd.COMPLETED: Outcome.DONE,
        AttemptEnd.PREEMPTED: Outcome.CANCELLED,
        AttemptEnd.NOT_ADMITTED: Outcome.ENDPOINT_REFUSED,
        AttemptEnd.STREAM_BROKEN: Outcome.ENDPOINT_FAILED,
    }[end]
