"""Keeps the newest configuration in force, from the store's feed and from peers.

A version is never followed by an older one. The store's feed tells of changes at once; peers tell
of a version that this node has not seen, which helps a node that the store turns away.
"""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.routing.admission import RouteIndex

from springbridge_node import logs
from springbridge_node.config.dependency import Dependency
from springbridge_node.config.ports import (
    ConfigurationDocument,
    ConfigurationNews,
    ConfigurationReader,
    PlatformStore,
)

WAIT_S = 15.0
RETRY_S = 0.25

Installed = Callable[[RouteIndex], None]
FetchFromPeers = Callable[[int], Awaitable[ConfigurationDocument | None]]


class ConfigurationFollower:
    """The configuration in force at this node.

    Attributes:
      index: The configuration arranged for look-ups, or None before the first.
      document: The same as the operators wrote it, for peers.
    """

    def __init__(
        self, store: PlatformStore, read: ConfigurationReader, installed: Installed
    ) -> None:
        """Keep the store, the reader of documents, and whom to tell of a new version."""
        self._store = store
        self._read = read
        self._installed = installed
        self._dependency = Dependency("configuration feed")
        self._watch: asyncio.Task | None = None
        self.index: RouteIndex | None = None
        self.document: ConfigurationDocument | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.document.version if self.document else 0

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
        self._installed(index)

    async def run(self) -> None:
        """Follow the store until cancelled; the caller keeps the task."""
        while True:
            self._watch = asyncio.ensure_future(self._follow())
            await asyncio.wait([self._watch])
            if not self._watch.cancelled() and self._watch.exception():
                logs.fault(self._watch.exception(), "configuration feed")
            await asyncio.sleep(RETRY_S if not self._watch.cancelled() else 0)

    def refresh(self) -> None:
        """Read anew at once, after a time in which changes may have been missed."""
        if self._watch is not None:
            self._watch.cancel()

    async def catch_up(self, newest: int, fetch: FetchFromPeers) -> None:
        """Take a version that peers have and this node has not."""
        if newest <= self.version:
            return
        document = await fetch(self.version)
        if document is not None:
            self.offer(document, "peer")

    async def _follow(self) -> None:
        """Read the newest version, then wait for changes until a call fails."""
        cursor = self._take(await self._store.read_configuration())
        while cursor is not None:
            cursor = self._take(await self._store.await_configuration(cursor, WAIT_S))

    def _take(self, result) -> int | None:
        """Take in what a call brought and return where to go on, or None to begin anew."""
        match result:
            case Success(ConfigurationNews(cursor, document)):
                self._dependency.answered()
                if document is not None:
                    self.offer(document, "store")
                return cursor
            case Failure(problem):
                if problem.code is not Code.VERSION_CONFLICT:
                    self._dependency.failed(problem.detail)
                return None
