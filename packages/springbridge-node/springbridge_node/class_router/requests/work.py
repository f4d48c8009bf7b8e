"""A request with what it takes to run it, and the rules on what its failures lead to.

Owns Work, which the runner changes as attempts end. Pure: no clock, no sockets.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from springbridge.classes.decisions import Outcome
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.retry_budget import RetryBudget
from springbridge.codes import Code, Fate
from springbridge.problems import Problem

# Preemptions that one request has to bear; after them its work counts as fixed and never takes the
# last slot of an endpoint.
MAX_PREEMPTIONS = 2
# Endpoints that may turn one request away before it is given up. No budget applies to these
# retries, as nothing ran.
MAX_REFUSED_ATTEMPTS = 4
# When the caller of such a request may come back.
REFUSED_RETRY_S = 1.0


class End(Enum):
    """How one attempt ended."""

    WHOLE = auto()
    PREEMPTED = auto()
    TURNED_AWAY = auto()
    BROKEN = auto()


@dataclass
class Work:
    """A request with what it takes to run it.

    Attributes:
      path: Path below a plain service, empty for models.
      endpoints: Returns the endpoints that the request may use under the table in force.
      wait_from_s: From when the present wait is counted, on the node's monotonic clock.
      started: Whether an endpoint may have worked on it.
      avoid: Names of endpoints that failed this request.
    """

    request: Request
    body: bytes
    path: str
    endpoints: Callable[[], tuple[Endpoint, ...]]
    wait_from_s: float
    attempts: int = 0
    preemptions: int = 0
    refused_attempts: int = 0
    started: bool = False
    avoid: set[str] = field(default_factory=set)

    def job_id(self) -> str:
        """Return the id of the present attempt: the request's own where there is but one."""
        if not self.request.repeatable:
            return self.request.request_id
        return f"{self.request.request_id}.{self.attempts}"

    def wait_left_s(self, now_s: float) -> float:
        """Return how long the request may still wait for a slot."""
        return max(0.0, self.request.max_wait_s - (now_s - self.wait_from_s))

    def resumable(self) -> bool:
        """Return whether its attempt may be preempted."""
        return self.request.repeatable and self.preemptions < MAX_PREEMPTIONS


def next_step(work: Work, endpoint: Endpoint, end: End, budget: RetryBudget) -> Problem | None:
    """Decide whether an attempt that did not bring the whole answer is followed by another.

    Inputs: the work with its counts, the endpoint that had it, how the attempt ended, and the
    node's retry budget, from which a repeated attempt takes one token.
    Outcome: None for another attempt, else the problem that ends the request.
    Why: a preemption is springbridge's own doing and costs nothing; an endpoint that turned the
    request away did not run it, so another may have it; after a broken stream only repeatable work
    may be sent again, and only within the budget, so that retries cannot multiply an overload.
    """
    if end is End.PREEMPTED:
        work.preemptions += 1
        return None
    work.avoid.add(endpoint.name)
    if end is End.TURNED_AWAY:
        work.refused_attempts += 1
        if work.refused_attempts >= MAX_REFUSED_ATTEMPTS:
            return after_start(work, Problem(Code.NO_ENGINE, retry_after_s=REFUSED_RETRY_S))
        return None
    if not work.request.repeatable:
        return Problem(Code.OUTCOME_UNKNOWN, "the engine's stream broke", endpoint.name)
    if not budget.try_retry():
        return Problem(Code.ENGINE_FAILED, "no retry left in the budget", endpoint.name)
    return None


def after_start(work: Work, problem: Problem) -> Problem:
    """Return a problem that does not promise NOT_RUN for work that has started."""
    if work.started and problem.info.fate is Fate.NOT_RUN:
        detail = f"given up after its start: {problem.code.name}"
        return Problem(Code.ENGINE_FAILED, detail, retry_after_s=problem.retry_after_s)
    return problem


def outcome_of(end: End) -> Outcome:
    """Return the outcome that the endpoint's scheduler learns from."""
    return {
        End.WHOLE: Outcome.DONE,
        End.PREEMPTED: Outcome.CANCELLED,
        End.TURNED_AWAY: Outcome.ENDPOINT_REFUSED,
        End.BROKEN: Outcome.ENDPOINT_FAILED,
    }[end]
