"""Evacuations: the failure domains whose endpoints must get no requests.

Inputs: readings of the operators' evacuations, each with the store's stamp; the current time in
seconds of the instance's monotonic clock.
An evacuation lasts until the operators end it, at every instance, also at those that do not read
the store. Therefore readings are passed on to peers, and the latest stamp wins whatever its source.
A store that was restored from an older copy may have lost an acknowledged evacuation. Nobody ended
that evacuation, so it stays in force until the operators have had time to write it again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from springbridge.store_stamp import era_of

# Seconds for which an evacuation stays in force that the restored copy of the store lacks.
LOST_EVACUATION_HOLD_S = 60.0
# Stamp before the first reading.
NOTHING_READ = -1


@dataclass(frozen=True, slots=True)
class EvacuationReading:
    """The operators' evacuations at a stamp of the store.

    Attributes:
      stamp: Era and revision of the store; later readings have a higher stamp.
      evacuated: Evacuated failure domains.
      lost_for_s: Evacuations that the restored copy of the store lacks, each with the seconds for
        which it stays in force.
    """

    stamp: int
    evacuated: frozenset[str]
    lost_for_s: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """Evacuations read by one call to the store.

    Attributes:
      is_complete: Whether it contains all evacuations; otherwise only the changes.
      changes: Domains and whether they are evacuated, in the order of the changes.
    """

    is_complete: bool = False
    changes: tuple[tuple[str, bool], ...] = ()


class EvacuationTable:
    """The evacuations known to this instance, from the store and from peers."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without evacuations; clock is monotonic, in seconds."""
        self._clock = clock
        self._stamp = NOTHING_READ
        self._evacuated: frozenset[str] = frozenset()
        self._lost_until_s: dict[str, float] = {}
        # Domains read in the current era, in which the end of their evacuation is known as well.
        self._confirmed: set[str] = set()

    def domains(self) -> frozenset[str]:
        """Return the failure domains that are evacuated now, including those lost by the store."""
        now_s = self._clock()
        lost = (name for name, until_s in self._lost_until_s.items() if until_s > now_s)
        return self._evacuated.union(lost)

    def reading(self) -> EvacuationReading:
        """Return the reading that this instance passes on to peers."""
        now_s = self._clock()
        lost = tuple(
            (name, until_s - now_s)
            for name, until_s in self._lost_until_s.items()
            if until_s > now_s
        )
        return EvacuationReading(self._stamp, self._evacuated, lost)

    def apply_update(self, stamp: int, update: EvacuationUpdate) -> bool:
        """Apply what was read from the store; return whether it was newer than the known state."""
        evacuated = set() if update.is_complete else set(self._evacuated)
        for domain, is_evacuated in update.changes:
            evacuated.add(domain) if is_evacuated else evacuated.discard(domain)
        return self.take(EvacuationReading(stamp, frozenset(evacuated)))

    def take(self, reading: EvacuationReading) -> bool:
        """Apply a reading of a peer or the store; return whether it was newer than the known one.

        A reading of an earlier era of the store is ignored.
        """
        now_s = self._clock()
        if era_of(max(reading.stamp, 0)) < self._era():
            return False
        is_newer = reading.stamp > self._stamp
        if is_newer:
            self._replace(reading, now_s)
        for domain, for_s in reading.lost_for_s:
            self._hold(domain, now_s + min(for_s, LOST_EVACUATION_HOLD_S))
        return is_newer

    def _replace(self, reading: EvacuationReading, now_s: float) -> None:
        """Replace the known evacuations by a later reading; hold those lost with an older copy."""
        before = self.domains()
        if era_of(reading.stamp) > self._era():
            self._confirmed = set()
            self._lost_until_s = {}
            for domain in before - reading.evacuated:
                self._hold(domain, now_s + LOST_EVACUATION_HOLD_S)
        self._stamp, self._evacuated = reading.stamp, reading.evacuated
        self._confirmed |= reading.evacuated
        self._lost_until_s = {
            name: until_s
            for name, until_s in self._lost_until_s.items()
            if until_s > now_s and name not in self._confirmed
        }

    def _hold(self, domain: str, until_s: float) -> None:
        """Keep a lost evacuation in force, unless it was read again in the current era."""
        if domain not in self._confirmed:
            self._lost_until_s[domain] = max(self._lost_until_s.get(domain, 0.0), until_s)

    def _era(self) -> int:
        """Return the latest era of the store that this instance knows."""
        return era_of(max(self._stamp, 0))
