"""Keeps the endpoint list up to date: a few nodes poll the store, the others follow their peers.

Owns when the list is read or fetched; the endpoint registry owns the list itself.
routing/store_freshness.py decides which nodes read. The other nodes learn from their peers' digests
whether their list is still the newest, and fetch a changed list from a peer, which lacks versions
if the peer runs an older build: then they read the store as well.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, replace

from returns.result import Failure, Success
from springbridge.item_reader import UnreadableItem
from springbridge.membership import Membership, SnapshotStatus
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.listed_entries import with_cold_only_for, without_addresses
from springbridge.routing.records import EndpointSnapshot
from springbridge.routing.stated_slots import BoundedSlots, with_bounded_slots
from springbridge.routing.store_freshness import (
    ASK_PEERS_AFTER_S,
    CHECK_INTERVAL_S,
    OLDEST_AGE_S,
    SNAPSHOT_READERS,
    SnapshotComparison,
    compare_with_peer,
    is_confirmed,
    is_overdue,
)

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.dependency import Dependency
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.source import Source
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.config.unreadable_items import UnreadableItemLog
from springbridge_node.periodic import next_tick


@dataclass(frozen=True, slots=True)
class AgedSnapshot:
    """An endpoint list and the seconds since it was last known to be the newest."""

    snapshot: EndpointSnapshot
    age_s: float


@dataclass(frozen=True, slots=True)
class _PeerStatus:
    """The status of a peer's endpoint list, from its last digest.

    Attributes:
      snapshot: Fingerprint of the list, and its age as of now.
    """

    address: str
    snapshot: SnapshotStatus


@dataclass(frozen=True, slots=True)
class _SameContent:
    """Fingerprints of two equal lists, computed by builds that hash differently."""

    own: int
    peer: int


# Seconds for which a peer's different fingerprint counts as the same content. During a rollout this
# saves four of five fetches. If the list changes while it is fetched, the change stays hidden for
# this long, and requests still go to endpoints that left; so it must not be longer.
SAME_CONTENT_S = 1.0

FetchSnapshot = Callable[[str | None], Awaitable[AgedSnapshot | None]]


async def _admit_all(snapshot: EndpointSnapshot) -> EndpointSnapshot:
    """Return a list as it is."""
    return snapshot


@dataclass(frozen=True, slots=True)
class FollowerHooks:
    """The functions of the node that the follower calls.

    Attributes:
      capacities: Returns the token capacity of an endpoint by service.
      fetch: Returns the list of the peer at an address, or of any peer for None; None if no peer
        returns one.
      on_changed: Called when this node has read a changed list from the store.
      on_regained: Called when the store answers again after a failure.
      cold_services: Returns the services whose cold endpoints have a limited request rate.
      admit: Returns a list of the store without the endpoints that must not be used yet.
    """

    capacities: Callable[[], dict[str, int]]
    fetch: FetchSnapshot
    on_changed: Callable[[], None]
    on_regained: Callable[[], None]
    cold_services: Callable[[], Collection[str]] = tuple
    admit: Callable[[EndpointSnapshot], Awaitable[EndpointSnapshot]] = _admit_all


def _log_unreadable(item: UnreadableItem) -> None:
    """Log an entry of the list that names no endpoint."""
    logs.event("engines.unreadable", key=item.key, reason=item.reason)


class EndpointFollower:
    """Installs the newest endpoint list in the registry.

    Attributes:
      dependency: Whether the store answered the last read by this node.
      unreadable: Log and count of the entries of the store's list that could not be parsed.
    """

    def __init__(
        self,
        store: PlatformStore,
        registry: EndpointRegistry,
        membership: Membership,
        readers: StoreReaders,
        hooks: FollowerHooks,
        interval_s: float,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Start without a list.

        Args:
          readers: Tells whether this node reads the store on behalf of the fleet.
          interval_s: Pause of a reader between two reads, in seconds.
        """
        self._store = store
        self._registry = registry
        self._membership = membership
        self._readers = readers
        self._hooks = hooks
        self._interval_s = interval_s
        self._clock = clock
        self._next_turn_s = float("-inf")
        self._same_content: _SameContent | None = None
        self._same_until_s = float("-inf")
        self._bounded: tuple[BoundedSlots, ...] = ()
        self.dependency = Dependency("store")
        self.unreadable = UnreadableItemLog(_log_unreadable)

    def snapshot_status(self) -> SnapshotStatus:
        """Return fingerprint and age of the list in use, for digests to peers."""
        return SnapshotStatus(self._registry.fingerprint, min(OLDEST_AGE_S, self._registry.age_s()))

    async def step(self) -> None:
        """Read or fetch the list if that is due, then wait for one interval."""
        if self._readers.waits_for_seeds() and await self._can_rely_on_seeds():
            await next_tick(CHECK_INTERVAL_S)
        elif self._readers.include_me(SNAPSHOT_READERS) or await self._must_read_for_readers():
            await self._read_store()
            await asyncio.sleep(self._interval_s)
        else:
            await next_tick(CHECK_INTERVAL_S)

    async def _can_rely_on_seeds(self) -> bool:
        """Return whether a starting node need not read the store.

        It need not while its list is confirmed, or while a seed may still return one.
        """
        if self._registry.revision < 0:
            aged = await self._hooks.fetch(None)
            if aged is not None:
                self._install(aged, Source.SEED)
        return is_confirmed(self._registry.age_s()) or self._readers.waits_for_seeds()

    async def _must_read_for_readers(self) -> bool:
        """Return whether this node must read the store: no peer confirms or returns the list.

        Peers of older builds pass lists on without the versions of endpoints.
        """
        own = SnapshotStatus(self._registry.fingerprint, self._registry.age_s())
        peer = self._peer_with_youngest()
        youngest = self._with_own_fingerprint(own, peer.snapshot) if peer else None
        match compare_with_peer(own, youngest):
            case SnapshotComparison.CONFIRMS:
                self._registry.confirm(youngest.age_s)
                return self._registry.lacks_versions()
            case SnapshotComparison.DIFFERS:
                was_fetched = await self._fetch_from(peer)
                return not was_fetched or self._registry.lacks_versions()
            case SnapshotComparison.NO_HELP:
                return self._is_its_turn()

    def _peer_with_youngest(self) -> _PeerStatus | None:
        """Return the peer with the youngest list, or None if there are no peers."""
        ages = self._membership.snapshot_ages()
        if not ages:
            return None
        member, age_s = min(ages, key=lambda pair: pair[1])
        snapshot = SnapshotStatus(member.endpoint_snapshot.fingerprint, age_s)
        return _PeerStatus(member.peer_address, snapshot)

    def _with_own_fingerprint(self, own: SnapshotStatus, peer: SnapshotStatus) -> SnapshotStatus:
        """Return a peer's status, with this node's fingerprint if the content is the same.

        During a rollout two builds may hash a list differently. Without this each node would fetch
        the list of a peer that runs the other build at every step.
        """
        is_same = self._same_content == _SameContent(own.fingerprint, peer.fingerprint)
        if is_same and self._clock() < self._same_until_s:
            return replace(peer, fingerprint=own.fingerprint)
        return peer

    async def _fetch_from(self, peer: _PeerStatus) -> bool:
        """Install a peer's list and return whether the peer returned one."""
        aged = await self._hooks.fetch(peer.address)
        if aged is None:
            return False
        if not self._install(aged, Source.PEER):
            own_fingerprint = self._registry.fingerprint
            self._same_content = _SameContent(own_fingerprint, peer.snapshot.fingerprint)
            self._same_until_s = self._clock() + SAME_CONTENT_S
        return True

    def _is_its_turn(self) -> bool:
        """Return whether it is this node's turn to read in place of the readers."""
        if self._registry.revision < 0:
            return True
        is_old = is_overdue(self._registry.age_s(), self._readers.turn_s(SNAPSHOT_READERS))
        return is_old and self._clock() >= self._next_turn_s

    async def _read_store(self) -> None:
        """Read the store once; if that fails and the list is too old, fetch it from a peer."""
        began_s = self._clock()
        match await self._store.read_endpoints():
            case Success(snapshot):
                snapshot = without_addresses(snapshot, self._instance_addresses())
                self.unreadable.note(snapshot.unreadable)
                took_s = self._clock() - began_s
                snapshot = await self._hooks.admit(snapshot)
                age_s = self._clock() - began_s - took_s
                if self._install(AgedSnapshot(snapshot, age_s), Source.STORE, took_s):
                    self._hooks.on_changed()
                if self.dependency.answered():
                    self._hooks.on_regained()
            case Failure(problem):
                self.dependency.failed(problem.detail)
                self._next_turn_s = self._clock() + self._readers.round_s()
                await self._fetch_from_any_peer()

    async def _fetch_from_any_peer(self) -> None:
        """Fetch a list from any peer if the own one is too old, and install it if it is younger."""
        if self._registry.age_s() < ASK_PEERS_AFTER_S:
            return
        aged = await self._hooks.fetch(None)
        if aged is not None and aged.age_s < self._registry.age_s():
            self._install(aged, Source.PEER)

    def _install(self, aged: AgedSnapshot, source: Source, took_s: float = 0.0) -> bool:
        """Install a list, log the change if there is one, and return whether there is.

        Args:
          took_s: Seconds that the call took which read it from the store.
        """
        snapshot = without_addresses(aged.snapshot, self._instance_addresses())
        snapshot = with_cold_only_for(snapshot, self._hooks.cold_services())
        snapshot, bounded = with_bounded_slots(snapshot)
        self._log_bounded(bounded)
        changed = self._registry.install(snapshot, self._hooks.capacities(), aged.age_s, took_s)
        if changed:
            logs.event(
                "engines.changed",
                revision=aged.snapshot.revision,
                age_ms=round(aged.age_s * 1000),
                source=source,
                listed=len(snapshot.entries),
                draining=sorted(entry.endpoint_id for entry in snapshot.entries if entry.draining),
            )
        return changed

    def _log_bounded(self, bounded: tuple[BoundedSlots, ...]) -> None:
        """Log the endpoints whose stated slots are not used, once for each number."""
        for each in bounded:
            if each not in self._bounded:
                logs.event(
                    "engine.slots_bounded",
                    engine=each.endpoint_id,
                    stated=each.stated,
                    used=each.used,
                )
        self._bounded = bounded

    def _instance_addresses(self) -> set[str]:
        """Return the addresses at which instances serve callers and peers, who are no endpoints."""
        members = self._membership.live()
        return {each.caller_address for each in members} | {each.peer_address for each in members}
