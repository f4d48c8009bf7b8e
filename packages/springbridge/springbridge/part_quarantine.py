"""Quarantine of parts of prompts, each of which crashes every endpoint that begins to answer it.

Decides whether a request may be sent, from the crashes in which the parts of its prompt were
involved and from the answers that came since (crash_records.py, keyed by part). No two requests
with such a part need be alike, so `quarantine`, which knows whole requests, never sees one twice.
The result is a `PartVerdict`.

A crashing part always comes with other parts, which sound requests share: the first part of a
customer, the part of a session. A crash does not tell them apart; answers do. Three rules follow:

- A part is a suspect after two crashes without an answer in between, unless one of the seconds
  before speaks for it (recent_successes.py). A request with suspects is sent only as a trial, one
  at a time for each suspect (part_trials.py). An answer clears all parts of its prompt.
- A failed trial shows that one of its suspects crashes endpoints, not which. So a request is
  refused only if it holds all suspects of a failed trial. One that holds some of them is a trial
  that tells: its answer clears these, which leaves fewer, and its crash convicts fewer.
- A trial is inconclusive if a whole request explains the crashes as well: it was in all those of
  the part that was in the most.

The pause before the next trial depends on the failed ones: short after one, which may be chance.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from springbridge.crash_records import NEVER_S, CrashRecord, CrashRecords
from springbridge.quarantine import CAUSE_CRASHES, SUSPECT_CRASHES, Standing
from springbridge.recent_successes import CREDIT_S

# Seconds from the last failed trial to the next one, by the number of failed trials; the last
# figure holds for more of them too. The first trial may have failed by chance, as its endpoint
# ended for another reason, and a few seconds are bearable for a sound request. Each trial of the
# cause costs an endpoint.
TRIAL_PAUSES_S = (10.0, 300.0, 1800.0)
# Share of the crashes of the suspect that was in the most, which another one of the same failed
# trial has to have been in. What runs on an endpoint by chance is in some of the crashes.
LEAST_SHARE = 0.5
# Maximum number of records of parts. Some hundred bytes each, so that they stay under 2 MB. An
# endpoint that crashes adds some for each of its requests whose parts nobody answered lately.
MAX_PART_RECORDS = 2048


@dataclass(frozen=True, slots=True)
class PartVerdict:
    """The decision on a request by the parts of its prompt.

    Attributes:
      suspects: Keys of its parts that are under suspicion.
      crashes: Number of crashes that count against the suspects; 0 if the standing is FREE.
      due_s: When its next trial may start, on the clock of the records; minus infinity unless
        quarantined.
      pause_s: Shortest time between two trials, in seconds; 0 unless quarantined.
    """

    standing: Standing
    suspects: frozenset[str] = frozenset()
    crashes: int = 0
    due_s: float = NEVER_S
    pause_s: float = 0.0


FREE = PartVerdict(Standing.FREE)


@dataclass(frozen=True, slots=True)
class FailedTrial:
    """A crash in a trial of parts.

    Attributes:
      suspects: Keys of the parts under suspicion that were in the crash, but for those that were in
        far fewer crashes than others. One of them caused it.
      crashes: Number of crashes of the suspect that has the fewest.
    """

    suspects: frozenset[str]
    crashes: int
    at_s: float


class PartQuarantine:
    """The verdicts on parts of prompts, computed from the crash records.

    Attributes:
      records: The records of parts; the callers add crashes and answers to them.
    """

    def __init__(
        self,
        records: CrashRecords,
        requests: CrashRecords,
        answered_s: Callable[[str], float] = lambda key: NEVER_S,
    ) -> None:
        """Use the given records, which may change later.

        Args:
          records: Records of parts.
          requests: Records of whole requests, which may explain the same crashes.
          answered_s: Returns when this node last got an answer for a part, NEVER_S if not lately.
        """
        self.records = records
        self._requests = requests
        self._answered_s = answered_s
        self._cached: list[FailedTrial] = []
        self._cached_versions = (-1, -1)

    def verdict(self, keys: Iterable[str]) -> PartVerdict:
        """Return the decision on a request with the given parts."""
        suspects = frozenset(key for key in keys if self.is_suspect(key))
        if not suspects:
            return FREE
        against = [each for each in self._failed_trials() if self._holds_all(suspects, each)]
        if not against:
            return PartVerdict(Standing.SUSPECT, suspects, self._crashes(suspects))
        crashes = max(each.crashes for each in against)
        pause_s = trial_pause_s(len(against))
        due_s = max(each.at_s for each in against) + pause_s
        return PartVerdict(Standing.QUARANTINED, suspects, crashes, due_s, pause_s)

    def is_suspect(self, key: str) -> bool:
        """Return whether a part is under suspicion."""
        record = self.records.find(key)
        if record is None or len(record.counted) < SUSPECT_CRASHES:
            return False
        return not self.is_credited(key)

    def is_credited(self, key: str) -> bool:
        """Return whether an answer of the last CREDIT_S seconds speaks for a part."""
        record = self.records.find(key)
        answered_s = NEVER_S if record is None else record.acquitted_s
        since_s = self.records.now_s() - CREDIT_S
        return answered_s > since_s or self._answered_s(key) > since_s

    def failed_together(self, one: frozenset[str], other: frozenset[str]) -> bool:
        """Return whether suspects of both sets were in the same failed trial."""
        return any(
            not each.suspects.isdisjoint(one) and not each.suspects.isdisjoint(other)
            for each in self._failed_trials()
        )

    def quarantined(self) -> list[FailedTrial]:
        """Return what is refused now: for each failed trial the suspects that are left of it."""
        return [
            FailedTrial(left, each.crashes, each.at_s)
            for each in self._failed_trials()
            if (left := frozenset(filter(self.is_suspect, each.suspects)))
        ]

    def _holds_all(self, suspects: frozenset[str], trial: FailedTrial) -> bool:
        """Return whether a request holds all suspects that are left of a failed trial."""
        left = {key for key in trial.suspects if not self.is_credited(key)}
        return bool(left) and left <= suspects

    def _crashes(self, keys: Iterable[str]) -> int:
        """Return the highest number of crashes that count against one of the parts."""
        return max(len(self.records.find(key).counted) for key in keys)

    def _failed_trials(self) -> list[FailedTrial]:
        """Return the failed trials that are conclusive; recomputed when a record has changed."""
        versions = (self.records.version, self._requests.version)
        if versions != self._cached_versions:
            self._cached_versions = versions
            crashes = {name for each in self.records.tried() for name in each.failed_trials}
            found = map(self._failed_trial, crashes)
            self._cached = [each for each in found if each is not None]
        return self._cached

    def _failed_trial(self, crash: int) -> FailedTrial | None:
        """Return the trial that a crash ended, or None if it is inconclusive."""
        records = self.records.involved_in(crash)
        most = max(len(record.counted) for record in records)
        least = max(SUSPECT_CRASHES, most * LEAST_SHARE)
        suspects = [record for record in records if len(record.counted) >= least]
        if most < CAUSE_CRASHES or self._is_explained_by_request(crash, suspects):
            return None
        return FailedTrial(
            frozenset(record.fingerprint for record in suspects),
            min(len(record.counted) for record in suspects),
            max(record.crashes[crash].at_s for record in suspects),
        )

    def _is_explained_by_request(self, crash: int, suspects: list[CrashRecord]) -> bool:
        """Return whether one whole request was in all crashes of the suspect that has the most."""
        most = max(suspects, key=lambda record: len(record.counted))
        requests = self._requests.involved_in(crash)
        return any(most.counted <= record.counted for record in requests)


def trial_pause_s(failed: int) -> float:
    """Return the pause in seconds from the last failed trial to the next one.

    Args:
      failed: Number of failed trials, at least 1.
    """
    return TRIAL_PAUSES_S[min(failed, len(TRIAL_PAUSES_S)) - 1]
