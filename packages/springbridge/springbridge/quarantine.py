"""Quarantine: a request that ends the endpoints that run it is kept from them.

What is decided: whether a request may be sent as any other, only as a trial, or not at all for now.
Inputs: the crashes that it and other requests were part of, and its good ends (crash_records.py).
Outcome: a `Verdict`.
Why: a request may end each endpoint that begins to run it, and come again under a new id at any
node (a poison request); without a memory beyond its end it takes down a service. But an endpoint
that ends breaks dozens of requests, and most of them are innocent. Two things tell them apart: a
good end acquits; and a request under suspicion runs one at a time, in a trial that either acquits
it or parts it from the others (trials.py).

A request is under suspicion after two crashes: an endpoint that ends has dozens of requests, and to
hold all of them back would cost more than the second endpoint. It is in quarantine after its first
failed trial, which is the third crash as a rule: two crashes alone would also refuse the requests
of others that met two endpoints of its making. Further trials come after ever longer times, since
each may cost an endpoint with all that runs there.

"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from springbridge.crash_records import CrashRecord, CrashRecords

# Crashes after which a request is under suspicion.
SUSPECT_CRASHES = 2
# Crashes, a failed trial among them, after which a request is taken for their cause.
CAUSE_CRASHES = 3
# Failed trials beside others under suspicion that are passed over. The least that parts a request
# from those which met its endpoints by chance.
UNCLEAR_TRIALS = 1
# Seconds from the crash that brought a request into quarantine to its next trial. Long beside the
# seconds that an endpoint takes to start and to read its prompts anew.
FIRST_TRIAL_S = 20.0
# The same while it is doubtful whether that request is the cause. A moment in which a request that
# is not the cause comes to a good end.
FIRST_DOUBTED_TRIAL_S = 1.0
# Factor by which the time grows with each further failed trial. Even a doubtful request is tried
# only three times in the first minutes: after 1 s, 8 s and 64 s.
TRIAL_GROWTH = 8.0
# Seconds for which the end of an endpoint without the request is a reason for doubt. Several times
# the seconds in which a request gets into quarantine.
DOUBT_S = 30.0
# Longest time between two trials in seconds. A request whose cause was mended (new weights, a new
# build of the endpoints) is served again within a quarter of an hour.
LONGEST_TRIAL_S = 900.0


class Standing(Enum):
    """How a request may be sent; the values are logged and counted."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is held of a request.

    Attributes:
      crashes: How many crashes count against it.
      trial_due_s: When it may be tried, on the clock of the records; long ago unless quarantined.
      pause_s: Shortest time between two trials, in seconds; 0 unless quarantined.
    """

    standing: Standing
    crashes: int = 0
    trial_due_s: float = float("-inf")
    pause_s: float = 0.0


FREE = Verdict(Standing.FREE)


class Quarantine:
    """What is held of requests, by the records of crashes.

    Attributes:
      records: The records; whoever hears of crashes and good ends keeps them.
    """

    def __init__(self, records: CrashRecords) -> None:
        """Keep the records."""
        self.records = records
        self._kept_causes: dict[str, int] = {}
        self._causes_version = -1

    def verdict(self, fingerprint: str) -> Verdict:
        """Return what is held of a request."""
        record = self.records.find(fingerprint)
        if record is None:
            return FREE
        crashes = len(record.counted)
        if crashes < SUSPECT_CRASHES:
            return FREE
        failed = self._causes().get(fingerprint, 0)
        if not failed:
            return Verdict(Standing.SUSPECT, crashes)
        is_certain = _failed_alone(self.records, record) and not self._others_end(record)
        first_s = FIRST_TRIAL_S if is_certain else FIRST_DOUBTED_TRIAL_S
        pause_s = trial_pause_s(failed, first_s)
        return Verdict(Standing.QUARANTINED, crashes, record.last_crash_s + pause_s, pause_s)

    def companions(self, fingerprint: str) -> frozenset[str]:
        """Return the requests, this one included, any of which may have caused the same crashes.

        They must not be tried together where it can be helped: the next crash has to part them.
        """
        record = self.records.find(fingerprint)
        if record is None:
            return frozenset({fingerprint})
        shared = Counter(
            other.fingerprint for crash in record.counted for other in self.records.sharing(crash)
        )
        near = {name for name, count in shared.items() if count >= SUSPECT_CRASHES}
        return frozenset(near | {fingerprint})

    def rivals(self, fingerprint: str) -> frozenset[str]:
        """Return the other requests that failed a trial together with this one.

        To try them together again would show no more than the trial before.
        """
        record = self.records.find(fingerprint)
        failed = record.failed_trials if record else frozenset()
        return frozenset(
            other.fingerprint
            for crash in failed
            for other in self.records.sharing(crash)
            if other.fingerprint != fingerprint and crash in other.failed_trials
        )

    def _causes(self) -> dict[str, int]:
        """Return the requests that are taken for causes, with how many trials of each failed.

        Computed again when a record has changed. A trial beside another request with as many
        crashes shows nothing until that one is acquitted; only what fails again and again is taken
        for a cause whatever ran beside it.
        """
        if self._causes_version != self.records.version:
            self._causes_version = self.records.version
            tried = [each for each in self.records.all() if each.failed_trials]
            found = {each.fingerprint: self._shown_trials(each) for each in tried}
            self._kept_causes = {name: count for name, count in found.items() if count}
        return self._kept_causes

    def _shown_trials(self, record: CrashRecord) -> int:
        """Return how many failed trials speak against a request."""
        crashes = len(record.counted)
        if crashes < CAUSE_CRASHES:
            return 0
        alone = sum(
            all(
                other.fingerprint == record.fingerprint or len(other.counted) < crashes
                for other in self.records.sharing(crash)
            )
            for crash in record.failed_trials
        )
        return max(alone, len(record.failed_trials) - UNCLEAR_TRIALS)

    def _others_end(self, record: CrashRecord) -> bool:
        """Return whether an endpoint has just ended without a request taken for a cause."""
        since_s = self.records.now_s() - DOUBT_S
        causes = [record, *(self.records.find(name) for name in self._causes())]
        explained = frozenset().union(*(each.crashes.keys() for each in causes))
        return any(
            crash.at_s > since_s and name not in explained
            for each in self.records.all()
            for name, crash in each.crashes.items()
        )


def _failed_alone(records: CrashRecords, record: CrashRecord) -> bool:
    """Return whether a request failed in a trial beside which no other was under suspicion."""
    return any(
        all(
            other.fingerprint == record.fingerprint or len(other.counted) < SUSPECT_CRASHES
            for other in records.sharing(crash)
        )
        for crash in record.failed_trials
    )


def trial_pause_s(trials: int, first_s: float) -> float:
    """Return how long after its last crash a request in quarantine is tried again, in seconds.

    Args:
      trials: How many of its trials failed.
      first_s: The pause after the first one.
    """
    return min(LONGEST_TRIAL_S, first_s * TRIAL_GROWTH ** (trials - 1))
