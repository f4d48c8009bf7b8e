"""The policies of scheduling that the settings can name."""

from springbridge.classes.ports import SlotSource
from springbridge.classes.slots.baselines import LeastLoadSlots, RoundRobinSlots
from springbridge.classes.slots.slot_client import SlotClient

from springbridge_node.class_router.endpoints.load_reports import LoadReports


def slot_source(policy: str, scheduled: SlotClient, reports: LoadReports) -> SlotSource:
    """Return where attempts get their slots under a policy."""
    if policy == "round-robin":
        return RoundRobinSlots()
    if policy == "least-load":
        return LeastLoadSlots(reports.load)
    return scheduled
