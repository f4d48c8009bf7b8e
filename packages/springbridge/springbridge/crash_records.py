"""Crash history: what was running on an endpoint when it crashed.

Records are kept by the fingerprint of a request (fingerprints.py), or in a set of their own by the
key of a part of prompts (prompt_parts.py); the texts here speak of requests. Each has the crashes
in which the request was involved and the time of its last successful run, which acquits it of all
earlier crashes. Records of all nodes are merged: each crash counts once however many nodes saw it,
and its earliest reported time is kept. `quarantine` and `part_quarantine` decide what follows.

Bounded: at most MAX_RECORDS unless told otherwise, and the latest MAX_CRASHES of each. Evicted
first are the records that are closest to being acquitted: those with the fewest crashes, then the
oldest.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import xxhash

# Maximum number of records. Some hundred bytes each, so that they stay under half a megabyte. An
# endpoint that crashes adds one for each request that it ran, which is some dozens.
MAX_RECORDS = 512
# One in how many records is evicted once there is one too many. Ranking 512 records takes 1.5 ms of
# a core, which makes 23 us for each new record while the bound is reached.
EVICTED_SHARE = 8
# Maximum number of crashes kept per request. Above the count at which trials are so rare that
# further crashes change nothing.
MAX_CRASHES = 12
# Seconds for which a record is kept after its last crash or successful run if the request has fewer
# than POISON_CRASHES. Long compared to the seconds after which callers retry.
FORGET_S = 300.0
# The same with POISON_CRASHES or more. Above the longest pause between two trials, so that the
# request is not taken for a new one before its next trial.
FORGET_POISON_S = 3600.0
# Number of crashes from which FORGET_POISON_S applies: that of a request in quarantine.
POISON_CRASHES = 3
# Time of a successful run, crash or grant that has not happened.
NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of an endpoint that was running a request.

    Attributes:
      at_s: Time of the crash.
      on_trial: Whether the request ran there in a trial, being under suspicion; see trials.py.
    """

    at_s: float
    on_trial: bool = False


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The crash history of one request.

    Attributes:
      crashes: The crashes in which it was involved, by crash id.
      acquitted_s: Time of its last successful run, NEVER_S if there was none.
    """

    fingerprint: str
    crashes: dict[int, Crash]
    acquitted_s: float = NEVER_S

    @property
    def counted(self) -> frozenset[int]:
        """Return the ids of the crashes after its last successful run."""
        return frozenset(
            name for name, crash in self.crashes.items() if crash.at_s > self.acquitted_s
        )

    @property
    def failed_trials(self) -> frozenset[int]:
        """Return the ids of the counted crashes that happened in a trial of the request."""
        return frozenset(name for name in self.counted if self.crashes[name].on_trial)

    @property
    def last_crash_s(self) -> float:
        """Return the time of its last crash, acquitted or not."""
        return max((crash.at_s for crash in self.crashes.values()), default=NEVER_S)


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash as nodes exchange it.

    Attributes:
      crash_id: See crash_id().
      age_s: Seconds since the crash.
      on_trial: As in Crash.
    """

    crash_id: int
    age_s: float
    on_trial: bool = False


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash record as nodes exchange it, with ages in place of times.

    Attributes:
      acquitted_ago_s: Seconds since the last successful run, None if there was none.
    """

    fingerprint: str
    crashes: tuple[ReportedCrash, ...] = ()
    acquitted_ago_s: float | None = None


def crash_id(endpoint_id: str, born_ms: int | None) -> int:
    """Return the id of the crash of an endpoint's process, the same at all nodes.

    Args:
      endpoint_id: Id of the endpoint.
      born_ms: Start of that process, since an endpoint may restart under the same id.
    """
    return xxhash.xxh3_64_intdigest(f"{endpoint_id} {born_ms}".encode())


class CrashRecords:
    """The crash records of one node.

    Attributes:
      version: Incremented whenever a record changes.
    """

    def __init__(self, clock: Callable[[], float], max_records: int = MAX_RECORDS) -> None:
        """Create an empty set of records; the clock returns monotonic seconds."""
        self.version = 0
        self._clock = clock
        self._max_records = max_records
        self._tried: set[str] = set()
        self._records: dict[str, CrashRecord] = {}
        self._by_crash: dict[int, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def all(self) -> tuple[CrashRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def tried(self) -> list[CrashRecord]:
        """Return the records that have failed trials."""
        return [self._records[name] for name in self._tried]

    def now_s(self) -> float:
        """Return the current time by the clock of the records."""
        return self._clock()

    def find(self, fingerprint: str) -> CrashRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._records.get(fingerprint)

    def involved_in(self, crash: int) -> Iterable[CrashRecord]:
        """Return the records of all requests against which a crash counts."""
        return [self._records[name] for name in self._by_crash.get(crash, ())]

    def record_crash(self, fingerprint: str, crash: int, on_trial: bool = False) -> bool:
        """Record that an endpoint crashed while it ran a request.

        Returns:
          Whether this changed the crashes that count against the request.
        """
        return self.merge(CrashReport(fingerprint, (ReportedCrash(crash, 0.0, on_trial),)))

    def acquit(self, fingerprint: str) -> bool:
        """Record a successful run of a request; return whether that clears any crash."""
        record = self._records.get(fingerprint)
        if record is None or not record.counted:
            return False
        self._put(replace(record, acquitted_s=self._clock()))
        return True

    def merge(self, report: CrashReport) -> bool:
        """Merge a node's report on a request.

        Returns:
          Whether this changed the crashes that count against the request.
        """
        now_s = self._clock()
        record = self._records.get(report.fingerprint) or CrashRecord(report.fingerprint, {})
        crashes = dict(record.crashes)
        for crash in report.crashes:
            known = crashes.get(crash.crash_id, Crash(now_s))
            at_s = min(known.at_s, now_s - crash.age_s)
            crashes[crash.crash_id] = Crash(at_s, known.on_trial or crash.on_trial)
        acquitted_s = record.acquitted_s
        if report.acquitted_ago_s is not None:
            acquitted_s = max(acquitted_s, now_s - report.acquitted_ago_s)
        merged = CrashRecord(report.fingerprint, _latest_crashes(crashes), acquitted_s)
        has_changed = _verdict_basis(merged) != _verdict_basis(record)
        self._put(merged)
        self._drop_beyond_bound()
        return has_changed

    def report(self, fingerprint: str) -> CrashReport | None:
        """Return the report on a request for peers, or None if it has no record."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        now_s = self._clock()
        crashes = tuple(
            ReportedCrash(name, now_s - crash.at_s, crash.on_trial)
            for name, crash in record.crashes.items()
        )
        is_acquitted = record.acquitted_s != NEVER_S
        return CrashReport(
            fingerprint, crashes, now_s - record.acquitted_s if is_acquitted else None
        )

    def forget_old(self) -> list[CrashRecord]:
        """Drop the expired records and return them."""
        now_s = self._clock()
        old = [record for record in self._records.values() if now_s > _expires_s(record)]
        for record in old:
            self._drop(record.fingerprint)
        return old

    def _put(self, record: CrashRecord) -> None:
        """Add a record or replace the one of the same request."""
        self._drop(record.fingerprint)
        self.version += 1
        self._records[record.fingerprint] = record
        for crash in record.counted:
            self._by_crash.setdefault(crash, set()).add(record.fingerprint)
        if record.failed_trials:
            self._tried.add(record.fingerprint)

    def _drop(self, fingerprint: str) -> None:
        """Drop a record if there is one."""
        self.version += 1
        record = self._records.pop(fingerprint, None)
        self._tried.discard(fingerprint)
        for crash in record.counted if record else ():
            self._by_crash[crash].discard(fingerprint)
            if not self._by_crash[crash]:
                del self._by_crash[crash]

    def _drop_beyond_bound(self) -> None:
        """Evict the lowest-ranked records if there are too many."""
        if len(self._records) <= self._max_records:
            return
        ranked = sorted(
            self._records.values(), key=lambda each: (len(each.counted), each.last_crash_s)
        )
        for least in ranked[: self._max_records // EVICTED_SHARE]:
            self._drop(least.fingerprint)


def _verdict_basis(record: CrashRecord) -> tuple[frozenset[int], frozenset[int]]:
    """Return the crashes and failed trials that a verdict depends on."""
    return record.counted, record.failed_trials


def _latest_crashes(crashes: dict[int, Crash]) -> dict[int, Crash]:
    """Return the latest MAX_CRASHES crashes."""
    if len(crashes) <= MAX_CRASHES:
        return crashes
    latest = sorted(crashes, key=lambda name: crashes[name].at_s, reverse=True)[:MAX_CRASHES]
    return {name: crashes[name] for name in latest}


def _expires_s(record: CrashRecord) -> float:
    """Return when a record expires if it does not change."""
    is_poison = len(record.counted) >= POISON_CRASHES
    kept_s = FORGET_POISON_S if is_poison else FORGET_S
    return max(record.last_crash_s, record.acquitted_s) + kept_s
