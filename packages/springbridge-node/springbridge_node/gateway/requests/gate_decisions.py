"""The decisions of the gates that keep crashing requests and parts of prompts from endpoints."""

import asyncio
from dataclasses import dataclass

from springbridge.problems import Problem
from springbridge.routing import giving_up

from springbridge_node import clock
from springbridge_node.gateway.requests.exchange import Exchange

# Seconds between two checks of a request that waits for a trial. A small share of the time that a
# request takes.
TRIAL_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class GateDecision:
    """A gate's decision on whether an attempt may be made now.

    Attributes:
      may_send: Whether it may; if not and there is no problem, an endpoint has to be selected
        again.
      trial: Id of the trial of the whole request that the attempt is, whose end has to be
        reported; "" for none.
      part_trial: The same for a trial of parts of its prompt.
      problem: Why the request is given up, or None.
    """

    may_send: bool = False
    trial: str = ""
    part_trial: str = ""
    problem: Problem | None = None


ALLOWED = GateDecision(may_send=True)
RESELECT = GateDecision()


async def wait_for_trial(exchange: Exchange) -> GateDecision:
    """Wait a moment for another trial to end, or give up a request that has waited too long."""
    progress = exchange.progress
    now_s = clock.now_s()
    progress.held_since_s = progress.held_since_s or now_s
    if now_s - progress.held_since_s > giving_up.max_trial_wait_s(exchange.route):
        problem = giving_up.while_trial_pending(exchange.attempts())
        return GateDecision(problem=problem)
    progress.avoided.clear()
    await asyncio.sleep(TRIAL_POLL_INTERVAL_S)
    return RESELECT
