"""Records of the entry node: attempts that wait for a slot, slots in use, and slot requests."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Result

from springbridge.classes.decisions import SlotRequest
from springbridge.classes.entities import Endpoint, Tier
from springbridge.classes.ports import Attempt, Slot
from springbridge.problems import Problem

# Lower bound of the remaining latency target; it must stay above zero because schedulers take
# shares of it. A slot request that has used up its target then counts as late almost at once.
SHORTEST_TARGET_S = 0.001


@dataclass
class Pending:
    """An attempt that waits for its first grant.

    Attributes:
      granted: Gets the slot, or the problem that refuses the attempt.
      started_s: When the attempt began.
      slot_requests: Slot requests without a decision, or queued, by id.
      asked: Names of the endpoints at which a slot was requested.
      refusals: Seconds after which to retry, by endpoint that refused.
      timers: Cancelled when the attempt has its result.
    """

    attempt: Attempt
    granted: "asyncio.Future[Result[Slot, Problem]]"
    started_s: float
    slot_requests: dict[str, SlotRequest] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    refusals: dict[str, float] = field(default_factory=dict)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


@dataclass
class Held:
    """A slot in use.

    Attributes:
      slot_request: The slot request that got it.
      scheduler: Incarnation of the node that schedules the endpoint; None if none is known.
      preempted: Set when the scheduler takes the slot back.
    """

    slot_request: SlotRequest
    scheduler: str | None
    preempted: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True)
class SlotRequestTerms:
    """What differs between the slot requests of one attempt.

    Attributes:
      node: Incarnation of the entry node.
      fan: Endpoints at which the attempt requests a slot at the same time.
      primary: Whether it is the attempt's first slot request.
    """

    slot_request_id: str
    node: str
    endpoint: Endpoint
    fan: int
    primary: bool


def slot_request_for(pending: Pending, terms: SlotRequestTerms, now_s: float) -> SlotRequest:
    """Return the slot request of an attempt at one endpoint."""
    request = pending.attempt.request
    request_class = request.request_class
    first_s = request_class.first_token_ms / 1000
    target_s = first_s - (now_s - request.arrived_s)
    return SlotRequest(
        slot_request_id=terms.slot_request_id,
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
