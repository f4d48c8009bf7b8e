"""Finds peers through the store when the configured seeds do not answer.

Seeds may be stale or down. A few nodes therefore write their peer addresses to the store, and a
node that knows no live peer reads them. Each call to the store is costly, so the nodes that write
are those that read the store on behalf of the others, and a node with peers does not read.
"""

from collections.abc import Callable

from returns.result import Failure, Success
from springbridge.membership import Membership
from springbridge.routing.store_freshness import FEED_READERS

from springbridge_node import logs
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders

# Seconds between two steps; each reads the store only while this node knows no live peer. Long
# compared with the time in which a peer's digest arrives, to limit the load on the store.
DISCOVERY_INTERVAL_S = 2.0
# Seconds before the first step, within which seeds may answer without a call to the store. Equal to
# the interval.
DISCOVERY_DELAY_S = 2.0


class PeerDiscovery:
    """Announces this node in the store, and reads announced peers while it knows no live one."""

    def __init__(
        self,
        membership: Membership,
        store: PlatformStore,
        readers: StoreReaders,
        seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        """Start without an announcement.

        Args:
          seeds: Returns the seed addresses of the current settings.
        """
        self._membership = membership
        self._store = store
        self._readers = readers
        self._seeds = seeds
        self._announced = False

    def announce_again(self) -> None:
        """Announce this node at the next step: the store was restored from an older copy."""
        self._announced = False

    async def step(self) -> None:
        """Announce this node if that is its role, and read peers if it knows no live one."""
        if not self._announced and self._readers.include_me(FEED_READERS):
            await self._announce()
        if self._is_alone():
            await self._read_nodes()

    def _is_alone(self) -> bool:
        """Return whether this node knows no live peer."""
        return len(self._membership.live()) < 2

    async def _announce(self) -> None:
        """Write this node's peer address to the store; after a failure the next step retries."""
        match await self._store.announce(self._membership.me.peer_address):
            case Success(_):
                self._announced = True
            case Failure(problem):
                logs.event("peers.announce_failed", detail=problem.detail)

    async def _read_nodes(self) -> None:
        """Add the announced addresses to the seeds among which gossip picks targets."""
        announced: list[str] = []
        match await self._store.read_nodes():
            case Success(addresses):
                announced = addresses
            case Failure(problem):
                logs.event("peers.lookup_failed", detail=problem.detail)
        self._membership.set_listed([*self._seeds(), *announced])
