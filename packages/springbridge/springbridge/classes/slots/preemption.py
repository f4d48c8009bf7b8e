"""Preemption: chooses the running work that is stopped to free a slot for a waiting slot request.

Decides whether a waiting slot request takes a slot back from running work, and from which.
Inputs: tiers, start times and preemptible flags of the running work, the predicted wait and what is
left of the slot request's latency target (both in seconds), and the number of slot requests ahead.
Result: the most recently started work of the lowest tier below that of the slot request, or none.
Work of the same or a higher tier is never preempted, nor is work that is not preemptible.
Preemption lets urgent requests meet their targets; the work that started last loses least.
Preempted work continues at another endpoint from its offset in the answer.
"""

from collections.abc import Iterable

from springbridge.classes.decisions import SlotRequest
from springbridge.classes.entities import Tier
from springbridge.classes.slots.endpoint_slots import Running
from springbridge.classes.slots.fair_queue import LATE_TARGET_SHARE

# Share of the remaining latency target above which a predicted wait makes a slot request preempt,
# at its first endpoint only. It leaves most of the target to the endpoint.
PREEMPT_TARGET_SHARE = 0.25

assert PREEMPT_TARGET_SHARE < LATE_TARGET_SHARE, "preemption starts at the first endpoint"


def preempts_before_late(slot_request: SlotRequest, wait_s: float) -> bool:
    """Return whether a slot request preempts here although it is not late yet.

    Args:
      wait_s: Its predicted wait at this endpoint.
    """
    return slot_request.primary and wait_s > PREEMPT_TARGET_SHARE * slot_request.target_s


def preemptible_below(running: Iterable[Running], tier: Tier) -> list[Running]:
    """Return the work of lower tiers that may be preempted and is not stopping already."""
    return [run for run in running if run.is_preemptible and run.slot_request.tier > tier]


def choose_victim(running: Iterable[Running], tier: Tier, requests_ahead: float) -> Running | None:
    """Return the running work to preempt for a slot request, or None.

    Args:
      tier: Tier of the slot request.
      requests_ahead: Waiting slot requests of its tier and above, its own included. Each takes one
        of the slots that are being given back already.
    """
    running = list(running)
    if sum(run.stopping for run in running) >= requests_ahead:
        return None
    victims = preemptible_below(running, tier)
    if not victims:
        return None
    return max(victims, key=lambda run: (run.slot_request.tier, run.since_s))
