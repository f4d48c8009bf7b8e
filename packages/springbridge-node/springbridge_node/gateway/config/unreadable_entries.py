"""Logs the entries of the endpoint list that cannot be read, once for each content.

The list is read twice a second and an unreadable entry may stay for hours, so that a line for each
reading would fill the log with one fault.
"""

from collections import OrderedDict
from collections.abc import Iterable

from springbridge.routing.records import UnreadableEntry

from springbridge_node import logs

# Entries of which the log remembers that it named them, the latest ones. Above the number of
# endpoints of a large fleet, so that a list that is wholly unreadable is named once.
REMEMBERED = 2000


class UnreadableEntryLog:
    """Names each unreadable entry once.

    Attributes:
      count: Unreadable entries on the list that was read last.
    """

    def __init__(self) -> None:
        """Start with none named."""
        self.count = 0
        self._named: OrderedDict[UnreadableEntry, None] = OrderedDict()

    def note(self, entries: Iterable[UnreadableEntry]) -> None:
        """Take in the unreadable entries of a list that was read from the store."""
        found = tuple(entries)
        self.count = len(found)
        for entry in found:
            if entry not in self._named:
                logs.event("engines.unreadable", key=entry.key, reason=entry.reason)
            self._named[entry] = None
            self._named.move_to_end(entry)
        while len(self._named) > REMEMBERED:
            self._named.popitem(last=False)
