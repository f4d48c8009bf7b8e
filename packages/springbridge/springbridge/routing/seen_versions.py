"""Which versions the endpoints of each service have had lately, as one instance has seen them.

A stream whose origin nobody knows may go on if its service has had a single version for longer than
the stream can have run. That takes a list of endpoints that was followed without a gap.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from springbridge.routing.records import EndpointEntry

# Seconds for which a version is remembered after its last endpoint has left the list.
REMEMBERED_S = 300.0
# Longest time in seconds without a current list in which no endpoint can come and go unseen: its
# entry stays for some heartbeats of about a second.
MAX_GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class SeenReport:
    """The versions of a service that an instance has seen during some time.

    Attributes:
      versions: The versions, None among them if an endpoint's version was unknown.
      watched_s: For how many seconds it has followed the list without a gap.
    """

    versions: frozenset[str | None]
    watched_s: float


class SeenVersions:
    """The versions on the lists that an instance has installed."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without a list; clock is monotonic, in seconds."""
        self._clock = clock
        self._since_s: float | None = None
        self._listed: frozenset[tuple[str, str | None]] = frozenset()
        self._left_s: dict[tuple[str, str | None], float] = {}

    def note(self, entries: Iterable[EndpointEntry], gap_s: float, went_back: bool) -> None:
        """Record a list that is installed.

        Args:
          gap_s: Seconds since the list before was known to be the newest.
          went_back: Whether the store was restored from an older copy, which may lack endpoints.
        """
        now_s = self._clock()
        if self._since_s is None or went_back or gap_s > MAX_GAP_S:
            self._since_s = now_s
        listed = frozenset((entry.service, entry.version) for entry in entries)
        self._left_s |= dict.fromkeys(self._listed - listed, now_s)
        self._left_s = {
            each: left_s
            for each, left_s in self._left_s.items()
            if each not in listed and left_s > now_s - REMEMBERED_S
        }
        self._listed = listed

    def report(self, service: str, span_s: float) -> SeenReport:
        """Return the versions that a service has had within some seconds."""
        now_s = self._clock()
        pairs = self._listed | {
            each for each, left_s in self._left_s.items() if left_s >= now_s - span_s
        }
        versions = frozenset(version for name, version in pairs if name == service)
        watched_s = 0.0 if self._since_s is None else now_s - self._since_s
        return SeenReport(versions, watched_s)
