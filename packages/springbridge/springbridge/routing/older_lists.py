"""What still holds of endpoints when the store has come back from an older copy.

Decided: which entries of a list that stems from an older copy are passed over, and which are taken
as draining.
Inputs: the list, the entries in use, and the endpoints that have left a short while ago.
Outcome: the entries to use.
Why: an endpoint that said that it leaves, or that has left, stands on the older copy as it was
before, and one that started again may stand there with its earlier run. Endpoints that live write
their entries again within about two seconds; until then what was known before holds, so that no
request is sent to one that is leaving or gone.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from springbridge.routing.records import EndpointEntry

# Seconds after the return within which live endpoints have written their entries again, and the
# platform has dropped those of the dead.
SETTLED_S = 6.0
# Seconds for which an endpoint that left the list is remembered; above the age of any copy that the
# store comes back from.
REMEMBERED_S = 60.0


class OlderLists:
    """Corrects lists for some seconds after the store has come back from an older copy."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a store that has not."""
        self._clock = clock
        self._went_back_s = float("-inf")
        self._left_s: dict[str, float] = {}

    def went_back(self) -> None:
        """Note that the store has come back from an older copy."""
        self._went_back_s = self._clock()

    def left(self, endpoint_id: str) -> None:
        """Note that an endpoint has left the list while the store was up."""
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
          known: Returns the entry in use so far of an endpoint, None if there is none.
        """
        listed = {entry.endpoint_id: entry for entry in entries}
        if self._clock() > self._went_back_s + SETTLED_S:
            return listed
        return {
            name: _as_known(entry, known(name))
            for name, entry in listed.items()
            if name not in self._left_s
        }


def _as_known(listed: EndpointEntry, known: EndpointEntry | None) -> EndpointEntry:
    """Return a listed entry, corrected by the one in use.

    An earlier run of the endpoint has ended, and the later one is at the address. The same run
    drains if it was known to.
    """
    if known is not None and _is_earlier(listed, known):
        return known
    if known is None or not known.draining or known.incarnation != listed.incarnation:
        return listed
    return replace(listed, draining=True)


def _is_earlier(one: EndpointEntry, other: EndpointEntry) -> bool:
    """Return whether an entry is about an earlier run of an endpoint than another one."""
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms < other.born_ms
