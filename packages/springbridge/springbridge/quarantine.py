"""Quarantine of poison requests, which crash every endpoint that runs them.

Decides whether a request may be sent normally, only in a trial, or not at all for now, from the
crashes in which it and other requests were involved and from its successful runs
(crash_records.py). The result is a `Verdict`.

A poison request crashes each endpoint that begins to run it, and its caller may retry it under a
new id at any node; without a memory that outlasts the request it takes down a service. But each
crash of an endpoint interrupts dozens of requests, and most of them are innocent. Two things tell
them apart: a successful run acquits a request; and a request under suspicion runs one copy at a
time, in a trial that either acquits it or distinguishes it from the others (trials.py).

A request is under suspicion after two crashes: an endpoint that crashes has dozens of requests, and
to hold all of them back would cost more than the second endpoint. It is in quarantine after its
first failed trial, which is usually its third crash: after only two crashes, innocent requests that
happened to run on two endpoints which a poison request crashed would be refused as well. The pause
before each further trial grows, since each may cost an endpoint with everything that runs there.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from springbridge.crash_records import CrashRecord, CrashRecords

# Number of crashes after which a request is under suspicion.
SUSPECT_CRASHES = 2
# Number of crashes, a failed trial among them, after which a request is considered their cause.
CAUSE_CRASHES = 3
# Number of failed trials that are ignored as inconclusive, other suspected requests being involved
# in the same crashes. The lowest number that distinguishes a poison request from innocent ones
# which ran on the same endpoints by chance.
INCONCLUSIVE_TRIALS = 1
# Seconds from the crash that put a request into quarantine to its next trial. Long compared to the
# seconds that an endpoint takes to restart and to process its prompts again.
FIRST_TRIAL_S = 20.0
# The same while it is uncertain whether that request is the cause. Short, so that a request that is
# not the cause soon gets a successful run.
FIRST_UNCERTAIN_TRIAL_S = 1.0
# Factor on the pause for each further failed trial. Even a request whose guilt is uncertain gets
# only three trials in the first minutes: after 1 s, 8 s and 64 s.
TRIAL_GROWTH = 8.0
# Seconds for which a crash that involved no quarantined request makes the cause uncertain. Several
# times the seconds that it takes for a request to get into quarantine.
UNCERTAINTY_S = 30.0
# Longest pause between two trials in seconds. Once the fault in the endpoints is fixed (new
# weights, a new build), a quarantined request is served again within a quarter of an hour.
MAX_TRIAL_PAUSE_S = 900.0


class Standing(Enum):
    """How a request may be sent; the values appear in logs and metrics."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a request.

    Attributes:
      crashes: Number of crashes that count against it; 0 if the standing is FREE.
      trial_due_s: When its next trial may start, on the clock of the records; minus infinity unless
        quarantined.
      pause_s: Shortest time between two trials, in seconds; 0 unless quarantined.
    """

    standing: Standing
    crashes: int = 0
    trial_due_s: float = float("-inf")
    pause_s: float = 0.0


FREE = Verdict(Standing.FREE)


class Quarantine:
    """The verdicts on requests, computed from the crash records.

    Attributes:
      records: The records; the callers add crashes and successful runs to them.
    """

    def __init__(self, records: CrashRecords) -> None:
        """Use the given records, which may change later."""
        self.records = records
        self._cached_causes: dict[str, int] = {}
        self._causes_version = -1

    def verdict(self, fingerprint: str) -> Verdict:
        """Return the decision on a request."""
        record = self.records.find(fingerprint)
        if record is None:
            return FREE
        crashes = len(record.counted)
        if crashes < SUSPECT_CRASHES:
            return FREE
        failed = self._causes().get(fingerprint, 0)
        if not failed:
            return Verdict(Standing.SUSPECT, crashes)
        is_certain = _failed_alone(self.records, record) and not self._has_unexplained_crash(record)
        first_s = FIRST_TRIAL_S if is_certain else FIRST_UNCERTAIN_TRIAL_S
        pause_s = trial_pause_s(failed, first_s)
        return Verdict(Standing.QUARANTINED, crashes, record.last_crash_s + pause_s, pause_s)

    def suspect_group(self, fingerprint: str) -> frozenset[str]:
        """Return the requests, this one included, any of which may have caused the same crashes.

        Where possible they must not be tried on the same endpoint: the next crash has to
        distinguish them.
        """
        record = self.records.find(fingerprint)
        if record is None:
            return frozenset({fingerprint})
        shared = Counter(
            other.fingerprint
            for crash in record.counted
            for other in self.records.involved_in(crash)
        )
        group = {name for name, count in shared.items() if count >= SUSPECT_CRASHES}
        return frozenset(group | {fingerprint})

    def failed_together(self, fingerprint: str) -> frozenset[str]:
        """Return the other requests that failed a trial together with this one.

        Another trial of them on the same endpoint would be as inconclusive as the last.
        """
        record = self.records.find(fingerprint)
        failed = record.failed_trials if record else frozenset()
        return frozenset(
            other.fingerprint
            for crash in failed
            for other in self.records.involved_in(crash)
            if other.fingerprint != fingerprint and crash in other.failed_trials
        )

    def _causes(self) -> dict[str, int]:
        """Return the requests considered causes of crashes, with their numbers of failed trials.

        Recomputed when a record has changed. A failed trial beside another request with as many
        crashes is inconclusive until that one is acquitted; only a request that fails repeatedly is
        considered a cause whatever ran beside it.
        """
        if self._causes_version != self.records.version:
            self._causes_version = self.records.version
            tried = self.records.tried()
            found = {each.fingerprint: self._conclusive_trials(each) for each in tried}
            self._cached_causes = {name: count for name, count in found.items() if count}
        return self._cached_causes

    def _conclusive_trials(self, record: CrashRecord) -> int:
        """Return the number of failed trials that count as evidence against a request."""
        crashes = len(record.counted)
        if crashes < CAUSE_CRASHES:
            return 0
        alone = sum(
            all(
                other.fingerprint == record.fingerprint or len(other.counted) < crashes
                for other in self.records.involved_in(crash)
            )
            for crash in record.failed_trials
        )
        return max(alone, len(record.failed_trials) - INCONCLUSIVE_TRIALS)

    def _has_unexplained_crash(self, record: CrashRecord) -> bool:
        """Return whether a recent crash involved neither this request nor another cause."""
        since_s = self.records.now_s() - UNCERTAINTY_S
        causes = [record, *(self.records.find(name) for name in self._causes())]
        explained = frozenset().union(*(each.crashes.keys() for each in causes))
        return any(
            crash.at_s > since_s and name not in explained
            for each in self.records.all()
            for name, crash in each.crashes.items()
        )


def _failed_alone(records: CrashRecords, record: CrashRecord) -> bool:
    """Return whether a request failed a trial with no other suspected request in the same crash."""
    return any(
        all(
            other.fingerprint == record.fingerprint or len(other.counted) < SUSPECT_CRASHES
            for other in records.involved_in(crash)
        )
        for crash in record.failed_trials
    )


def trial_pause_s(trials: int, first_s: float) -> float:
    """Return the pause in seconds from the last crash of a quarantined request to its next trial.

    Args:
      trials: Number of its failed trials, at least 1.
      first_s: The pause after the first one.
    """
    return min(MAX_TRIAL_PAUSE_S, first_s * TRIAL_GROWTH ** (trials - 1))
