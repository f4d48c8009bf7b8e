"""Logs rows of the store that cannot be read, once for each distinct content.

The list of endpoints is read twice a second and an unreadable row may stay for hours; a line for
each read would fill the log with one fault. Of many new ones at once a few are logged with each
read, until all have been.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from springbridge.item_reader import UnreadableItem

# Number of logged items that are remembered, the latest ones: 5,000 rows that cannot be read are
# logged once. As hashes they take about 2 MB.
MAX_REMEMBERED = 10_000
# Most items that are logged with one read, which may come twice a second: a fifth of the lines that
# the log takes.
MAX_LOGGED_AT_ONCE = 20


class UnreadableItemLog:
    """Logs each unreadable item once.

    Attributes:
      count: Number of unreadable items in the last read.
    """

    def __init__(self, log: Callable[[UnreadableItem], None]) -> None:
        """Start with nothing logged.

        Args:
          log: Writes the line of an item.
        """
        self.count = 0
        self._log = log
        self._logged: OrderedDict[int, None] = OrderedDict()

    def note(self, items: Iterable[UnreadableItem]) -> None:
        """Count the unreadable items of a read, and log new ones."""
        found = tuple(items)
        self.count = len(found)
        left = MAX_LOGGED_AT_ONCE
        for item in found:
            name = hash((item.key, item.content_hash))
            if name in self._logged:
                self._logged.move_to_end(name)
            elif left:
                left -= 1
                self._log(item)
                self._logged[name] = None
        while len(self._logged) > MAX_REMEMBERED:
            self._logged.popitem(last=False)
