"""Persists what is in quarantine in the platform's store, so that it survives a loss of all nodes.

Requests and parts of prompts alike, by the name of their crash record; below it says requests.

Without it a restarted fleet would lose three further endpoints to each such request before it
quarantines it again. The load on the store is low: there is one row for each quarantined request,
written by the node whose trial failed and read once by the nodes that read the store for the fleet.
The row is removed when a trial succeeds, or when the request has been inactive for so long that all
nodes expire it.

A row carries no time, since nodes share no clock. A node that reads one takes the crashes as new,
unless peers know their age.
"""

from collections.abc import Callable

from returns.result import Failure, Result, Success
from springbridge.crash_records import CrashRecord, CrashReport, ReportedCrash
from springbridge.problems import Problem
from springbridge.routing.store_freshness import SNAPSHOT_READERS

from springbridge_node import logs
from springbridge_node.gateway.config.platform_store import PlatformStore, StoredCrashes
from springbridge_node.gateway.config.store_readers import StoreReaders

# Seconds between two checks for rows to write, remove or read. Short compared with the time until a
# quarantined request is tried again.
CHECK_INTERVAL_S = 1.0
# Most rows that wait to be written, or to be removed. Bounds memory while the store is down. A
# fraction of the records that a node keeps.
MAX_PENDING_ROWS = 64


class StoredQuarantine:
    """Writes, reads and removes the rows of quarantined requests."""

    def __init__(
        self,
        store: PlatformStore,
        readers: StoreReaders,
        find: Callable[[str], CrashRecord | None],
        adopt: Callable[[CrashReport], None],
    ) -> None:
        """Start with no pending writes; the rows are still to be read.

        Args:
          find: Returns the crash record of a request, by its fingerprint, or of a part, by its key.
          adopt: Merges a record from the store and announces it to peers.
        """
        self._store = store
        self._readers = readers
        self._find = find
        self._adopt = adopt
        self._was_read = False
        self._to_write: dict[str, None] = {}
        self._written: dict[str, None] = {}
        self._to_remove: dict[str, None] = {}
        self._removed: dict[str, None] = {}

    def entered(self, fingerprint: str) -> None:
        """Schedule the write of a quarantined request's row."""
        self._to_remove.pop(fingerprint, None)
        self._removed.pop(fingerprint, None)
        self._to_write[fingerprint] = None
        _drop_oldest(self._to_write)

    def left(self, fingerprint: str) -> None:
        """Schedule the removal of the row of a request that left quarantine."""
        self._to_write.pop(fingerprint, None)
        self._written.pop(fingerprint, None)
        self._to_remove[fingerprint] = None
        _drop_oldest(self._to_remove)

    def expired(self, fingerprint: str) -> None:
        """Schedule the removal of an expired row.

        All nodes expire a request at about the same moment; only the first-ranked one removes it.
        """
        if self._readers.include_me(1):
            self.left(fingerprint)

    def rewrite_rows(self) -> None:
        """Repeat this node's writes and removals: the store was restored from an older copy."""
        for fingerprint in self._written:
            self.entered(fingerprint)
        for fingerprint in self._removed:
            self.left(fingerprint)

    async def step(self) -> None:
        """Read, write and remove pending rows; failed calls are retried at the next step."""
        if not self._was_read and self._readers.include_me(SNAPSHOT_READERS):
            await self._read()
        for fingerprint in list(self._to_write):
            if await self._write(fingerprint):
                self._to_write.pop(fingerprint, None)
                self._written[fingerprint] = None
                _drop_oldest(self._written)
        for fingerprint in list(self._to_remove):
            if _succeeded("remove", await self._store.remove_crashes(fingerprint)):
                self._to_remove.pop(fingerprint, None)
                self._removed[fingerprint] = None
                _drop_oldest(self._removed)

    async def _write(self, fingerprint: str) -> bool:
        """Write the row of a request; return whether it needs no further attempt."""
        record = self._find(fingerprint)
        if record is None:
            return True
        stored = StoredCrashes(fingerprint, tuple(record.counted), tuple(record.failed_trials))
        return _succeeded("write", await self._store.write_crashes(stored))

    async def _read(self) -> None:
        """Read the rows of the store and merge them into the records."""
        found = await self._store.read_crashes()
        if not _succeeded("read", found):
            return
        self._was_read = True
        for stored in found.unwrap():
            crashes = tuple(
                ReportedCrash(name, 0.0, name in stored.failed_trials) for name in stored.crashes
            )
            self._adopt(CrashReport(stored.fingerprint, crashes))


def _succeeded(call: str, result: Result[object, Problem]) -> bool:
    """Return whether a call to the store succeeded, and log a failure."""
    match result:
        case Success(_):
            return True
        case Failure(problem):
            logs.event("quarantine.store_failed", call=call, detail=problem.detail)
    return False


def _drop_oldest(waiting: dict[str, None]) -> None:
    """Drop the oldest entry beyond MAX_PENDING_ROWS."""
    if len(waiting) > MAX_PENDING_ROWS:
        del waiting[next(iter(waiting))]
