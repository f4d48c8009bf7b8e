"""Fetches a newer configuration from a peer as soon as a digest shows that the peer has one.

This is the fastest path for a change to nodes that do not long-poll the store, and the only one for
a node whose calls the store refuses. It runs as a task of its own, so that a peer that does not
reply delays no heartbeat.
"""

import asyncio

from springbridge.membership import Membership

from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.peers.peer_client import PeerClient

# Seconds before the next attempt while this node is still behind. Short compared with the 4 s
# within which a change has to be in force.
RETRY_S = 0.2
# Smallest version that a configuration can have, so that a node without one always fetches.
FIRST_VERSION = 1


class ConfigurationCatchUp:
    """Keeps this node's configuration up to date with the newest version among peers."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        peer_client: PeerClient,
    ) -> None:
        """Create a catch-up whose steps wait until it is woken."""
        self._membership = membership
        self._configuration = configuration
        self._peer_client = peer_client
        self._woken = asyncio.Event()

    def wake(self) -> None:
        """Make the next step run even if no peer is known to be ahead."""
        self._woken.set()

    def wake_if_behind(self) -> None:
        """Make the next step run if a peer has a newer configuration."""
        if self._is_behind():
            self.wake()

    async def step(self) -> None:
        """Wait until woken, then fetch a newer configuration; pause for RETRY_S if still behind."""
        await self._woken.wait()
        self._woken.clear()
        newest = max(self._newest_version(), FIRST_VERSION)
        await self._configuration.catch_up(newest, self._peer_client.configuration_after)
        if self._is_behind():
            await asyncio.sleep(RETRY_S)

    def _is_behind(self) -> bool:
        return self._newest_version() > self._configuration.version

    def _newest_version(self) -> int:
        """Return the newest version that a peer has in force, 0 without peers."""
        return max((member.config_version for member in self._membership.reachable()), default=0)
