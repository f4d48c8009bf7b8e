"""Paths from this instance to endpoints: which are lost, which are doubtful, when they are retried.

A path is a fact about two ends. That a connection does not come up shows only that this instance
does not reach the endpoint. If a peer reaches it at the same time, the path is lost and the
endpoint is up: its requests go through peers until a connection comes up again.

Decided: whether to connect directly or through a peer, whether an idle connection may be reused,
and which lost paths are probed next.
Inputs: connections that came up and paths that were found lost; times in seconds of the instance's
monotonic clock.
Why: a link of an instance carries many paths, so one that is lost makes the others doubtful, and
one that is back makes the other lost ones worth a try. A path that is lost again and again, as on a
link that drops packets, is retried ever more seldom.

While no path is lost nothing is kept and nothing is computed.
"""

from collections.abc import Callable, Set
from dataclasses import dataclass

from springbridge.routing.records import EndpointIncarnation

# Seconds from the loss of a path to the first probe of it.
FIRST_RETRY_S = 0.25
# Maximum number of doublings of the time to the next probe; the longest is 4 s.
MAX_DOUBLINGS = 4
# Seconds after its return for which a path that is lost again counts as unstable.
UNSTABLE_S = 10.0
# Seconds for which connections through a peer are still reused after the path is back, so that a
# path that does not last costs no connections.
SETTLE_S = 2.0
# Number of endpoints whose paths were lost within DOUBT_S from which all others are doubtful: one
# alone may be the link of an endpoint.
LOSSES_TO_DOUBT = 2
# Seconds after a loss within which the other paths are verified before they are used.
DOUBT_S = 3.0


@dataclass(slots=True)
class LostPath:
    """A path that is lost, or was until a moment ago.

    Attributes:
      lost_s: When it was lost last.
      doublings: How often the time to the next probe is doubled.
      next_probe_s: When it is probed next.
      back_s: When it came back; None while it is lost.
    """

    lost_s: float
    doublings: int
    next_probe_s: float
    back_s: float | None = None


class PathTable:
    """The paths of one instance that are lost or were lost recently."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with all paths intact.

        Args:
          clock: Monotonic clock in seconds.
        """
        self._clock = clock
        self._lost: dict[EndpointIncarnation, LostPath] = {}
        self._verified_s: dict[EndpointIncarnation, float] = {}

    def is_lost(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether the path to an endpoint is lost."""
        path = self._lost.get(incarnation)
        return path is not None and path.back_s is None

    def lost(self) -> list[EndpointIncarnation]:
        """Return the endpoints whose paths are lost."""
        return [each for each, path in self._lost.items() if path.back_s is None]

    def is_doubtful(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether connections to an endpoint that were opened earlier may be dead.

        They are if the paths to other endpoints were lost a moment ago and this one was not
        verified since.
        """
        if not self._lost:
            return False
        since_s = self._clock() - DOUBT_S
        losses_s = [path.lost_s for path in self._lost.values() if path.lost_s > since_s]
        if len(losses_s) < LOSSES_TO_DOUBT:
            return False
        return self._verified_s.get(incarnation, float("-inf")) < max(losses_s)

    def prefers_direct(self, incarnation: EndpointIncarnation) -> bool:
        """Return whether an idle connection through a peer is not used any more."""
        path = self._lost.get(incarnation)
        if path is None:
            return True
        return path.back_s is not None and self._clock() - path.back_s > SETTLE_S

    def record_lost(self, incarnation: EndpointIncarnation) -> bool:
        """Record that a peer reaches an endpoint and this instance does not; return if it is new.

        Also to be called when a probe of a lost path fails.
        """
        now_s = self._clock()
        path = self._lost.get(incarnation)
        if path is None:
            self._lost[incarnation] = LostPath(now_s, 0, now_s + FIRST_RETRY_S)
            return True
        is_new = path.back_s is not None
        path.doublings = min(path.doublings + 1, MAX_DOUBLINGS)
        path.next_probe_s = now_s + FIRST_RETRY_S * 2**path.doublings
        if is_new:
            path.lost_s, path.back_s = now_s, None
        return is_new

    def record_up(self, incarnation: EndpointIncarnation) -> bool:
        """Record that a direct connection came up; return whether the path was lost before."""
        if not self._lost:
            return False
        now_s = self._clock()
        self._verified_s[incarnation] = now_s
        path = self._lost.get(incarnation)
        if path is None or path.back_s is not None:
            return False
        path.back_s = now_s
        for other in self._lost.values():
            other.next_probe_s = min(other.next_probe_s, now_s)
        return True

    def due(self) -> list[EndpointIncarnation]:
        """Return the endpoints whose lost paths are to be probed now, the longest due first."""
        now_s = self._clock()
        found = [
            (path.next_probe_s, incarnation)
            for incarnation, path in self._lost.items()
            if path.back_s is None and path.next_probe_s <= now_s
        ]
        return [incarnation for _, incarnation in sorted(found, key=lambda each: each[0])]

    def forget_old(self, known: Set[EndpointIncarnation]) -> None:
        """Drop endpoints that are gone, and paths that have been back for UNSTABLE_S."""
        before_s = self._clock() - UNSTABLE_S
        self._lost = {
            incarnation: path
            for incarnation, path in self._lost.items()
            if incarnation in known and (path.back_s is None or path.back_s > before_s)
        }
        if not self._lost:
            self._verified_s.clear()
