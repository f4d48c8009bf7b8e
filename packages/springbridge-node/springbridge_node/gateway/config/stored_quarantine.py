"""Keeps requests in quarantine in the platform's store, so that a loss of all nodes loses none.

Without it a fleet that starts anew would learn of each such request by the loss of three further
endpoints. Few calls: a row for each request in quarantine, written by the node whose trial failed,
and read once by the nodes that read the store for all. The row goes when a trial ends well, or when
nothing has happened to the request for so long that all nodes forget it.

How old a row is it does not say, since nodes share no clock; a node that reads one counts the
crashes from then on, unless peers know better.
"""

from collections.abc import Callable

from returns.result import Failure, Result, Success
from springbridge.crash_records import CrashRecords, CrashReport, ReportedCrash
from springbridge.problems import Problem
from springbridge.routing.store_freshness import SNAPSHOT_READERS

from springbridge_node import logs
from springbridge_node.gateway.config.platform_store import PlatformStore, StoredCrashes
from springbridge_node.gateway.config.store_readers import StoreReaders

# Seconds between two looks at what has to be written or read. Short beside the seconds until a
# request in quarantine is tried again.
LOOK_S = 1.0
# Rows that are waiting to be written or removed. Bounds the memory while the store is out. A share
# of the records that a node keeps.
MOST_WAITING = 64


class StoredQuarantine:
    """Writes, reads and removes the rows."""

    def __init__(
        self,
        store: PlatformStore,
        readers: StoreReaders,
        records: CrashRecords,
        adopt: Callable[[CrashReport], None],
    ) -> None:
        """Start without anything to do but to read.

        Args:
          adopt: Takes in a record of the store and tells peers of it.
        """
        self._store = store
        self._readers = readers
        self._records = records
        self._adopt = adopt
        self._was_read = False
        self._to_write: dict[str, None] = {}
        self._written: dict[str, None] = {}
        self._to_remove: dict[str, None] = {}
        self._removed: dict[str, None] = {}

    def entered(self, fingerprint: str) -> None:
        """Write the row of a request soon."""
        self._to_remove.pop(fingerprint, None)
        self._removed.pop(fingerprint, None)
        self._to_write[fingerprint] = None
        _bound(self._to_write)

    def left(self, fingerprint: str) -> None:
        """Remove the row of a request soon."""
        self._to_write.pop(fingerprint, None)
        self._written.pop(fingerprint, None)
        self._to_remove[fingerprint] = None
        _bound(self._to_remove)

    def expired(self, fingerprint: str) -> None:
        """Remove the row of a request that all nodes forget at about the same moment."""
        if self._readers.include_me(1):
            self.left(fingerprint)

    def write_again(self) -> None:
        """Write and remove anew what this node did: the store has come back from an older copy."""
        for fingerprint in self._written:
            self.entered(fingerprint)
        for fingerprint in self._removed:
            self.left(fingerprint)

    async def step(self) -> None:
        """Do what is due; what fails is tried again at the next look."""
        if not self._was_read and self._readers.include_me(SNAPSHOT_READERS):
            await self._read()
        for fingerprint in list(self._to_write):
            if await self._write(fingerprint):
                self._to_write.pop(fingerprint, None)
                self._written[fingerprint] = None
                _bound(self._written)
        for fingerprint in list(self._to_remove):
            if _is_done("remove", await self._store.remove_crashes(fingerprint)):
                self._to_remove.pop(fingerprint, None)
                self._removed[fingerprint] = None
                _bound(self._removed)

    async def _write(self, fingerprint: str) -> bool:
        """Write the row of a request, and return whether nothing is left to do."""
        record = self._records.find(fingerprint)
        if record is None:
            return True
        stored = StoredCrashes(fingerprint, tuple(record.counted), tuple(record.failed_trials))
        return _is_done("write", await self._store.write_crashes(stored))

    async def _read(self) -> None:
        """Take in the rows of the store."""
        found = await self._store.read_crashes()
        if not _is_done("read", found):
            return
        self._was_read = True
        for stored in found.unwrap():
            crashes = tuple(
                ReportedCrash(name, 0.0, name in stored.failed_trials) for name in stored.crashes
            )
            self._adopt(CrashReport(stored.fingerprint, crashes))


def _is_done(call: str, result: Result[object, Problem]) -> bool:
    """Return whether a call to the store succeeded, and log it if not."""
    match result:
        case Success(_):
            return True
        case Failure(problem):
            logs.event("quarantine.store_failed", call=call, detail=problem.detail)
    return False


def _bound(waiting: dict[str, None]) -> None:
    """Drop the oldest entry beyond MOST_WAITING."""
    if len(waiting) > MOST_WAITING:
        del waiting[next(iter(waiting))]
