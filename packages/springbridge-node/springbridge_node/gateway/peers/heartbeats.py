"""This node among its peers: its heartbeat, what it hears from theirs, and how it finds them."""

import asyncio
import time
from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing.store_freshness import FEED_READERS

from springbridge_node import logs
from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.config.endpoint_follower import EndpointFollower
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.gossip import Gossip
from springbridge_node.gateway.peers.peer_snapshots import PeerClient

BEAT_S = 0.25
STALL_S = 0.6
BEHIND_PAUSE_S = 0.2
ALONE_READ_S = 2.0
FIND_PEERS_AFTER_S = 2.0
FIRST_VERSION = 1
OLDEST_TOLD_S = 1e6


class Heartbeats:
    """Tells peers of this node, and takes in what their digests say of the configuration."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        endpoints: EndpointFollower,
        peer_client: PeerClient,
        store: PlatformStore,
        readers: StoreReaders,
        is_ready: Callable[[], bool],
    ) -> None:
        """Keep the parts.

        Args:
          is_ready: Returns whether callers may be sent here; a node is silent before.
        """
        self._membership = membership
        self._configuration = configuration
        self._endpoints = endpoints
        self._peer_client = peer_client
        self._store = store
        self._readers = readers
        self._is_ready = is_ready
        self._gossip: Gossip | None = None
        self._peers_ahead = asyncio.Event()
        self._announced = False
        self._last_beat_s = time.monotonic()

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to listen to peers."""
        self._gossip = Gossip(self._membership, datagrams, self._digest_heard)

    def push(self) -> None:
        """Tell all peers at once what this node knows."""
        self._state()
        if self._is_ready():
            self.push_phase()

    def push_phase(self) -> None:
        """Tell all peers at once whether this node leaves or has gone."""
        if self._gossip is not None:
            self._gossip.push()

    async def beat(self) -> None:
        """Send a digest; a node that was never ready stays silent and asks for what it lacks."""
        self._notice_stall()
        for member, age_s in self._membership.confirmations():
            self._configuration.confirm(member.config_version, age_s)
        if self._is_ready() or not self._membership.is_live():
            self._state()
            self._gossip.send(self._membership.gossip_targets())
        elif self._configuration.index is None:
            self._peers_ahead.set()

    async def follow_peers(self) -> None:
        """Take a newer configuration from a peer, which helps a node that the store turns away."""
        await self._peers_ahead.wait()
        self._peers_ahead.clear()
        newest = max(self._newest_version(), FIRST_VERSION)
        await self._configuration.catch_up(newest, self._peer_client.configuration_after)
        if self._newest_version() > self._configuration.version:
            await asyncio.sleep(BEHIND_PAUSE_S)

    async def find_peers(self, own_address: str, seeds: Callable[[], tuple[str, ...]]) -> None:
        """Announce this node once if it reads for all, and read who else did while it is alone."""
        if not self._announced and self._readers.include_me(FEED_READERS):
            told = await self._store.announce(own_address)
            self._announced = told.map(lambda _: True).value_or(False)
        if len(self._membership.live()) < 2:
            listed = (await self._store.read_nodes()).value_or([])
            self._membership.set_listed([*seeds(), *listed])

    def forget_gone(self) -> None:
        """Drop what is kept of members that are gone."""
        self._membership.forget_old()
        self._gossip.forget_gone()

    def _notice_stall(self) -> None:
        """After a time in which this process did not run, read the configuration anew.

        It comes first, so that no digest confirms what was known before that time.
        """
        now_s = time.monotonic()
        last_s, self._last_beat_s = self._last_beat_s, now_s
        if now_s - last_s > STALL_S + BEAT_S:
            logs.event("node.stalled", seconds=round(now_s - last_s, 3))
            self._configuration.refresh()

    def _state(self) -> None:
        """Count up this node's heartbeat and state what it knows."""
        self._membership.beat(
            self._configuration.version,
            min(OLDEST_TOLD_S, self._configuration.age_s()),
            not self._endpoints.dependency.up,
            self._endpoints.seen(),
        )

    def _digest_heard(self) -> None:
        """Wake the task that catches up if a peer has a newer configuration."""
        if self._newest_version() > self._configuration.version:
            self._peers_ahead.set()

    def _newest_version(self) -> int:
        """Return the newest version of the configuration that a peer has in force."""
        return max((member.config_version for member in self._membership.reachable()), default=0)
