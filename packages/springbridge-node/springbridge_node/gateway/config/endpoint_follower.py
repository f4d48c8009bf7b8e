"""Keeps the list of endpoints fresh: a few nodes read the store, the others follow them."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Failure, Success
from springbridge.membership import Membership, SnapshotStatus
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointSnapshot

from springbridge_node import logs
from springbridge_node.gateway.config.dependency import Dependency
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders

READERS = 2
CONFIRMED_S = 1.1
LOOK_S = 0.2
ASK_PEERS_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class AgedSnapshot:
    """A list of endpoints and how old it is, as peers hand it on."""

    snapshot: EndpointSnapshot
    age_s: float


FetchSnapshot = Callable[[str | None], Awaitable[AgedSnapshot | None]]


class EndpointFollower:
    """Brings the list of endpoints onto the registry.

    Every call to the store costs, so a few nodes, chosen by hashing over the live members, read it
    for all. The others see in the readers' digests whether their list is still the newest, and
    fetch a changed one from a peer. A node that no peer confirms reads for itself when its turn
    comes, and after a failure not again before all others had theirs.
    """

    def __init__(
        self,
        store: PlatformStore,
        registry: EndpointRegistry,
        membership: Membership,
        readers: StoreReaders,
        capacities: Callable[[], dict[str, int]],
        fetch: FetchSnapshot,
        changed: Callable[[], None],
        regained: Callable[[], None],
        interval_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep what to read from and where to put it.

        Args:
          capacities: Returns the tokens that an endpoint of each service can keep.
          fetch: Returns the list that a peer has, or that any has.
          changed: Called when this node read a changed list.
          regained: Called when the store answers again after a failure.
          interval_s: Pause between two reads of a reader.
        """
        self._store = store
        self._registry = registry
        self._membership = membership
        self._readers = readers
        self._capacities = capacities
        self._fetch = fetch
        self._changed = changed
        self._regained = regained
        self._interval_s = interval_s
        self._clock = clock
        self._next_turn_s = float("-inf")
        self.dependency = Dependency("store")

    def seen(self) -> SnapshotStatus:
        """Return what to tell peers of the list in use."""
        return SnapshotStatus(self._registry.fingerprint, min(1e6, self._registry.age_s()))

    async def step(self) -> None:
        """Keep the list fresh for one interval."""
        if self._readers.seeds_come_first() and await self._has_list_of_a_seed():
            await asyncio.sleep(LOOK_S)
        elif self._readers.include_me(READERS) or await self._has_to_stand_in():
            await self._read_store()
            await asyncio.sleep(self._interval_s)
        else:
            await asyncio.sleep(LOOK_S)

    async def _has_list_of_a_seed(self) -> bool:
        """Return whether a starting node leaves the store alone: it has a list or awaits one."""
        if self._registry.revision < 0:
            aged = await self._fetch(None)
            if aged is not None:
                self._install(aged, "seed")
        return self._registry.age_s() < CONFIRMED_S or self._readers.seeds_come_first()

    async def _has_to_stand_in(self) -> bool:
        """Return whether this node has to read: no peer confirms its list or gives a newer one."""
        snapshot_ages = self._membership.snapshot_ages()
        youngest, age_s = min(snapshot_ages, key=lambda pair: pair[1], default=(None, CONFIRMED_S))
        if age_s >= CONFIRMED_S or age_s >= self._registry.age_s():
            return self._is_its_turn()
        if youngest.endpoint_snapshot.fingerprint == self._registry.fingerprint:
            self._registry.confirm(age_s)
            return False
        aged = await self._fetch(youngest.peer_address)
        if aged is None:
            return True
        self._install(aged, "peer")
        return False

    def _is_its_turn(self) -> bool:
        """Return whether the list is so old that this node reads among those that stand in."""
        if self._registry.revision < 0:
            return True
        is_old = self._registry.age_s() >= CONFIRMED_S + self._readers.turn_s(READERS)
        return is_old and self._clock() >= self._next_turn_s

    async def _read_store(self) -> None:
        """Read once; ask a peer where the list has grown old."""
        match await self._store.read_endpoints():
            case Success(snapshot):
                if self._install(AgedSnapshot(snapshot, 0.0), "store"):
                    self._changed()
                if self.dependency.answered():
                    self._regained()
            case Failure(problem):
                self.dependency.failed(problem.detail)
                self._next_turn_s = self._clock() + self._readers.round_s()
                await self._ask_any_peer()

    async def _ask_any_peer(self) -> None:
        """Take a younger list from a peer."""
        if self._registry.age_s() < ASK_PEERS_AFTER_S:
            return
        aged = await self._fetch(None)
        if aged is not None and aged.age_s < self._registry.age_s():
            self._install(aged, "peer")

    def _install(self, aged: AgedSnapshot, source: str) -> bool:
        """Put a list in use, log it if it brought a change, and return whether it did."""
        changed = self._registry.install(aged.snapshot, self._capacities(), aged.age_s)
        if changed:
            logs.event(
                "engines.changed",
                revision=aged.snapshot.revision,
                age_ms=round(aged.age_s * 1000),
                source=source,
                listed=len(aged.snapshot.entries),
                draining=sorted(
                    entry.endpoint_id for entry in aged.snapshot.entries if entry.draining
                ),
            )
        return changed
