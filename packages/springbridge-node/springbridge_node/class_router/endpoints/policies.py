"""Slot sources for the scheduling policies that can be set by the setting policy.

Two of them, round robin and least load, are baselines for comparison.
"""

from springbridge.classes.ports import SlotSource
from springbridge.classes.slots.baselines import LeastLoadSlots, RoundRobinSlots
from springbridge.classes.slots.slot_client import SlotClient

from springbridge_node.class_router.endpoints.load_reports import LoadReports
from springbridge_node.class_router.serve_settings import Policy


def slot_source_for(policy: str, scheduled: SlotClient, reports: LoadReports) -> SlotSource:
    """Return the slot source for a policy; round robin and least load are baselines."""
    if policy == Policy.ROUND_ROBIN:
        return RoundRobinSlots()
    if policy == Policy.LEAST_LOAD:
        return LeastLoadSlots(reports.load)
    return scheduled
