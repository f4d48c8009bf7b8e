"""Records the versions of endpoints in the store before they are used, and asks for them.

Owns what this instance knows of the record: all of it as of the last call, and which versions on
the list are confirmed to be in it. routing/version_record.py says what it holds. Instances
that read the list from the store record its versions. A version that the store does not take at
once waits for a later list; all else on the list does not. While an instance of a build
that records nothing is in the fleet, the record says nothing.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success
from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.records import EndpointSnapshot
from springbridge.routing.seen_versions import REMEMBERED_S, SeenReport
from springbridge.routing.version_record import (
    RecordReading,
    ServiceVersion,
    VersionRecord,
    next_record,
    report_of,
    versions_in,
    without_unrecorded,
    without_versions,
)

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.periodic import guarded_step

# Longest time in seconds for which the first list of an instance waits for its versions to be
# recorded: it knows none that were.
FIRST_WAIT_S = 0.5
# The same for later lists, some round trips to the store. Departures must not wait for it.
WAIT_S = 0.05
# Pause in seconds after a failure, or while the record says nothing, before the next attempt.
RETRY_S = 2.0
# Seconds for which a reading serves the callers that come back at this instance. It bounds the
# calls after the loss of all instances.
READING_LIFE_S = 1.0
# Attempts to write while other instances write too.
ATTEMPTS = 3

T = TypeVar("T")


class VersionRegister:
    """The record of versions, as one instance writes and reads it."""

    def __init__(
        self,
        store: PlatformStore,
        all_record: Callable[[], bool],
        first_start: bool,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Start without knowing the record.

        Args:
          all_record: Returns whether all instances record the versions that they use.
          first_start: Whether the whole system starts for the first time.
        """
        self._store = store
        self._all_record = all_record
        self._first_start = first_start
        self._clock = clock
        self._has_list = False
        self._recorded: frozenset[ServiceVersion] = frozenset()
        self._confirmed: frozenset[ServiceVersion] = frozenset()
        self._absent_since_s: dict[ServiceVersion, float] = {}
        self._not_before_s = float("-inf")
        self._writing: asyncio.Task | None = None
        self._reads = asyncio.Lock()
        self._reading: RecordReading | None = None
        self._read_s = float("-inf")

    def store_went_back(self) -> None:
        """Record all versions again: the store may have lost them."""
        self._confirmed = frozenset()

    async def admit(self, snapshot: EndpointSnapshot) -> EndpointSnapshot:
        """Return a list that was read from the store without the versions that have to wait."""
        used = versions_in(snapshot.entries)
        # A version that comes back may have been taken off the record by another instance.
        self._confirmed &= used
        if self._has_to_write(used):
            self._begin_write(used)
            await asyncio.wait([self._writing], timeout=WAIT_S if self._has_list else FIRST_WAIT_S)
        self._has_list = True
        return without_unrecorded(snapshot, self._confirmed)

    def _has_to_write(self, used: frozenset[ServiceVersion]) -> bool:
        """Return whether the record has to be read, and perhaps to be changed."""
        return not used <= self._confirmed or bool(self._gone(used)) or not self._all_record()

    async def report(self, service: str) -> SeenReport:
        """Return what the record tells of a service; nothing if the store does not answer."""
        if not self._all_record():
            return SeenReport(frozenset(), 0.0)
        async with self._reads:
            if self._clock() >= self._read_s + READING_LIFE_S:
                self._read_s = self._clock()
                found = await self._store.read_versions()
                self._reading = _logged("read", found).value_or(None)
        if self._reading is None:
            return SeenReport(frozenset(), 0.0)
        return report_of(self._reading, service)

    def _gone(self, used: frozenset[ServiceVersion]) -> frozenset[ServiceVersion]:
        """Return the recorded versions that left the list long ago."""
        absent = self._recorded - used
        now_s = self._clock()
        self._absent_since_s = {each: self._absent_since_s.get(each, now_s) for each in absent}
        return frozenset(
            each
            for each, since_s in self._absent_since_s.items()
            if now_s >= since_s + REMEMBERED_S
        )

    def _begin_write(self, used: frozenset[ServiceVersion]) -> None:
        """Begin to record versions, unless that is under way or just failed."""
        if self._writing is not None:
            is_paused = self._clock() < self._not_before_s
            if is_paused or not self._writing.done():
                return

        async def write_versions() -> None:
            await self._write(used, self._gone(used))

        self._writing = asyncio.ensure_future(guarded_step(write_versions))

    async def _write(
        self, used: frozenset[ServiceVersion], gone: frozenset[ServiceVersion]
    ) -> None:
        """Write the versions, unless the record has them."""
        self._not_before_s = self._clock() + RETRY_S
        for _ in range(ATTEMPTS):
            found = _logged("read", await self._store.read_versions())
            if isinstance(found, Failure):
                return
            reading = found.unwrap()
            record = self._next(reading, used, gone)
            if record == reading.record or await self._put(record, reading.stamp):
                self._take(record, used)
                return

    async def _put(self, record: VersionRecord, before: int) -> bool:
        """Write a record, and return whether the store took it."""
        written = await self._store.write_versions(record, before)
        if isinstance(written, Failure) and written.failure().code is Code.VERSION_CONFLICT:
            # Another instance was faster; the next attempt reads what it wrote.
            return False
        return isinstance(_logged("write", written), Success)

    def _next(
        self,
        reading: RecordReading,
        used: frozenset[ServiceVersion],
        gone: frozenset[ServiceVersion],
    ) -> VersionRecord:
        """Return the record that has to be in the store."""
        if not self._all_record():
            return without_versions(reading)
        return next_record(reading, used, gone, self._first_start)

    def _take(self, record: VersionRecord, used: frozenset[ServiceVersion]) -> None:
        """Note what is recorded, and log it if it is new."""
        if record.versions != self._recorded:
            logs.event("versions.recorded", versions=sorted(map(list, record.versions)))
        self._recorded = record.versions
        self._confirmed = record.versions & used
        if used <= record.versions:
            self._not_before_s = float("-inf")


def _logged(call: str, found: Result[T, Problem]) -> Result[T, Problem]:
    """Return the result of a call, and log a failure."""
    if isinstance(found, Failure):
        logs.event("versions.store_failed", call=call, detail=found.failure().detail)
    return found
