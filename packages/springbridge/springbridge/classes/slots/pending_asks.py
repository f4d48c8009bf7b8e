"""What an attempt asks of schedulers, and which endpoints it prefers."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Result

from springbridge.classes.decisions import (
    Ask,
)
from springbridge.classes.entities import Endpoint, Request, Tier
from springbridge.classes.ports import Attempt, Slot
from springbridge.hashing import ranking
from springbridge.problems import Problem

URGENT_PREFERENCE = "urgent"
URGENT_PREFERRED = 2


@dataclass
class Pending:
    """An attempt that waits for its first grant."""

    attempt: Attempt
    granted: "asyncio.Future[Result[Slot, Problem]]"
    started_s: float
    asks: dict[str, Ask] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    refusals: dict[str, float] = field(default_factory=dict)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


@dataclass
class Held:
    """A slot in use."""

    ask: Ask
    scheduler: str | None
    preempted: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True)
class AskTerms:
    """What differs between the asks of one attempt.

    Attributes:
      node: Incarnation of the entry node.
      fan: Engines that the attempt asks at the same time.
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
        target_s=max(0.001, target_s),
        first_s=first_s,
        between_s=request_class.between_tokens_ms / 1000,
        prompt_tokens=request.prompt_tokens,
        primary=terms.primary,
        preemptible=pending.attempt.resumable and request_class.tier is not Tier.URGENT,
    )


def preferred(request: Request, names: dict[str, float]) -> list[str]:
    """Return the endpoints that a request prefers, the best first."""
    if request.request_class.tier is Tier.URGENT:
        return ranking(URGENT_PREFERENCE, names)[:URGENT_PREFERRED]
    if request.affinity:
        return ranking(request.affinity, names)[:1]
    return []


def endpoint_named(attempt: Attempt, name: str) -> Endpoint:
    """Return the attempt's endpoint of that name."""
    return next(endpoint for endpoint in attempt.endpoints if endpoint.name == name)
