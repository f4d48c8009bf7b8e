"""Connections to engines, kept for reuse within the number that each engine takes."""

import time
from collections.abc import Callable

from springbridge.routing.records import EngineEntry, Service

from springbridge_node.gateway.http.http_connection import HttpConnection, connect

CONNECT_TIMEOUT_S = 0.4
LONGEST_REST_S = 4.0
SHARE_OF_KEEP = 0.7
LONGEST_REST_ONCE_S = 1.0
SHARE_OF_KEEP_ONCE = 0.4
SHARE_OF_CAP = 0.8
LEAST_CAP = 2


class EngineBusyError(Exception):
    """This node has all the connections to an engine that it may have."""


class EnginePool:
    """All connections of this node to engines.

    A connection belongs to one incarnation of an engine, so that an address which is used again
    never gets a connection of the engine before.
    """

    def __init__(self, nodes: Callable[[], int]) -> None:
        """Keep the count of nodes that share what an engine takes."""
        self._nodes = nodes
        self._resting: dict[str, list[HttpConnection]] = {}
        self._open: dict[str, int] = {}

    async def acquire(
        self, entry: EngineEntry, service: Service, repeatable: bool
    ) -> HttpConnection:
        """Return a connection that no other request uses.

        Args:
          repeatable: Whether a request lost on a connection that the engine has just closed can
            be sent again; if not, only one that was used a moment ago is taken.

        Raises:
          ConnectFailedError: The engine cannot be reached.
          EngineBusyError: It takes no more connections of this node.
        """
        resting = self._resting.get(entry.engine_id, [])
        while resting:
            connection = resting.pop()
            if _fit(connection, repeatable):
                return connection
            self.discard(entry.engine_id, connection)
        if self._open.get(entry.engine_id, 0) >= self._cap(service):
            raise EngineBusyError(entry.engine_id)
        return await self._connect(entry)

    async def warm(self, entry: EngineEntry) -> None:
        """Open a connection and keep it for the next request.

        Raises:
          ConnectFailedError: The engine cannot be reached.
        """
        connection = await self._connect(entry)
        self._resting.setdefault(entry.engine_id, []).append(connection)

    async def _connect(self, entry: EngineEntry) -> HttpConnection:
        """Open a connection and count it."""
        self._open[entry.engine_id] = self._open.get(entry.engine_id, 0) + 1
        try:
            return await connect(entry.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._count_closed(entry.engine_id)
            raise

    def release(self, engine_id: str, connection: HttpConnection) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if not connection.may_be_kept:
            self.discard(engine_id, connection)
            return
        self._resting.setdefault(engine_id, []).append(connection)

    def discard(self, engine_id: str, connection: HttpConnection) -> None:
        """Close a connection."""
        connection.abort()
        self._count_closed(engine_id)

    def keep_only(self, engine_ids: set[str]) -> None:
        """Close the resting connections of engines that are gone, and those at rest for long."""
        for engine_id in list(self._resting):
            stays = []
            for connection in self._resting[engine_id]:
                rested_s = time.monotonic() - connection.rested_since_s
                if engine_id in engine_ids and rested_s <= LONGEST_REST_S * 2:
                    stays.append(connection)
                else:
                    self.discard(engine_id, connection)
            self._resting[engine_id] = stays
            if not stays:
                del self._resting[engine_id]

    def _cap(self, service: Service) -> int:
        """Return how many connections this node may have to one engine."""
        share = service.max_connections * SHARE_OF_CAP / max(1, self._nodes())
        return max(LEAST_CAP, int(share))

    def _count_closed(self, engine_id: str) -> None:
        left = self._open.get(engine_id, 0) - 1
        if left > 0:
            self._open[engine_id] = left
        else:
            self._open.pop(engine_id, None)


def _fit(connection: HttpConnection, repeatable: bool) -> bool:
    """Return whether a resting connection may carry the next request."""
    if repeatable:
        return connection.can_carry(LONGEST_REST_S, SHARE_OF_KEEP)
    return connection.can_carry(LONGEST_REST_ONCE_S, SHARE_OF_KEEP_ONCE)
