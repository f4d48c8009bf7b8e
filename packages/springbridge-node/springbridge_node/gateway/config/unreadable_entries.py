"""Logs entries of the endpoint list that cannot be parsed, once for each distinct entry.

The list is read twice a second and an unreadable entry may stay for hours; a line for each read
would fill the log with one fault.
"""

from collections import OrderedDict
from collections.abc import Iterable

from springbridge.routing.records import UnreadableEntry

from springbridge_node import logs

# Number of logged entries that are remembered, the latest ones. More than the endpoints of a large
# fleet, so that a wholly unreadable list is logged once.
MAX_REMEMBERED = 2000


class UnreadableEntryLog:
    """Logs each unreadable entry once.

    Attributes:
      count: Number of unreadable entries in the last list read.
    """

    def __init__(self) -> None:
        """Start with no entries logged."""
        self.count = 0
        self._logged: OrderedDict[UnreadableEntry, None] = OrderedDict()

    def note(self, entries: Iterable[UnreadableEntry]) -> None:
        """Count the unreadable entries of a list read from the store, and log the new ones."""
        found = tuple(entries)
        self.count = len(found)
        for entry in found:
            if entry not in self._logged:
                logs.event("engines.unreadable", key=entry.key, reason=entry.reason)
            self._logged[entry] = None
            self._logged.move_to_end(entry)
        while len(self._logged) > MAX_REMEMBERED:
            self._logged.popitem(last=False)
