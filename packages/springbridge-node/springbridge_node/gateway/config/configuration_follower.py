"""Keeps the newest configuration in force, from the store's feed and from peers.

A version is never followed by an older one. A few nodes wait at the store's feed, which tells of
changes at once, and tell the others. Digests carry how long ago the version in force was known to
be the newest; a node that no peer confirms reads the store itself when its turn comes. Peers also
help a node that the store turns away.
"""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.routing.admission import RouteIndex
from springbridge.routing.retry_after import without_configuration

from springbridge_node import logs
from springbridge_node.gateway.config.dependency import Dependency
from springbridge_node.gateway.config.platform_store import (
    ConfigurationDocument,
    ConfigurationNews,
    ConfigurationReader,
    PlatformStore,
)
from springbridge_node.gateway.config.store_readers import StoreReaders

WAIT_S = 15.0
RETRY_S = 0.25
LOOK_S = 0.2
FEED_READERS = 5
CONFIRMED_S = 1.1
STORE = "store"
PEER = "peer"

Installed = Callable[[RouteIndex, str], None]
FetchFromPeers = Callable[[int], Awaitable[ConfigurationDocument | None]]


class ConfigurationFollower:
    """The configuration in force at this node.

    Attributes:
      index: The configuration arranged for look-ups, or None before the first.
      document: The same as the operators wrote it, for peers.
    """

    def __init__(
        self,
        store: PlatformStore,
        read: ConfigurationReader,
        installed: Installed,
        readers: StoreReaders,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the store, the reader of documents, whom to tell of a version, and who reads."""
        self._store = store
        self._read = read
        self._installed = installed
        self._readers = readers
        self._clock = clock
        self._feed_is_up = False
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

    def age_s(self) -> float:
        """Return how long ago the version in force was known to be the newest, in seconds."""
        return 0.0 if self._feed_is_up else self._clock() - self._confirmed_s

    def due_s(self) -> float:
        """Return when a caller should come back to a node without a configuration, in seconds.

        An outage lasts for seconds, and many callers come back only once.
        """
        return without_configuration(store_is_up=self._dependency.up)

    def confirm(self, version: int, age_s: float) -> None:
        """Note that a peer knew a version to be the newest so long ago."""
        if version == self.version:
            self._confirmed_s = max(self._confirmed_s, self._clock() - age_s)

    def offer(self, document: ConfigurationDocument, source: str) -> None:
        """Put a configuration in force unless it is not newer than the one that is."""
        if document.version <= self.version:
            return
        try:
            index = RouteIndex.from_config(self._read(document.raw))
        except (ValueError, KeyError, TypeError) as exc:
            logs.event("configuration.unreadable", version=document.version, kind=str(exc))
            return
        before = self.version
        self.document = document
        self.index = index
        logs.event("configuration.installed", version=self.version, before=before, source=source)
        self._installed(index, source)

    async def run(self) -> None:
        """Keep the configuration fresh until cancelled; the caller keeps the task."""
        while True:
            if not self._has_to_read():
                await asyncio.sleep(LOOK_S)
                continue
            self._missed_changes.clear()
            self._watch = asyncio.ensure_future(self._follow())
            await asyncio.wait([self._watch])
            self._feed_is_up = False
            if not self._watch.cancelled() and self._watch.exception():
                logs.fault(self._watch.exception(), "configuration feed")
            await self._pause()

    async def _pause(self) -> None:
        """Wait before the next reading, unless changes may have been missed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s()):
                await self._missed_changes.wait()

    def _pause_s(self) -> float:
        """Return how long to wait: after a failure, until all others have had a turn as well."""
        if self._dependency.up or self.index is None or self._readers.include_me(FEED_READERS):
            return RETRY_S
        return max(RETRY_S, self._readers.round_s())

    def refresh(self) -> None:
        """Read anew at once, after a time in which changes may have been missed."""
        self._feed_is_up = False
        self._confirmed_s = float("-inf")
        self._missed_changes.set()
        if self._watch is not None:
            self._watch.cancel()

    def _has_to_read(self) -> bool:
        """Return whether the store has to be read here, as a reader or for want of one."""
        if self.index is None:
            return not self._readers.seeds_come_first()
        turn_s = self._readers.turn_s(FEED_READERS)
        return self.age_s() > CONFIRMED_S + turn_s or self._readers.include_me(FEED_READERS)

    async def catch_up(self, newest: int, fetch: FetchFromPeers) -> None:
        """Take a version that peers have and this node has not, from the store if none gives it."""
        if newest <= self.version:
            return
        document = await fetch(self.version)
        if document is not None:
            self.offer(document, PEER)
        elif self.index is not None:
            self.refresh()

    async def _follow(self) -> None:
        """Read the newest version; a reader then waits for changes until a call fails."""
        cursor = self._take(await self._store.read_configuration())
        while cursor is not None and self._readers.include_me(FEED_READERS):
            self._feed_is_up = True
            cursor = self._take(await self._store.await_configuration(cursor, WAIT_S))

    def _take(self, result) -> int | None:
        """Take in what a call brought and return where to go on, or None to begin anew."""
        match result:
            case Success(ConfigurationNews(cursor, document)):
                self._dependency.answered()
                self._confirmed_s = self._clock()
                if document is not None:
                    self.offer(document, STORE)
                return cursor
            case Failure(problem):
                self._feed_is_up = False
                if problem.code is not Code.VERSION_CONFLICT:
                    self._dependency.failed(problem.detail)
                return None
