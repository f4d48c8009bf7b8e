"""Ports: the platform's store as a node needs it. The adapter stands with the platform's names."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result
from springbridge.problems import Problem
from springbridge.routing.records import Configuration, EndpointSnapshot

# How long a call to the store may take, and how much longer than its wait one that waits.
CALL_TIMEOUT_S = 1.2
FEED_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A configuration as the operators wrote it, which nodes pass on unread."""

    version: int
    raw: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationNews:
    """What a read or a wait brought.

    Attributes:
      cursor: Where the next wait goes on.
      document: The newest configuration, or None if nothing changed.
    """

    cursor: int
    document: ConfigurationDocument | None


class PlatformStore(Protocol):
    """The platform's store; every problem is TABLE_UNAVAILABLE unless it says otherwise."""

    async def read_configuration(self) -> Result[ConfigurationNews, Problem]:
        """Return the newest configuration."""

    async def await_configuration(
        self, cursor: int, wait_s: float
    ) -> Result[ConfigurationNews, Problem]:
        """Return the next configuration as soon as there is one, or none after a time.

        Returns:
          VERSION_CONFLICT where the store no longer knows what followed the cursor.
        """

    async def read_endpoints(self) -> Result[EndpointSnapshot, Problem]:
        """Return the endpoints that are listed."""

    async def read_nodes(self) -> Result[list[str], Problem]:
        """Return the peer addresses of nodes that announced themselves."""

    async def announce(self, peer_address: str) -> Result[None, Problem]:
        """Write this node's peer address for nodes that start later."""


class ConfigurationReader(Protocol):
    """Reads the operators' document."""

    def __call__(self, raw: bytes) -> Configuration:
        """Return the configuration.

        Raises:
          ValueError: The document cannot be read.
        """
