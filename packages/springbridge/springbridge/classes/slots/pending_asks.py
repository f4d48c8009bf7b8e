"""The attempts that wait for a slot, the slots held, and the ask of an attempt at one endpoint."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Result

from springbridge.classes.decisions import Ask
from springbridge.classes.entities import Endpoint, Tier
from springbridge.classes.ports import Attempt, Slot
from springbridge.problems import Problem

# Least that is left of a latency target, in seconds, since schedulers take shares of it. An ask
# that has used up its target then counts as late almost at once.
SHORTEST_TARGET_S = 0.001


@dataclass
class Pending:
    """An attempt that waits for its first grant.

    Attributes:
      granted: Gets the slot, or the problem that refuses the attempt.
      started_s: When the attempt began.
      asks: Asks without a decision, or queued, by id.
      asked: Names of the endpoints that were asked.
      refusals: Times to come back, in seconds, by endpoint that refused.
      timers: To be cancelled at the end.
    """

    attempt: Attempt
    granted: "asyncio.Future[Result[Slot, Problem]]"
    started_s: float
    asks: dict[str, Ask] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    refusals: dict[str, float] = field(default_factory=dict)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


@dataclass
class Held:
    """A slot in use.

    Attributes:
      ask: The ask that got it.
      scheduler: Incarnation that schedules the endpoint, or None if nobody is known to.
      preempted: Set when the scheduler takes the slot back.
    """

    ask: Ask
    scheduler: str | None
    preempted: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True)
class AskTerms:
    """What differs between the asks of one attempt.

    Attributes:
      node: Incarnation of the entry node.
      fan: Endpoints at which the attempt asks at the same time.
      primary: Whether it is the first of them.
    """

    ask_id: str
    node: str
    endpoint: Endpoint
    fan: int
    primary: bool


def ask_for(pending: Pending, terms: AskTerms, now_s: float) -> Ask:
    """Return the ask of an attempt at one endpoint."""
    request = pending.attempt.request
    request_class = request.request_class
    first_s = request_class.first_token_ms / 1000
    target_s = first_s - (now_s - request.arrived_s)
    return Ask(
        ask_id=terms.ask_id,
        node=terms.node,
        endpoint=terms.endpoint.name,
        request_class=request_class.name,
        customer=request.customer,
        tier=request_class.tier,
        weight=request.weight,
        fan=terms.fan,
        max_wait_s=max(0.0, pending.attempt.wait_s - (now_s - pending.started_s)),
        target_s=max(SHORTEST_TARGET_S, target_s),
        first_s=first_s,
        between_s=request_class.between_tokens_ms / 1000,
        prompt_tokens=request.prompt_tokens,
        primary=terms.primary,
        preemptible=pending.attempt.resumable and request_class.tier is not Tier.URGENT,
    )
