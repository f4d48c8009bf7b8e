"""Ports to the platform's store: the calls that a node makes and the records that they return.

The adapter in the platform folder implements them; only it knows the store's names and formats.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result
from springbridge.problems import Problem
from springbridge.routing.evacuations import EvacuationUpdate
from springbridge.routing.records import Configuration, EndpointSnapshot
from springbridge.routing.version_record import RecordReading, VersionRecord

from springbridge_node.gateway.duties.duty_platform import LeaseStore

# Seconds that a call to the store may take.
CALL_TIMEOUT_S = 1.2
# Seconds that a long poll may take beyond the wait that it requests. Covers the network round trip
# and a late wake-up of the store.
FEED_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A configuration as the operators wrote it; nodes send it to peers byte for byte."""

    version: int
    raw: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """The result of a read or of a long poll at the feed.

    Attributes:
      cursor: Position in the feed at which the next long poll continues.
      document: The newest configuration, or None if there is no new readable one.
      unreadable: Why a configuration could not be parsed as far as its version; "" if none failed.
      evacuations: The failure domains that the operators evacuate.
    """

    cursor: int
    document: ConfigurationDocument | None
    unreadable: str = ""
    evacuations: EvacuationUpdate = EvacuationUpdate()


@dataclass(frozen=True, slots=True)
class StoredCrashes:
    """A quarantined request as the store keeps it.

    Attributes:
      crashes: Ids of the crashes that count against it; see springbridge/crash_records.py.
      failed_trials: Those of them that happened in a trial.
    """

    fingerprint: str
    crashes: tuple[int, ...]
    failed_trials: tuple[int, ...]


class PlatformStore(LeaseStore, Protocol):
    """The platform's store; a failed call returns TABLE_UNAVAILABLE unless documented otherwise.

    Cursors and revisions are stamps; see springbridge/store_stamp.py.
    """

    def unreadable_rows(self) -> Mapping[str, int]:
        """Return how many rows could not be read at the last read, by table."""

    def on_store_rollback(self, on_rollback: Callable[[int], None]) -> None:
        """Set the callback that gets the new era after the store was restored from an older copy.

        Writes of the last seconds may be lost then, and revisions are assigned a second time.
        """

    async def read_configuration(self) -> Result[ConfigurationUpdate, Problem]:
        """Return the newest configuration."""

    async def await_configuration(
        self, cursor: int, wait_s: float
    ) -> Result[ConfigurationUpdate, Problem]:
        """Return the next configuration as soon as there is one, or none after wait_s seconds.

        Returns:
          VERSION_CONFLICT if the store no longer has the changes after the cursor; the whole
          configuration must then be read again.
        """

    async def read_endpoints(self) -> Result[EndpointSnapshot, Problem]:
        """Return the current endpoint list."""

    async def read_versions(self) -> Result[RecordReading, Problem]:
        """Return the record of versions."""

    async def write_versions(self, record: VersionRecord, before: int) -> Result[None, Problem]:
        """Write the record if its row still has the stamp `before` (compare and set).

        Returns:
          VERSION_CONFLICT if it has another one.
        """

    async def read_nodes(self) -> Result[list[str], Problem]:
        """Return the peer addresses that nodes have announced."""

    async def announce(self, peer_address: str) -> Result[None, Problem]:
        """Register this node's peer address for nodes that start later."""

    async def read_crashes(self) -> Result[list[StoredCrashes], Problem]:
        """Return the stored records of all quarantined requests."""

    async def write_crashes(self, stored: StoredCrashes) -> Result[None, Problem]:
        """Store the record of a quarantined request, replacing an earlier one."""

    async def remove_crashes(self, fingerprint: str) -> Result[None, Problem]:
        """Delete the record of a request."""


class ConfigurationParser(Protocol):
    """Parses a configuration as the operators wrote it."""

    def __call__(self, raw: bytes) -> Configuration:
        """Return the parsed configuration.

        Raises:
          Exception: The document is invalid.
        """
