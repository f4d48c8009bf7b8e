"""Cached view of the other known members, and of which of them count as running.

The set of running members is read far more often than it changes: at each digest, at each read of
the store and for many requests. It is therefore cached until something changes it: a member is
added, forgotten, enters another phase, becomes suspected or is heard of again. The earliest moment
at which a running member becomes suspected is known beforehand, when its last heartbeat grows too
old. The cache is exact: it is not used after that moment.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from springbridge.digest import Observation
from springbridge.member import Member, Phase
from springbridge.suspicion import GossipTiming


@dataclass(frozen=True, slots=True)
class _View:
    """The cached sets of members, and how long they are valid.

    Attributes:
      limit_s: Members whose last heartbeat was before this moment were suspected when the sets
        were computed.
      until_s: The moment after which the first member becomes suspected if no heartbeat arrives.
      unsuspected: The members that are not suspected, those that ended included.
      running: Those of them that have not ended.
      live: Those of them that are not leaving either.
    """

    limit_s: float
    until_s: float
    unsuspected: list[Observation]
    running: list[Observation]
    live: list[Observation]


class Observations:
    """The observed states of the other members.

    Attributes:
      version: Incremented whenever the set of members that run and are not leaving changes.
    """

    def __init__(self, clock: Callable[[], float], pace: GossipTiming) -> None:
        """Create an empty view.

        Args:
          clock: Returns monotonic time in seconds.
          pace: Sets when a member is suspected.
        """
        self._clock = clock
        self._pace = pace
        self._by_incarnation: dict[str, Observation] = {}
        self._cached: _View | None = None
        self._live_names: list[str] = []
        self.version = 0

    def find(self, incarnation: str) -> Observation | None:
        """Return a member, or None if it is unknown or forgotten."""
        return self._by_incarnation.get(incarnation)

    def all(self) -> Collection[Observation]:
        """Return all members that are not forgotten."""
        return self._by_incarnation.values()

    def unsuspected(self) -> list[Observation]:
        """Return the members that are not suspected, those that ended included."""
        return self._current().unsuspected

    def running(self) -> list[Observation]:
        """Return the members that run, leaving ones included."""
        return self._current().running

    def live(self) -> list[Observation]:
        """Return the members that run and are not leaving."""
        return self._current().live

    def suspected(self) -> list[Observation]:
        """Return the members that are suspected and not known to have ended."""
        limit_s = self._clock() - self._suspicion_time_s()
        return [
            each
            for each in self.all()
            if each.heartbeat_s < limit_s and each.member.phase is not Phase.GONE
        ]

    def add(self, observed: Observation) -> None:
        """Add a member or replace its observation."""
        self._by_incarnation[observed.member.incarnation] = observed
        self._cached = None

    def update(self, observed: Observation, member: Member) -> None:
        """Replace the state of a known member."""
        if member.phase is not observed.member.phase:
            self._cached = None
        observed.member = member

    def record_heartbeat(self, observed: Observation, heartbeat_s: float, reported_by: str) -> None:
        """Record a heartbeat, unless a later one is known.

        Args:
          observed: The member.
          heartbeat_s: When the member sent it, by this node's clock.
          reported_by: Incarnation of the peer that reported it.
        """
        if heartbeat_s <= observed.heartbeat_s:
            return
        if self._cached is not None and observed.heartbeat_s < self._cached.limit_s:
            self._cached = None
        observed.heartbeat_s = heartbeat_s
        observed.reported_by = reported_by

    def cap_heartbeat(self, observed: Observation, heartbeat_s: float) -> None:
        """Treat a member's last heartbeat as sent no later than a moment."""
        if heartbeat_s < observed.heartbeat_s:
            observed.heartbeat_s = heartbeat_s
            self._cached = None

    def forget_before(self, limit_s: float) -> None:
        """Drop the members whose last heartbeat is older than a moment."""
        self._by_incarnation = {
            incarnation: observed
            for incarnation, observed in self._by_incarnation.items()
            if observed.heartbeat_s > limit_s
        }
        self._cached = None

    def _current(self) -> _View:
        """Return the current sets of members, from the cache if it is still valid."""
        now_s = self._clock()
        if self._cached is None or now_s > self._cached.until_s:
            self._cached = self._compute(now_s)
            self._bump_version(self._cached.live)
        return self._cached

    def _compute(self, now_s: float) -> _View:
        """Compute the sets of members by a scan of all members."""
        timeout_s = self._suspicion_time_s()
        limit_s = now_s - timeout_s
        unsuspected = [each for each in self.all() if each.heartbeat_s >= limit_s]
        running = [each for each in unsuspected if each.member.phase is not Phase.GONE]
        live = [each for each in running if each.member.phase is Phase.LIVE]
        oldest_s = min((each.heartbeat_s for each in unsuspected), default=float("inf"))
        return _View(limit_s, oldest_s + timeout_s, unsuspected, running, live)

    def _bump_version(self, live: list[Observation]) -> None:
        """Increment the version if the set of live members has changed."""
        names = [each.member.incarnation for each in live]
        if names != self._live_names:
            self._live_names = names
            self.version += 1

    def _suspicion_time_s(self) -> float:
        """Return the age of a last heartbeat beyond which its member is suspected, in seconds.

        Incarnations at one peer address count as one node. Otherwise the ended incarnations would
        double the suspicion time for a minute after a restart of all nodes.
        """
        nodes = len({each.member.peer_address for each in self.all()}) + 1
        return self._pace.suspect_s * self._pace.stretch(nodes)
