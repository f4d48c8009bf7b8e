"""Records of requests that endpoints were running when they ended.

Owns the records, by the fingerprint of the request (fingerprints.py). Each has the crashes that
the request was part of and when a run of it last came to a good end, which acquits it of all
crashes before. Records of all nodes merge: crashes add up, each counts once however many nodes saw
it, and the earliest time that was told of it holds. `quarantine` decides what follows from them.

Bounded: at most MOST_RECORDS, and the latest MOST_CRASHES of each. What passes the bound first is
what is closest to being acquitted: the fewest crashes, then the oldest.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import xxhash

# Records at most. Some hundred bytes each, so that they stay under half a megabyte. An endpoint
# that ends leaves as many as it had requests, which is some dozens.
MOST_RECORDS = 512
# Records that are dropped together once there is one too many. To look for the least takes 1.5 ms
# of a core; so it costs 23 us for each new record while there are as many as may be.
DROPPED_AT_ONCE = 64
# Crashes kept of one request. Above the count at which a request is tried so seldom that more
# crashes change nothing.
MOST_CRASHES = 12
# Seconds after its last crash or good end for which a record is kept whose request is not known to
# have ended several endpoints. Long beside the seconds after which callers try again.
FORGET_S = 300.0
# The same for one that is. Above the longest time between two trials, so that the request is not
# taken for a new one before its next trial.
FORGET_POISON_S = 3600.0
# Crashes from which the longer time holds. Derived: those of a request in quarantine.
POISON_CRASHES = 3
# Moment of a good end that has not been.
NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of an endpoint that was running a request.

    Attributes:
      at_s: When that was.
      on_trial: Whether the request ran there because it was under suspicion; see trials.py.
    """

    at_s: float
    on_trial: bool = False


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What is known of one request.

    Attributes:
      crashes: The crashes that it was part of, by their ids.
      acquitted_s: When a run of it last came to a good end.
    """

    fingerprint: str
    crashes: dict[int, Crash]
    acquitted_s: float = NEVER_S

    @property
    def counted(self) -> frozenset[int]:
        """Return the crashes of which it is not acquitted."""
        return frozenset(
            name for name, crash in self.crashes.items() if crash.at_s > self.acquitted_s
        )

    @property
    def failed_trials(self) -> frozenset[int]:
        """Return those of them that ended a trial."""
        return frozenset(name for name in self.counted if self.crashes[name].on_trial)

    @property
    def last_crash_s(self) -> float:
        """Return when it was last part of a crash."""
        return max((crash.at_s for crash in self.crashes.values()), default=NEVER_S)


@dataclass(frozen=True, slots=True)
class ToldCrash:
    """A crash as nodes tell each other of it: its id, its age in seconds, and as in Crash."""

    name: int
    ago_s: float
    on_trial: bool = False


@dataclass(frozen=True, slots=True)
class ToldRecord:
    """A record as nodes tell each other of it, with ages in place of moments.

    Attributes:
      acquitted_ago_s: Age of the last good end in seconds, None if there was none.
    """

    fingerprint: str
    crashes: tuple[ToldCrash, ...] = ()
    acquitted_ago_s: float | None = None


def crash_id(endpoint_id: str, born_ms: int | None) -> int:
    """Return the id of the end of an endpoint's process, the same at all nodes.

    Args:
      born_ms: Start of that process, since an endpoint may start again under its id.
    """
    return xxhash.xxh3_64_intdigest(f"{endpoint_id} {born_ms}".encode())


class CrashRecords:
    """The records that a node has.

    Attributes:
      version: Counts up whenever a record changes.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without records."""
        self.version = 0
        self._clock = clock
        self._records: dict[str, CrashRecord] = {}
        self._by_crash: dict[int, set[str]] = {}

    def __len__(self) -> int:
        """Return how many records there are."""
        return len(self._records)

    def all(self) -> tuple[CrashRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def now_s(self) -> float:
        """Return the moment on the clock of the records."""
        return self._clock()

    def find(self, fingerprint: str) -> CrashRecord | None:
        """Return the record of a request."""
        return self._records.get(fingerprint)

    def sharing(self, crash: int) -> Iterable[CrashRecord]:
        """Return the records of all requests that were part of a crash."""
        return [self._records[name] for name in self._by_crash.get(crash, ())]

    def note_crash(self, fingerprint: str, crash: int, on_trial: bool = False) -> bool:
        """Note that an endpoint ended while it ran a request; return whether that is news."""
        return self.merge(ToldRecord(fingerprint, (ToldCrash(crash, 0.0, on_trial),)))

    def acquit(self, fingerprint: str) -> bool:
        """Note that a run of a request came to a good end; return whether that acquits it."""
        record = self._records.get(fingerprint)
        if record is None or not record.counted:
            return False
        self._put(replace(record, acquitted_s=self._clock()))
        return True

    def merge(self, told: ToldRecord) -> bool:
        """Take in what a node tells of a request; return whether anything of it is news."""
        now_s = self._clock()
        record = self._records.get(told.fingerprint) or CrashRecord(told.fingerprint, {})
        crashes = dict(record.crashes)
        for crash in told.crashes:
            known = crashes.get(crash.name, Crash(now_s))
            at_s = min(known.at_s, now_s - crash.ago_s)
            crashes[crash.name] = Crash(at_s, known.on_trial or crash.on_trial)
        acquitted_s = record.acquitted_s
        if told.acquitted_ago_s is not None:
            acquitted_s = max(acquitted_s, now_s - told.acquitted_ago_s)
        merged = CrashRecord(told.fingerprint, _latest(crashes), acquitted_s)
        is_news = _counts(merged) != _counts(record)
        self._put(merged)
        self._drop_beyond_bound()
        return is_news

    def told(self, fingerprint: str) -> ToldRecord | None:
        """Return a record as peers are told of it."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        now_s = self._clock()
        crashes = tuple(
            ToldCrash(name, now_s - crash.at_s, crash.on_trial)
            for name, crash in record.crashes.items()
        )
        is_acquitted = record.acquitted_s != NEVER_S
        return ToldRecord(
            fingerprint, crashes, now_s - record.acquitted_s if is_acquitted else None
        )

    def forget_old(self) -> list[CrashRecord]:
        """Drop the records that nothing has happened to for long, and return them."""
        now_s = self._clock()
        old = [record for record in self._records.values() if now_s > _kept_until_s(record)]
        for record in old:
            self._drop(record.fingerprint)
        return old

    def _put(self, record: CrashRecord) -> None:
        """Keep a record in place of the one before."""
        self._drop(record.fingerprint)
        self.version += 1
        self._records[record.fingerprint] = record
        for crash in record.counted:
            self._by_crash.setdefault(crash, set()).add(record.fingerprint)

    def _drop(self, fingerprint: str) -> None:
        """Drop a record if there is one."""
        self.version += 1
        record = self._records.pop(fingerprint, None)
        for crash in record.counted if record else ():
            self._by_crash[crash].discard(fingerprint)
            if not self._by_crash[crash]:
                del self._by_crash[crash]

    def _drop_beyond_bound(self) -> None:
        """Drop the records that matter least if there is one too many."""
        if len(self._records) <= MOST_RECORDS:
            return
        ranked = sorted(
            self._records.values(), key=lambda each: (len(each.counted), each.last_crash_s)
        )
        for least in ranked[:DROPPED_AT_ONCE]:
            self._drop(least.fingerprint)


def _counts(record: CrashRecord) -> tuple[frozenset[int], frozenset[int]]:
    """Return what a verdict on a request goes by."""
    return record.counted, record.failed_trials


def _latest(crashes: dict[int, Crash]) -> dict[int, Crash]:
    """Return the latest MOST_CRASHES crashes."""
    if len(crashes) <= MOST_CRASHES:
        return crashes
    latest = sorted(crashes, key=lambda name: crashes[name].at_s, reverse=True)[:MOST_CRASHES]
    return {name: crashes[name] for name in latest}


def _kept_until_s(record: CrashRecord) -> float:
    """Return until when a record is kept if nothing more happens to it."""
    is_poison = len(record.counted) >= POISON_CRASHES
    kept_s = FORGET_POISON_S if is_poison else FORGET_S
    return max(record.last_crash_s, record.acquitted_s) + kept_s
