"""Which failure domains the operators evacuate.

Decided: the failure domains whose endpoints must get nothing.
Inputs: readings of the operators' evacuations, each with the store's stamp; the moment in seconds
of the instance's monotonic clock.
Outcome: the names of the domains.
Why: an evacuation lasts until the operators end it, at every instance, also at those that do not
read the store. Readings are therefore passed on, and the later stamp wins whoever tells it. A store
that comes back from an older copy may have lost an evacuation that was acknowledged. Nobody ended
it, so it lasts until the operators have had time to write it again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from springbridge.store_stamp import era_of

# Seconds for which an evacuation lasts that an older copy of the store does not have.
HOLD_LOST_S = 60.0
# Stamp before the first reading.
NOTHING_READ = -1


@dataclass(frozen=True, slots=True)
class EvacuationReading:
    """The operators' evacuations at a stamp of the store.

    Attributes:
      lost_for_s: Evacuations that an older copy of the store does not have, and for how many
        seconds they last.
    """

    stamp: int
    evacuated: frozenset[str]
    lost_for_s: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class EvacuationNews:
    """What a call to the store said of evacuations.

    Attributes:
      whole: Whether all evacuations are among it; if not, it is what changed.
      changes: Domains and whether they are evacuated, in the order of the changes.
    """

    whole: bool = False
    changes: tuple[tuple[str, bool], ...] = ()


class EvacuationTable:
    """The evacuations as this instance knows them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with none; clock returns seconds and never goes back."""
        self._clock = clock
        self._stamp = NOTHING_READ
        self._evacuated: frozenset[str] = frozenset()
        self._lost_until_s: dict[str, float] = {}
        # Read in the present era, so that their end is known as well.
        self._confirmed: set[str] = set()

    def domains(self) -> frozenset[str]:
        """Return the failure domains that are evacuated now."""
        now_s = self._clock()
        lost = (name for name, until_s in self._lost_until_s.items() if until_s > now_s)
        return self._evacuated.union(lost)

    def reading(self) -> EvacuationReading:
        """Return what this instance knows, for peers."""
        now_s = self._clock()
        lost = tuple(
            (name, until_s - now_s)
            for name, until_s in self._lost_until_s.items()
            if until_s > now_s
        )
        return EvacuationReading(self._stamp, self._evacuated, lost)

    def take_news(self, stamp: int, news: EvacuationNews) -> bool:
        """Take in what the store said, and return whether it was newer than what was known."""
        evacuated = set() if news.whole else set(self._evacuated)
        for domain, is_evacuated in news.changes:
            evacuated.add(domain) if is_evacuated else evacuated.discard(domain)
        return self.take(EvacuationReading(stamp, frozenset(evacuated)))

    def take(self, reading: EvacuationReading) -> bool:
        """Take in a reading, and return whether it was newer than what was known."""
        now_s = self._clock()
        if era_of(max(reading.stamp, 0)) < self._era():
            return False
        is_newer = reading.stamp > self._stamp
        if is_newer:
            self._replace(reading, now_s)
        for domain, for_s in reading.lost_for_s:
            self._hold(domain, now_s + min(for_s, HOLD_LOST_S))
        return is_newer

    def _replace(self, reading: EvacuationReading, now_s: float) -> None:
        """Go by a later reading."""
        before = self.domains()
        if era_of(reading.stamp) > self._era():
            self._confirmed = set()
            self._lost_until_s = {}
            for domain in before - reading.evacuated:
                self._hold(domain, now_s + HOLD_LOST_S)
        self._stamp, self._evacuated = reading.stamp, reading.evacuated
        self._confirmed |= reading.evacuated
        self._lost_until_s = {
            name: until_s
            for name, until_s in self._lost_until_s.items()
            if until_s > now_s and name not in self._confirmed
        }

    def _hold(self, domain: str, until_s: float) -> None:
        """Keep up an evacuation that an older copy lacks, unless the store has had it again."""
        if domain not in self._confirmed:
            self._lost_until_s[domain] = max(self._lost_until_s.get(domain, 0.0), until_s)

    def _era(self) -> int:
        """Return the era of the store of which this instance knows."""
        return era_of(max(self._stamp, 0))
