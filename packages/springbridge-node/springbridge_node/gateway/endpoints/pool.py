"""Pool of connections to endpoints: reuses idle ones, and bounds how many are open.

A new connection costs the endpoint time, so an idle one is reused while the endpoint has probably
not closed it. An endpoint takes a limited number of connections from all nodes together and resets
the others, so each node keeps to its share of them.
"""

from collections.abc import Callable, Set
from dataclasses import dataclass

from springbridge.routing.records import EndpointEntry, EndpointIncarnation, Service

from springbridge_node import clock
from springbridge_node.gateway.http.http_connection import HttpConnection, connect

# Seconds for a connection to come up. Short beside a request's deadline, so that another endpoint
# can still be tried.
CONNECT_TIMEOUT_S = 0.4
# Share of an endpoint's connections that all nodes together use. A fifth is left, because nodes
# may differ for a moment on how many they are.
USED_SHARE = 0.8
# Connections to an endpoint that a node may have whatever its share. With fewer, a
# slow answer would block the only connection of a node in a large fleet.
MIN_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class IdleLimit:
    """How long a connection may have been idle when it carries the next request.

    Attributes:
      max_s: Seconds where the endpoint did not say how long it keeps an idle connection.
      keep_alive_share: Share of the time that it did say.
    """

    max_s: float
    keep_alive_share: float


# A repeatable request that is lost on a connection which the endpoint just closed is sent again, so
# most of the endpoint's keep-alive time is used.
REPEATABLE_IDLE = IdleLimit(max_s=4.0, keep_alive_share=0.7)
# A request that may not be repeated is lost for good there, so it needs a connection that was in
# use a moment ago. Well below the limit for repeatable ones.
UNREPEATABLE_IDLE = IdleLimit(max_s=1.0, keep_alive_share=0.4)
# Seconds after which an idle connection is closed. Derived: no request would take it any more,
# unless its endpoint named a longer time.
CLOSE_IDLE_S = 2 * REPEATABLE_IDLE.max_s


class EndpointBusyError(Exception):
    """This node has all the connections to an endpoint that it may have."""


class ConnectionPool:
    """All connections of this node to endpoints.

    A connection belongs to one incarnation of an endpoint, so that neither an address which is used
    again nor an endpoint that has started again gets a connection to the process before.
    """

    def __init__(self, nodes: Callable[[], int]) -> None:
        """Start without connections.

        Args:
          nodes: Returns how many nodes share an endpoint's connections.
        """
        self._nodes = nodes
        self._idle: dict[EndpointIncarnation, list[HttpConnection]] = {}
        self._open: dict[EndpointIncarnation, int] = {}

    async def acquire(
        self, entry: EndpointEntry, service: Service, repeatable: bool
    ) -> HttpConnection:
        """Return a connection that no other request uses.

        Args:
          repeatable: Whether a request that was lost may be sent again; see the idle limits.

        Raises:
          ConnectFailedError: The endpoint cannot be reached.
          EndpointBusyError: This node has its share of the endpoint's connections.
        """
        limit = REPEATABLE_IDLE if repeatable else UNREPEATABLE_IDLE
        incarnation = entry.incarnation
        idle = self._idle.get(incarnation, [])
        while idle:
            conn = idle.pop()
            if conn.can_carry(limit.max_s, limit.keep_alive_share):
                return conn
            self.discard(incarnation, conn)
        if self._open.get(incarnation, 0) >= connection_cap(service, self._nodes()):
            raise EndpointBusyError(entry.endpoint_id)
        return await self._connect(entry)

    async def warm(self, entry: EndpointEntry) -> None:
        """Open a connection and keep it idle for the next request.

        Raises:
          ConnectFailedError: The endpoint cannot be reached.
        """
        conn = await self._connect(entry)
        self._idle.setdefault(entry.incarnation, []).append(conn)

    async def _connect(self, entry: EndpointEntry) -> HttpConnection:
        """Open a connection and count it."""
        self._open[entry.incarnation] = self._open.get(entry.incarnation, 0) + 1
        try:
            return await connect(entry.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._count_closed(entry.incarnation)
            raise

    def release(self, incarnation: EndpointIncarnation, conn: HttpConnection) -> None:
        """Take a connection back after its answer was read whole, or close it if it is unfit."""
        if not conn.may_be_kept:
            self.discard(incarnation, conn)
            return
        self._idle.setdefault(incarnation, []).append(conn)

    def discard(self, incarnation: EndpointIncarnation, conn: HttpConnection) -> None:
        """Close a connection."""
        conn.abort()
        self._count_closed(incarnation)

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Close the idle connections of all other endpoints, and those idle for too long."""
        now_s = clock.now_s()
        for incarnation in list(self._idle):
            kept = []
            for conn in self._idle[incarnation]:
                if incarnation in incarnations and now_s - conn.idle_since_s <= CLOSE_IDLE_S:
                    kept.append(conn)
                else:
                    self.discard(incarnation, conn)
            self._idle[incarnation] = kept
            if not kept:
                del self._idle[incarnation]

    def _count_closed(self, incarnation: EndpointIncarnation) -> None:
        """Count a connection as closed; an endpoint without connections is forgotten."""
        left = self._open.get(incarnation, 0) - 1
        if left > 0:
            self._open[incarnation] = left
        else:
            self._open.pop(incarnation, None)


def connection_cap(service: Service, nodes: int) -> int:
    """Return how many connections one node may have to an endpoint.

    All nodes together may use USED_SHARE of what an endpoint takes, in equal parts, because it
    resets connections beyond that and the requests on them are lost. A node always has
    MIN_CONNECTIONS.

    Args:
      nodes: Live nodes, this one included.
    """
    return max(MIN_CONNECTIONS, int(service.max_connections * USED_SHARE / max(1, nodes)))
