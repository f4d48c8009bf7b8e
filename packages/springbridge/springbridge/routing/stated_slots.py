"""Bounds how much load an endpoint can draw by the number of slots that its entry states.

Decides how many slots each listed endpoint counts with.
Inputs: the entries of a list. Result: the entries, with fewer slots where one states far more than
the other endpoints of its service.
Why: nothing but its own entry says how many requests an endpoint runs at a time, and requests go
where the fewest run per slot. An odd entry would draw most of a service's load, and its endpoint
would never count as full. Endpoints of a service are alike, so the middle of them is believed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from springbridge.routing.records import EndpointEntry, EndpointSnapshot

# Most slots that an endpoint counts with, in multiples of those of the middle one of its service.
# It gets at most as many times its fair share of requests.
MAX_SLOTS_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class BoundedSlots:
    """An endpoint whose stated slots are not used.

    Attributes:
      stated: Slots by its entry.
      used: Slots that it counts with.
    """

    endpoint_id: str
    stated: int
    used: int


def with_bounded_slots(
    snapshot: EndpointSnapshot,
) -> tuple[EndpointSnapshot, tuple[BoundedSlots, ...]]:
    """Return a list whose endpoints count with bounded slots, and the endpoints that differ."""
    bounds = _bounds(snapshot.entries)
    bounded = tuple(
        BoundedSlots(entry.endpoint_id, entry.slots, bounds[entry.service])
        for entry in snapshot.entries
        if entry.slots > bounds[entry.service]
    )
    if not bounded:
        return snapshot, ()
    entries = tuple(
        replace(entry, slots=min(entry.slots, bounds[entry.service])) for entry in snapshot.entries
    )
    return replace(snapshot, entries=entries), bounded


def _bounds(entries: Iterable[EndpointEntry]) -> dict[str, int]:
    """Return the most slots that an endpoint of each service counts with."""
    slots: dict[str, list[int]] = {}
    for entry in entries:
        slots.setdefault(entry.service, []).append(entry.slots)
    return {service: int(MAX_SLOTS_FACTOR * _middle(stated)) for service, stated in slots.items()}


def _middle(stated: list[int]) -> int:
    """Return the upper median; of two numbers the lower one, as either may be odd."""
    return sorted(stated)[len(stated) // 2] if len(stated) > 2 else min(stated)
