"""What a request's attempts are made of: the work, what is seen of an attempt, how it ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from springbridge.classes.decisions import Outcome, Sample
from springbridge.classes.entities import Endpoint, EndpointKind, Request
from springbridge.classes.stream import Chunk
from springbridge.codes import Code, Fate
from springbridge.problems import Problem

# Silence that counts as a stall, in latency targets between tokens: 2 s at a target of 65 ms.
# Not measured.
STALL_TARGETS = 30
# Shortest silence that counts as a stall, so that a short pause of an endpoint with tight targets
# does not end its streams. Not measured.
SHORTEST_STALL_S = 2.0
# The same in latency targets for the first token. Not measured; twice leaves room for a long
# prompt.
FIRST_TOKEN_TARGETS = 2
# Silence that counts as a stall at a plain service, which sends nothing before its whole answer;
# the same as the HTTP client's longest wait for one.
SERVICE_STALL_S = 60.0


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
      endpoints: Returns the endpoints that the request may use under the table in force.
      bound: Whether attempts are recorded at this home, as the request is not repeatable.
      wait_from_s: From when the present wait is counted.
      started: Whether an endpoint may have worked on it.
      avoid: Engines that failed this request.
    """

    request: Request
    body: bytes
    path: str
    endpoints: Callable[[], tuple[Endpoint, ...]]
    bound: bool
    wait_from_s: float
    attempts: int = 0
    preemptions: int = 0
    refused_attempts: int = 0
    started: bool = False
    avoid: set[str] = field(default_factory=set)

    def job_id(self) -> str:
        """Return the id of the present attempt: the request's own where there is but one."""
        if self.bound:
            return self.request.request_id
        return f"{self.request.request_id}.{self.attempts}"


@dataclass
class Progress:
    """What is seen of one attempt."""

    started_s: float
    first_s: float = 0.0
    first_tokens: int = 0
    last_s: float = 0.0
    tokens: int = 0
    sampled_s: float = 0.0
    sampled_tokens: int = 0
    stalled: bool = False
    preempted: bool = False

    def sample(self, ask_id: str) -> Sample:
        """Return the latencies since the last sample."""
        first_token_s = 0.0
        if self.tokens and not self.sampled_s:
            first_token_s = self.first_s - self.started_s
            self.sampled_s = self.first_s
            self.sampled_tokens = self.first_tokens
        fresh = self.tokens - self.sampled_tokens
        between_s = (self.last_s - self.sampled_s) / fresh if fresh else 0.0
        self.sampled_s = self.last_s
        self.sampled_tokens = self.tokens
        return Sample(ask_id, first_token_s, between_s, self.tokens)


def note(progress: Progress, chunk: Chunk, now_s: float) -> None:
    """Note the arrival of a chunk."""
    if not progress.tokens:
        progress.first_s = now_s
        progress.first_tokens = chunk.tokens
    progress.last_s = now_s
    progress.tokens += chunk.tokens


def stall_s_of(request: Request, endpoint: Endpoint) -> float:
    """Return the silence after which an attempt counts as stalled."""
    if endpoint.kind is EndpointKind.SERVICE:
        return SERVICE_STALL_S
    target_s = request.request_class.between_tokens_ms / 1000
    first_s = request.request_class.first_token_ms / 1000
    return max(SHORTEST_STALL_S, STALL_TARGETS * target_s, FIRST_TOKEN_TARGETS * first_s)


def outcome_of(end: End) -> Outcome:
    """Return what the scheduler is told of an attempt."""
    return {
        End.WHOLE: Outcome.DONE,
        End.PREEMPTED: Outcome.CANCELLED,
        End.TURNED_AWAY: Outcome.ENDPOINT_REFUSED,
        End.BROKEN: Outcome.ENGINE_FAILED,
    }[end]


def after_start(work: Work, problem: Problem) -> Problem:
    """Return a problem that does not promise NOT_RUN for work that has started."""
    if work.started and problem.info.fate is Fate.NOT_RUN:
        detail = f"given up after its start: {problem.code.name}"
        return Problem(Code.ENGINE_FAILED, detail, retry_after_s=problem.retry_after_s)
    return problem
