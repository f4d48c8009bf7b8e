"""Finds peers when the seeds of the settings do not: by rows that nodes keep in the store.

Seeds may be stale or down. A few nodes therefore write their peer addresses into the store, and a
node that knows no live peer reads them. Each call to the store costs, so the nodes that write are
those that read the store for all, and a node with peers does not read.
"""

from collections.abc import Callable

from returns.result import Failure, Success
from springbridge.membership import Membership
from springbridge.routing.store_freshness import FEED_READERS

from springbridge_node import logs
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders

# Seconds between two looks; each reads the store only while this node is alone. Long beside the
# time in which a digest of a peer arrives, to spare the store.
DISCOVERY_INTERVAL_S = 2.0
# Seconds before the first look, in which seeds may answer without a call to the store. Like the
# interval.
DISCOVERY_DELAY_S = 2.0


class PeerDiscovery:
    """Announces this node in the store, and reads who else did while it is alone."""

    def __init__(
        self,
        membership: Membership,
        store: PlatformStore,
        readers: StoreReaders,
        seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        """Keep the parts.

        Args:
          seeds: Returns the peer addresses of the settings as they are now.
        """
        self._membership = membership
        self._store = store
        self._readers = readers
        self._seeds = seeds
        self._announced = False

    def announce_again(self) -> None:
        """Announce this node soon: the store has come back from an older copy."""
        self._announced = False

    async def step(self) -> None:
        """Announce this node if it has to, and look for peers if it has none."""
        if not self._announced and self._readers.include_me(FEED_READERS):
            await self._announce()
        if self._is_alone():
            await self._read_nodes()

    def _is_alone(self) -> bool:
        """Return whether at most this node itself is known to be live."""
        return len(self._membership.live()) < 2

    async def _announce(self) -> None:
        """Write this node's peer address; the next step tries again after a failure."""
        match await self._store.announce(self._membership.me.peer_address):
            case Success(_):
                self._announced = True
            case Failure(problem):
                logs.event("peers.announce_failed", detail=problem.detail)

    async def _read_nodes(self) -> None:
        """Add the announced nodes to the seeds, from which gossip takes peers to try."""
        announced: list[str] = []
        match await self._store.read_nodes():
            case Success(addresses):
                announced = addresses
            case Failure(problem):
                logs.event("peers.lookup_failed", detail=problem.detail)
        self._membership.set_listed([*self._seeds(), *announced])
