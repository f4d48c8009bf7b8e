"""Ports to the platform's store: the calls that a node makes and the records that it gets back.

The adapter in the platform's folder implements them and alone knows the store's names and formats.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result
from springbridge.problems import Problem
from springbridge.routing.evacuations import EvacuationUpdate
from springbridge.routing.records import Configuration, EndpointSnapshot

from springbridge_node.gateway.duties.duty_platform import LeaseStore

# Seconds that a call to the store may take.
CALL_TIMEOUT_S = 1.2
# Seconds that a call at the feed may take beyond the wait that it asks for. It covers the way there
# and back and a late wake-up of the store.
FEED_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A configuration as the operators wrote it; nodes pass it on to peers byte for byte."""

    version: int
    raw: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationNews:
    """The result of a read or of a wait at the feed.

    Attributes:
      cursor: Where the next wait continues.
      document: The newest configuration, or None if there is no new one that can be read.
      unreadable: Why there is one that does not even tell its version; "" if there is none.
      evacuations: What the operators ask for of failure domains.
    """

    cursor: int
    document: ConfigurationDocument | None
    unreadable: str = ""
    evacuations: EvacuationUpdate = EvacuationUpdate()


@dataclass(frozen=True, slots=True)
class StoredCrashes:
    """A request in quarantine as the store keeps it.

    Attributes:
      crashes: Ids of the crashes that count against it; see springbridge/crash_records.py.
      failed_trials: Those of them that ended a trial.
    """

    fingerprint: str
    crashes: tuple[int, ...]
    failed_trials: tuple[int, ...]


class PlatformStore(LeaseStore, Protocol):
    """The platform's store; a failed call returns TABLE_UNAVAILABLE unless its text says more.

    Cursors and revisions are stamps; see springbridge/store_stamp.py.
    """

    def on_older_copy(self, went_back: Callable[[int], None]) -> None:
        """Set who is told the new era when the store has come back from an older copy.

        What was written there in the last seconds may be gone, and revisions are given out again.
        """

    async def read_configuration(self) -> Result[ConfigurationNews, Problem]:
        """Return the newest configuration."""

    async def await_configuration(
        self, cursor: int, wait_s: float
    ) -> Result[ConfigurationNews, Problem]:
        """Return the next configuration as soon as there is one, or none after wait_s seconds.

        Returns:
          VERSION_CONFLICT if the store no longer has the changes after the cursor, so that the
          whole must be read again.
        """

    async def read_endpoints(self) -> Result[EndpointSnapshot, Problem]:
        """Return the endpoints that are listed now."""

    async def read_nodes(self) -> Result[list[str], Problem]:
        """Return the peer addresses of the nodes that announced themselves."""

    async def announce(self, peer_address: str) -> Result[None, Problem]:
        """Announce this node's peer address to nodes that start later."""

    async def read_crashes(self) -> Result[list[StoredCrashes], Problem]:
        """Return the requests in quarantine."""

    async def write_crashes(self, stored: StoredCrashes) -> Result[None, Problem]:
        """Keep a request in quarantine, in place of what was kept of it."""

    async def remove_crashes(self, fingerprint: str) -> Result[None, Problem]:
        """Keep nothing of a request any more."""


class ConfigurationReader(Protocol):
    """Parses a configuration as the operators wrote it."""

    def __call__(self, raw: bytes) -> Configuration:
        """Return the configuration.

        Raises:
          ValueError, KeyError, TypeError: The document is invalid.
        """
