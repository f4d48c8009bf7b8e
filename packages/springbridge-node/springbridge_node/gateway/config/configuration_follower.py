"""Keeps this node's configuration up to date from the store's change feed and from peers.

Owns the configuration of this node, and passes on the evacuations, which are rows of the same
table. routing/store_freshness.py decides which nodes read the store. A few nodes long-poll the
store's feed, which delivers changes at once, and pass them on to the others. Digests carry the
seconds since the version in force was last known to be the newest, so a node whose peers confirm
its version does not read the store. A node that cannot reach the store gets new versions from its
peers. A version is never replaced by an older one.
"""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.item_reader import reason_of
from springbridge.routing.admission import RouteIndex
from springbridge.routing.evacuations import EvacuationUpdate
from springbridge.routing.records import Service
from springbridge.routing.retry_after import without_configuration
from springbridge.routing.store_freshness import (
    CHECK_INTERVAL_S,
    FEED_READERS,
    FEED_WAIT_S,
    feed_pause_s,
    reads_configuration,
)

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.dependency import Dependency
from springbridge_node.gateway.config.platform_store import (
    ConfigurationDocument,
    ConfigurationParser,
    PlatformStore,
)
from springbridge_node.gateway.config.source import Source
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.periodic import every, next_tick, pause

OnInstalled = Callable[[RouteIndex, Source], None]
FetchFromPeers = Callable[[int], Awaitable[ConfigurationDocument | None]]


class ConfigurationFollower:
    """The configuration in force at this node.

    Attributes:
      index: The configuration indexed for look-ups, or None before the first version.
      document: The same version as the operators wrote it, for transfer to peers.
    """

    def __init__(
        self,
        store: PlatformStore,
        parse: ConfigurationParser,
        on_installed: OnInstalled,
        readers: StoreReaders,
        clock: Callable[[], float] = now_s,
        on_evacuations: Callable[[int, EvacuationUpdate], None] = lambda cursor, evacuations: None,
    ) -> None:
        """Start without a configuration.

        Args:
          parse: Parses an operators' document.
          on_installed: Called with each new version and its origin.
          readers: Tells whether this node reads the store on behalf of the fleet.
          on_evacuations: Called with the cursor and the evacuations of each successful read of the
            store.
        """
        self._store = store
        self._parse = parse
        self._on_installed = on_installed
        self._readers = readers
        self._clock = clock
        self._on_evacuations = on_evacuations
        self._feed_is_up = False
        self._unreadable = ""
        self._confirmed_s = float("-inf")
        self._dependency = Dependency("configuration feed")
        self._watch: asyncio.Task | None = None
        self._missed_changes = asyncio.Event()
        self.index: RouteIndex | None = None
        self.document: ConfigurationDocument | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.document.version if self.document else 0

    def token_capacities(self) -> dict[str, int]:
        """Return the token capacity of an endpoint by service, running requests included."""
        if self.index is None:
            return {}
        services = self.index.configuration.services
        return {name: service.token_capacity for name, service in services.items()}

    def cold_services(self) -> set[str]:
        """Return the names of the services that limit the request rate of cold endpoints."""
        return {name for name, service in self.services().items() if service.cold_per_s}

    def services(self) -> dict[str, Service]:
        """Return the services of the configuration in force."""
        return {} if self.index is None else self.index.configuration.services

    def age_s(self) -> float:
        """Return the seconds since the version in force was last known to be the newest."""
        return 0.0 if self._feed_is_up else self._clock() - self._confirmed_s

    def retry_after_s(self) -> float:
        """Return the Retry-After for a node without a configuration, in seconds.

        An outage lasts for seconds, and many callers retry only once.
        """
        return without_configuration(store_is_up=self._dependency.up)

    def confirm(self, version: int, age_s: float) -> None:
        """Record that a peer knew this version to be the newest age_s seconds ago."""
        if version == self.version:
            self._confirmed_s = max(self._confirmed_s, self._clock() - age_s)

    def offer(self, document: ConfigurationDocument, source: Source) -> None:
        """Install a configuration if it is newer than the one in force and can be parsed."""
        if document.version <= self.version:
            return
        try:
            index = RouteIndex.from_config(self._parse(document.raw))
        except Exception as exc:
            # Whatever a document does to its reader, the version in force stays.
            reason = reason_of(exc)
            logs.event("configuration.unreadable", version=document.version, kind=reason)
            return
        before = self.version
        self.document = document
        self.index = index
        logs.event("configuration.installed", version=self.version, before=before, source=source)
        self._on_installed(index, source)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        await every(0.0, self.step)

    async def step(self) -> None:
        """Read the store if this node has to, and follow its feed until a call fails."""
        if not self._has_to_read():
            await next_tick(CHECK_INTERVAL_S)
            return
        self._missed_changes.clear()
        self._watch = asyncio.ensure_future(self._follow())
        await asyncio.wait([self._watch])
        self._feed_is_up = False
        if not self._watch.cancelled() and self._watch.exception():
            logs.fault(self._watch.exception(), "configuration feed")
        await pause(self._pause_s(), self._missed_changes)

    def _pause_s(self) -> float:
        """Return how long to wait before the next read, in seconds."""
        return feed_pause_s(
            store_is_up=self._dependency.up,
            has_configuration=self.index is not None,
            is_reader=self._readers.include_me(FEED_READERS),
            one_round_s=self._readers.round_s(),
        )

    def refresh(self) -> None:
        """Read the store at once, cutting a pause short: changes may have been missed."""
        self._feed_is_up = False
        self._confirmed_s = float("-inf")
        self._missed_changes.set()
        if self._watch is not None:
            self._watch.cancel()

    def _has_to_read(self) -> bool:
        """Return whether this node has to read the store now."""
        if self.index is None:
            return not self._readers.waits_for_seeds()
        turn_s = self._readers.turn_s(FEED_READERS)
        return reads_configuration(
            self.age_s(), turn_s, is_reader=self._readers.include_me(FEED_READERS)
        )

    async def catch_up(self, newest: int, fetch: FetchFromPeers) -> None:
        """Fetch a newer version from the peers, or read the store if no peer returns it.

        Args:
          newest: Newest version that a peer claims to have in force.
          fetch: Returns a peer's document that is newer than the given version, or None.
        """
        if newest <= self.version:
            return
        document = await fetch(self.version)
        if document is not None:
            self.offer(document, Source.PEER)
        elif self.index is not None:
            self.refresh()

    async def _follow(self) -> None:
        """Read the newest version; a reader then long-polls the feed until a call fails."""
        cursor = self._apply_result(await self._store.read_configuration())
        while cursor is not None and self._readers.include_me(FEED_READERS):
            self._feed_is_up = True
            cursor = self._apply_result(await self._store.await_configuration(cursor, FEED_WAIT_S))

    def _apply_result(self, result) -> int | None:
        """Apply the result of a read or of a long poll.

        Returns:
          The cursor of the next long poll, or None if the whole configuration must be read again.
        """
        match result:
            case Success(update):
                self._dependency.answered()
                self._confirmed_s = self._clock()
                self._log_unreadable(update.unreadable)
                self._on_evacuations(update.cursor, update.evacuations)
                if update.document is not None:
                    self.offer(update.document, Source.STORE)
                return update.cursor
            case Failure(problem):
                self._feed_is_up = False
                if problem.code is Code.VERSION_CONFLICT:
                    logs.event("configuration.history_gone", version=self.version)
                else:
                    self._dependency.failed(problem.detail)
                return None

    def _log_unreadable(self, reason: str) -> None:
        """Log a configuration without a readable version, once until the reason changes."""
        if reason and reason != self._unreadable:
            logs.event("configuration.unreadable", version=0, kind=reason)
        self._unreadable = reason
