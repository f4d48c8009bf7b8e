"""Connections to endpoints, kept for reuse within the number that each endpoint takes."""

import time
from collections.abc import Callable

from springbridge.routing.records import EndpointEntry, Service

from springbridge_node.gateway.http.http_connection import HttpConnection, connect

CONNECT_TIMEOUT_S = 0.4
LONGEST_REST_S = 4.0
SHARE_OF_KEEP = 0.7
LONGEST_REST_ONCE_S = 1.0
SHARE_OF_KEEP_ONCE = 0.4
SHARE_OF_CAP = 0.8
LEAST_CAP = 2


class EndpointBusyError(Exception):
    """This node has all the connections to an endpoint that it may have."""


class ConnectionPool:
    """All connections of this node to endpoints.

    A connection belongs to one incarnation of an endpoint, so that an address which is used again
    never gets a connection of the endpoint before.
    """

    def __init__(self, nodes: Callable[[], int]) -> None:
        """Keep the count of nodes that share what an endpoint takes."""
        self._nodes = nodes
        self._resting: dict[str, list[HttpConnection]] = {}
        self._open: dict[str, int] = {}

    async def acquire(
        self, entry: EndpointEntry, service: Service, repeatable: bool
    ) -> HttpConnection:
        """Return a connection that no other request uses.

        Args:
          repeatable: Whether a request lost on a connection that the endpoint has just closed can
            be sent again; if not, only one that was used a moment ago is taken.

        Raises:
          ConnectFailedError: The endpoint cannot be reached.
          EngineBusyError: It takes no more connections of this node.
        """
        resting = self._resting.get(entry.endpoint_id, [])
        while resting:
            connection = resting.pop()
            if _fit(connection, repeatable):
                return connection
            self.discard(entry.endpoint_id, connection)
        if self._open.get(entry.endpoint_id, 0) >= self._cap(service):
            raise EndpointBusyError(entry.endpoint_id)
        return await self._connect(entry)

    async def warm(self, entry: EndpointEntry) -> None:
        """Open a connection and keep it for the next request.

        Raises:
          ConnectFailedError: The endpoint cannot be reached.
        """
        connection = await self._connect(entry)
        self._resting.setdefault(entry.endpoint_id, []).append(connection)

    async def _connect(self, entry: EndpointEntry) -> HttpConnection:
        """Open a connection and count it."""
        self._open[entry.endpoint_id] = self._open.get(entry.endpoint_id, 0) + 1
        try:
            return await connect(entry.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._count_closed(entry.endpoint_id)
            raise

    def release(self, endpoint_id: str, connection: HttpConnection) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if not connection.may_be_kept:
            self.discard(endpoint_id, connection)
            return
        self._resting.setdefault(endpoint_id, []).append(connection)

    def discard(self, endpoint_id: str, connection: HttpConnection) -> None:
        """Close a connection."""
        connection.abort()
        self._count_closed(endpoint_id)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Close the resting connections of endpoints that are gone, and those at rest for long."""
        for endpoint_id in list(self._resting):
            stays = []
            for connection in self._resting[endpoint_id]:
                rested_s = time.monotonic() - connection.idle_since_s
                if endpoint_id in endpoint_ids and rested_s <= LONGEST_REST_S * 2:
                    stays.append(connection)
                else:
                    self.discard(endpoint_id, connection)
            self._resting[endpoint_id] = stays
            if not stays:
                del self._resting[endpoint_id]

    def _cap(self, service: Service) -> int:
        """Return how many connections this node may have to one endpoint."""
        share = service.max_connections * SHARE_OF_CAP / max(1, self._nodes())
        return max(LEAST_CAP, int(share))

    def _count_closed(self, endpoint_id: str) -> None:
        left = self._open.get(endpoint_id, 0) - 1
        if left > 0:
            self._open[endpoint_id] = left
        else:
            self._open.pop(endpoint_id, None)


def _fit(connection: HttpConnection, repeatable: bool) -> bool:
    """Return whether a resting connection may carry the next request."""
    if repeatable:
        return connection.can_carry(LONGEST_REST_S, SHARE_OF_KEEP)
    return connection.can_carry(LONGEST_REST_ONCE_S, SHARE_OF_KEEP_ONCE)
