"""Preemption: which running request gives way to a waiting one?

Decided: whether a waiting ask takes a slot back from running work, and from which. Inputs: tiers,
start times and preemptible flags of what runs, the predicted wait and what is left of the ask's
latency target (both in seconds), and how many asks are ahead. Outcome: the youngest work of the
lowest tier below the ask's, or none. Work of the same or a higher tier never gives way, nor does
work that may not be stopped. Why: the urgent meet their targets, and the youngest work loses least.
Preempted work goes on elsewhere from its offset. No measurement set the constants.
"""

from collections.abc import Iterable

from springbridge.classes.decisions import Ask
from springbridge.classes.entities import Tier
from springbridge.classes.slots.endpoint_slots import Running
from springbridge.classes.slots.fair_queue import LATE_TARGET_SHARE

# Share of the rest of its latency target that an ask may be predicted to wait before it preempts,
# at its first endpoint only. It leaves most of the target to the endpoint.
PREEMPT_TARGET_SHARE = 0.25

assert PREEMPT_TARGET_SHARE < LATE_TARGET_SHARE, "an ask preempts at its first endpoint first"


def is_due(ask: Ask, wait_s: float) -> bool:
    """Return whether an ask preempts at this endpoint, given its predicted wait in seconds."""
    return ask.primary and wait_s > PREEMPT_TARGET_SHARE * ask.target_s


def yielding_below(running: Iterable[Running], tier: Tier) -> list[Running]:
    """Return the work of lower tiers that may be preempted and is not stopping yet."""
    return [run for run in running if run.yields and run.ask.tier > tier]


def choose_victim(running: Iterable[Running], tier: Tier, asks_ahead: float) -> Running | None:
    """Return the work that gives way to an ask, or None.

    Args:
      tier: Tier of the ask.
      asks_ahead: Waiting asks of its tier and above, its own included. Each takes one of the slots
        that are being given back already.
    """
    running = list(running)
    if sum(run.stopping for run in running) >= asks_ahead:
        return None
    victims = yielding_below(running, tier)
    if not victims:
        return None
    return max(victims, key=lambda run: (run.ask.tier, run.since_s))
