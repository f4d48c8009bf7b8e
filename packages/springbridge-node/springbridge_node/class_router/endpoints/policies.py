"""The scheduling policies that the settings can name."""

from springbridge.classes.ports import SlotSource
from springbridge.classes.slots.baselines import LeastLoadSlots, RoundRobinSlots
from springbridge.classes.slots.slot_client import SlotClient

from springbridge_node.class_router.endpoints.load_reports import LoadReports
from springbridge_node.class_router.serve_settings import Policy


def slot_source(policy: str, scheduled: SlotClient, reports: LoadReports) -> SlotSource:
    """Return the source of slots for a policy; the two baselines are for comparison."""
    if policy == Policy.ROUND_ROBIN:
        return RoundRobinSlots()
    if policy == Policy.LEAST_LOAD:
        return LeastLoadSlots(reports.load)
    return scheduled
