"""The members that a node has heard of, and which of them count as running.

A node asks who runs far more often than that changes: at each digest, at each look at the store and
for many requests. The answer is therefore kept until something changes it. Changes are a member
that is new, forgotten, enters another phase, falls silent or is heard again; that the first of
those that run falls silent by itself is known beforehand, as the moment at which its last heartbeat
grows too old. Kept answers are exact: nothing is answered from them after that moment.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from springbridge.digest import Observation
from springbridge.member import Member, Phase
from springbridge.suspicion import Pace


@dataclass(frozen=True, slots=True)
class _Running:
    """Who runs, from one moment to another.

    Attributes:
      limit_s: Last heartbeats before this moment had made their members suspect at the beginning.
      until_s: The moment after which the first of them is suspected if it is not heard again.
      heard: The members that are not suspected, those that ended included.
      running: Those of them that have not ended.
      live: Those of them that are not leaving either.
    """

    limit_s: float
    until_s: float
    heard: list[Observation]
    running: list[Observation]
    live: list[Observation]


class Observations:
    """The other members as this node has heard of them.

    Attributes:
      version: Counts up whenever the set of members that run and are not leaving changes.
    """

    def __init__(self, clock: Callable[[], float], pace: Pace) -> None:
        """Start without members."""
        self._clock = clock
        self._pace = pace
        self._by_incarnation: dict[str, Observation] = {}
        self._kept: _Running | None = None
        self._live_names: list[str] = []
        self.version = 0

    def find(self, incarnation: str) -> Observation | None:
        """Return a member that is not forgotten."""
        return self._by_incarnation.get(incarnation)

    def all(self) -> Collection[Observation]:
        """Return all members that are not forgotten."""
        return self._by_incarnation.values()

    def heard(self) -> list[Observation]:
        """Return the members that are not suspected, those that ended included."""
        return self._now().heard

    def running(self) -> list[Observation]:
        """Return the members that run, leaving ones included."""
        return self._now().running

    def live(self) -> list[Observation]:
        """Return the members that run and are not leaving."""
        return self._now().live

    def suspected(self) -> list[Observation]:
        """Return the members that are suspected and not known to have ended."""
        limit_s = self._clock() - self._longest_silence_s()
        return [
            each
            for each in self.all()
            if each.heard_s < limit_s and each.member.phase is not Phase.GONE
        ]

    def add(self, observed: Observation) -> None:
        """Add a member."""
        self._by_incarnation[observed.member.incarnation] = observed
        self._kept = None

    def state(self, observed: Observation, member: Member) -> None:
        """Take in what a known member states of itself."""
        if member.phase is not observed.member.phase:
            self._kept = None
        observed.member = member

    def hear(self, observed: Observation, heard_s: float, told_by: str) -> None:
        """Note a sign of life, unless a later one is known.

        Args:
          heard_s: When the member gave it, by this node's clock.
          told_by: Incarnation of the peer that told of it.
        """
        if heard_s <= observed.heard_s:
            return
        if self._kept is not None and observed.heard_s < self._kept.limit_s:
            self._kept = None
        observed.heard_s = heard_s
        observed.told_by = told_by

    def doubt(self, observed: Observation, heard_s: float) -> None:
        """Count a member's last sign of life as no later than a moment."""
        if heard_s < observed.heard_s:
            observed.heard_s = heard_s
            self._kept = None

    def forget_before(self, limit_s: float) -> None:
        """Drop the members whose last sign of life is older than a moment."""
        self._by_incarnation = {
            incarnation: observed
            for incarnation, observed in self._by_incarnation.items()
            if observed.heard_s > limit_s
        }
        self._kept = None

    def _now(self) -> _Running:
        """Return who runs now."""
        now_s = self._clock()
        if self._kept is None or now_s > self._kept.until_s:
            self._kept = self._work_out(now_s)
            self._count_change(self._kept.live)
        return self._kept

    def _work_out(self, now_s: float) -> _Running:
        """Look at every member."""
        silence_s = self._longest_silence_s()
        limit_s = now_s - silence_s
        heard = [each for each in self.all() if each.heard_s >= limit_s]
        running = [each for each in heard if each.member.phase is not Phase.GONE]
        live = [each for each in running if each.member.phase is Phase.LIVE]
        oldest_s = min((each.heard_s for each in heard), default=float("inf"))
        return _Running(limit_s, oldest_s + silence_s, heard, running, live)

    def _count_change(self, live: list[Observation]) -> None:
        """Count up the version if other members are live than before."""
        names = [each.member.incarnation for each in live]
        if names != self._live_names:
            self._live_names = names
            self.version += 1

    def _longest_silence_s(self) -> float:
        """Return the age of a last heartbeat beyond which its member is suspected, in seconds.

        Ended incarnations of a node that was started anew do not count as further nodes: they
        doubled the time to suspicion for a minute after a restart of all.
        """
        nodes = len({each.member.peer_address for each in self.all()}) + 1
        return self._pace.suspect_s * self._pace.stretch(nodes)
