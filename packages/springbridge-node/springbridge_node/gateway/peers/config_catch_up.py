"""Fetches a newer configuration as soon as a digest shows that a peer has one.

This is the fast way for a change to reach the nodes that do not wait at the store, and the only one
for a node that the store turns away. It has a task of its own, so that a peer that does not reply
delays no heartbeat.
"""

import asyncio

from springbridge.membership import Membership

from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.peers.peer_client import PeerClient

# Seconds before the next try while this node is still behind. Short beside the four seconds within
# which a change has to be in force.
RETRY_S = 0.2
# Smallest version that a configuration can have, so that a node without one always asks.
FIRST_VERSION = 1


class ConfigurationCatchUp:
    """Keeps this node's configuration level with the newest that peers have."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        peer_client: PeerClient,
    ) -> None:
        """Keep the parts."""
        self._membership = membership
        self._configuration = configuration
        self._peer_client = peer_client
        self._woken = asyncio.Event()

    def wake(self) -> None:
        """Let the next step begin."""
        self._woken.set()

    def wake_if_behind(self) -> None:
        """Let the next step begin if a peer has a newer configuration."""
        if self._is_behind():
            self.wake()

    async def step(self) -> None:
        """Wait until woken, then fetch what peers have that is newer."""
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
