"""Corrects endpoint lists read after the store was restored from an older copy.

Decides which outdated entries of such a list are ignored, and which count as draining.
Inputs: the list, the entries in use, and the endpoints that left recently.
Result: the entries to use.
An endpoint that is leaving or has left appears on the older copy as it was before, and one that has
restarted may appear with its earlier incarnation. Live endpoints write their entries again within
about two seconds. Until then the earlier knowledge takes precedence, so that no request is sent to
an endpoint that is leaving or has ended.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from springbridge.routing.records import EndpointEntry

# Seconds after the store was restored within which live endpoints have written their entries again
# and the platform has removed those of ended ones.
SETTLED_S = 6.0
# Seconds for which an endpoint that left the list is remembered; above the age of any copy from
# which the store is restored.
REMEMBERED_S = 60.0


class StoreRollbackCorrector:
    """Corrects lists for SETTLED_S seconds after the store was restored from an older copy."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a store that was not restored; clock is monotonic, in seconds."""
        self._clock = clock
        self._rolled_back_s = float("-inf")
        self._left_s: dict[str, float] = {}

    def record_rollback(self) -> None:
        """Record that the store was restored from an older copy now."""
        self._rolled_back_s = self._clock()

    def is_settled(self) -> bool:
        """Return whether the list names the endpoints as they are: no older copy may be in use."""
        return self._clock() > self._rolled_back_s + SETTLED_S

    def record_departure(self, endpoint_id: str) -> None:
        """Record that an endpoint has left the list while the store was up."""
        now_s = self._clock()
        self._left_s = {
            name: at_s for name, at_s in self._left_s.items() if at_s > now_s - REMEMBERED_S
        }
        self._left_s[endpoint_id] = now_s

    def corrected(
        self,
        entries: Iterable[EndpointEntry],
        known: Callable[[str], EndpointEntry | None],
    ) -> dict[str, EndpointEntry]:
        """Return the entries to use, by id.

        Args:
          known: Returns the current entry of an endpoint by its id, None if there is none.
        """
        listed = {entry.endpoint_id: entry for entry in entries}
        if self.is_settled():
            return listed
        return {
            name: _as_known(entry, known(name))
            for name, entry in listed.items()
            if name not in self._left_s
        }


def _as_known(listed: EndpointEntry, known: EndpointEntry | None) -> EndpointEntry:
    """Return a listed entry, corrected by the entry in use.

    If the list has an earlier incarnation, that one has ended and the known later one is used. The
    same incarnation stays draining if it was known to be draining.
    """
    if known is not None and _is_earlier(listed, known):
        return known
    if known is None or not known.draining or known.incarnation != listed.incarnation:
        return listed
    return replace(listed, draining=True)


def _is_earlier(one: EndpointEntry, other: EndpointEntry) -> bool:
    """Return whether an entry has an earlier start time than another; False if one is unknown."""
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms < other.born_ms
