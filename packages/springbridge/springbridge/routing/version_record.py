"""The record of versions: which versions the endpoints of each service have had, kept in the store.

It outlives the loss of all instances, which lose what they knew of the streams that they served. A
version is recorded before any instance uses an endpoint of it, so a stream that began since the
record does began at one of its versions. It is removed long after its last endpoint has left.

Times are seconds of the store's steady clock. Nothing here does input or output.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.routing.seen_versions import SeenReport

# Most versions of all services that are recorded, and most characters of a service and its version
# together. They keep the row below 32 KB. Beyond them the record says nothing.
MAX_VERSIONS = 100
MAX_CHARS = 300
# Moment from which on a record that says nothing holds each version.
NEVER_S = float("inf")

# A service and a version that endpoints of it have.
ServiceVersion = tuple[str, str]


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The versions of all services.

    Attributes:
      versions: Each service with each of its versions.
      since_s: From when on each version that an instance used is recorded; 0 if always.
      era: Era of the store in which it was written. One of an earlier era may be an older copy.
    """

    versions: frozenset[ServiceVersion] = frozenset()
    since_s: float = 0.0
    era: int = 0


@dataclass(frozen=True, slots=True)
class RecordReading:
    """The record as it was read.

    Attributes:
      record: None if there is none, or none that can be read.
      stamp: Stamp of its row, which a write has to name.
      now_s: Time of the reading.
      era: Era of the store.
    """

    record: VersionRecord | None
    stamp: int
    now_s: float
    era: int

    @property
    def is_of_era(self) -> bool:
        """Return whether there is a record, written in the era of the store."""
        return self.record is not None and self.record.era == self.era


def report_of(reading: RecordReading, service: str) -> SeenReport:
    """Return what the record tells of a service, as if an instance had watched it all the time."""
    record = reading.record
    if not reading.is_of_era:
        return SeenReport(frozenset(), 0.0)
    versions = frozenset(version for name, version in record.versions if name == service)
    return SeenReport(versions, max(0.0, reading.now_s - record.since_s))


def versions_in(entries: Iterable[EndpointEntry]) -> frozenset[ServiceVersion]:
    """Return the services of some endpoints with their versions."""
    return frozenset(
        (entry.service, entry.version) for entry in entries if entry.version is not None
    )


def next_record(
    reading: RecordReading,
    used: Collection[ServiceVersion],
    gone: Collection[ServiceVersion],
    first_start: bool,
) -> VersionRecord:
    """Return the record with further versions.

    Args:
      used: Versions on the list.
      gone: Versions that left it long ago.
      first_start: Whether the whole system starts for the first time, so that there were no others.
    """
    known = reading.record
    before = frozenset() if known is None else known.versions
    versions = (before - frozenset(gone)) | frozenset(used)
    if not _fits(versions):
        return without_versions(reading)
    return VersionRecord(versions, _since_s(reading, first_start), reading.era)


def without_versions(reading: RecordReading) -> VersionRecord:
    """Return a record that says nothing."""
    return VersionRecord(frozenset(), NEVER_S, reading.era)


def _since_s(reading: RecordReading, first_start: bool) -> float:
    """Return from when on the next record has each version."""
    known = reading.record
    if known is None:
        was_there_none = first_start and not reading.stamp and not reading.era
        return 0.0 if was_there_none else reading.now_s
    is_unbroken = known.era == reading.era and known.since_s != NEVER_S
    return known.since_s if is_unbroken else reading.now_s


def _fits(versions: Collection[ServiceVersion]) -> bool:
    """Return whether so many versions can be recorded."""
    longest = max((len(service) + len(version) for service, version in versions), default=0)
    return len(versions) <= MAX_VERSIONS and longest <= MAX_CHARS


def without_unrecorded(
    snapshot: EndpointSnapshot, recorded: Collection[ServiceVersion]
) -> EndpointSnapshot:
    """Return a list without the endpoints of versions that are not recorded yet.

    A service keeps them that has no others which stay: its callers need them.
    """
    services = {
        entry.service
        for entry in snapshot.entries
        if not entry.draining and (entry.service, entry.version) in recorded
    }
    entries = tuple(
        entry
        for entry in snapshot.entries
        if entry.service not in services or (entry.service, entry.version) in recorded
    )
    return replace(snapshot, entries=entries)
