"""Pool of connections to endpoints: reuses idle ones, and bounds how many are open.

A new connection costs the endpoint time, so an idle one is reused while the endpoint has probably
not closed it. An endpoint accepts a limited number of connections from all instances together and
resets the others, so each instance keeps to its share of them.
"""

from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass

from springbridge.routing.paths import PathTable
from springbridge.routing.records import EndpointEntry, EndpointIncarnation, Service

from springbridge_node import clock
from springbridge_node.gateway.http.http_connection import HttpConnection

# Share of an endpoint's connections that all instances together use. A fifth is left free, because
# instances may briefly disagree on how many they are.
USED_SHARE = 0.8
# Connections to an endpoint that an instance may have whatever its share. With fewer, a slow answer
# would block the only connection of an instance in a large fleet.
MIN_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class IdleLimit:
    """How long a connection may have been idle when it is reused.

    Attributes:
      max_s: Limit in seconds if the endpoint sent no keep-alive time.
      keep_alive_share: Limit as a share of the keep-alive time, if the endpoint sent one.
    """

    max_s: float
    keep_alive_share: float


# A repeatable request that is lost on a connection which the endpoint just closed is retried, so
# most of the endpoint's keep-alive time is used.
REPEATABLE_IDLE = IdleLimit(max_s=4.0, keep_alive_share=0.7)
# A request that may not be repeated cannot be retried then, so it needs a connection that was in
# use a moment ago. Well below the limit for repeatable ones.
UNREPEATABLE_IDLE = IdleLimit(max_s=1.0, keep_alive_share=0.4)
# Seconds after which an idle connection is closed. Derived: no request would use it any more,
# unless its endpoint sent a longer keep-alive time.
CLOSE_IDLE_S = 2 * REPEATABLE_IDLE.max_s


Connect = Callable[[EndpointEntry], Awaitable[HttpConnection]]


class EndpointBusyError(Exception):
    """This instance already has as many connections to an endpoint as it may have."""


class ConnectionPool:
    """All connections of this instance to endpoints.

    Connections are kept by incarnation of an endpoint, so that a connection to an earlier process
    is not reused after the endpoint has restarted or its address has gone to another endpoint.
    """

    def __init__(self, instances: Callable[[], int], connect: Connect, paths: PathTable) -> None:
        """Start without connections.

        Args:
          instances: Returns how many instances share an endpoint's connections.
          connect: Opens a connection to an endpoint.
          paths: Tells which connections may be reused.
        """
        self._instances = instances
        self._open_connection = connect
        self._paths = paths
        self._idle: dict[EndpointIncarnation, list[HttpConnection]] = {}
        self._open: dict[EndpointIncarnation, int] = {}
        self._in_use: dict[HttpConnection, EndpointEntry] = {}

    async def acquire(
        self, entry: EndpointEntry, service: Service, repeatable: bool
    ) -> HttpConnection:
        """Return a connection that no other request uses.

        Args:
          repeatable: Whether a lost request may be retried; decides which idle limit applies.

        Raises:
          ConnectFailedError: The endpoint cannot be reached.
          EndpointBusyError: This instance already has its share of the endpoint's connections.
        """
        limit = REPEATABLE_IDLE if repeatable else UNREPEATABLE_IDLE
        incarnation = entry.incarnation
        idle = self._idle.get(incarnation, [])
        while idle:
            conn = idle.pop()
            if self._suits_path(conn, incarnation) and conn.can_reuse(
                limit.max_s, limit.keep_alive_share
            ):
                self._in_use[conn] = entry
                return conn
            self.discard(incarnation, conn)
        if self._open.get(incarnation, 0) >= connection_cap(service, self._instances()):
            raise EndpointBusyError(entry.endpoint_id)
        conn = await self._connect(entry)
        self._in_use[conn] = entry
        return conn

    def _suits_path(self, conn: HttpConnection, incarnation: EndpointIncarnation) -> bool:
        """Return whether an idle connection leads where the path to its endpoint is intact."""
        if conn.through:
            return not self._paths.prefers_direct(incarnation)
        return not (self._paths.is_lost(incarnation) or self._paths.is_doubtful(incarnation))

    def idle_count(self, incarnation: EndpointIncarnation) -> int:
        """Return how many idle connections to an endpoint are kept."""
        return len(self._idle.get(incarnation, ()))

    async def warm(self, entry: EndpointEntry) -> None:
        """Open a connection and keep it idle for the next request.

        Raises:
          ConnectFailedError: The endpoint cannot be reached.
        """
        conn = await self._connect(entry)
        self._idle.setdefault(entry.incarnation, []).append(conn)

    def add_idle(self, incarnation: EndpointIncarnation, conn: HttpConnection) -> None:
        """Keep a connection that was opened elsewhere for the next request."""
        self._open[incarnation] = self._open.get(incarnation, 0) + 1
        self._idle.setdefault(incarnation, []).append(conn)

    async def _connect(self, entry: EndpointEntry) -> HttpConnection:
        """Open a connection and count it."""
        self._open[entry.incarnation] = self._open.get(entry.incarnation, 0) + 1
        try:
            return await self._open_connection(entry)
        except BaseException:
            self._count_closed(entry.incarnation)
            raise

    def release(self, incarnation: EndpointIncarnation, conn: HttpConnection) -> None:
        """Return a connection to the pool after its whole answer was read, or close it if unfit."""
        if not conn.may_be_kept:
            self.discard(incarnation, conn)
            return
        self._in_use.pop(conn, None)
        self._idle.setdefault(incarnation, []).append(conn)

    def discard(self, incarnation: EndpointIncarnation, conn: HttpConnection) -> None:
        """Close a connection and free its place among the open ones."""
        conn.abort()
        self._in_use.pop(conn, None)
        self._count_closed(incarnation)

    def close_hanging(self, incarnation: EndpointIncarnation, since_s: float) -> None:
        """Close direct connections in use over a path that is lost, if they are silent.

        Only those whose requests may be sent again: others may still get their answers.

        Args:
          since_s: Time since when they received nothing, on the clock of `clock.now_s`.
        """
        for conn, entry in list(self._in_use.items()):
            if entry.incarnation == incarnation and _is_silent(conn, since_s):
                conn.abort()

    def silent(self, since_s: float) -> list[EndpointEntry]:
        """Return the endpoints with direct connections in use that are silent; see close_hanging.

        Args:
          since_s: Time since when they received nothing, on the clock of `clock.now_s`.
        """
        found = {
            entry.incarnation: entry
            for conn, entry in self._in_use.items()
            if _is_silent(conn, since_s)
        }
        return list(found.values())

    def close_through_peers(
        self, is_usable: Callable[[str], bool], is_running: Callable[[str], bool]
    ) -> None:
        """Close connections through peers that leave or have ended.

        Args:
          is_usable: Returns whether new requests may go through a peer, given its incarnation; if
            not, idle connections through it are closed.
          is_running: Returns whether a peer runs; if not, connections in use through it are closed.
        """
        for conn in [each for each in self._in_use if each.through]:
            if not is_running(conn.through):
                conn.abort()
        for incarnation, idle in list(self._idle.items()):
            for conn in [each for each in idle if each.through and not is_usable(each.through)]:
                idle.remove(conn)
                self.discard(incarnation, conn)

    def keep_only(self, incarnations: Set[EndpointIncarnation]) -> None:
        """Close idle connections to any other incarnation, and those idle beyond CLOSE_IDLE_S."""
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
        """Count a connection as closed, and drop the count of an endpoint that has none left."""
        left = self._open.get(incarnation, 0) - 1
        if left > 0:
            self._open[incarnation] = left
        else:
            self._open.pop(incarnation, None)


def _is_silent(conn: HttpConnection, since_s: float) -> bool:
    """Return whether a direct connection, whose request may be sent again, received nothing."""
    return conn.may_be_given_up and not conn.through and conn.received_s < since_s


def connection_cap(service: Service, instances: int) -> int:
    """Return how many connections one instance may have to an endpoint.

    All instances together may use USED_SHARE of what an endpoint accepts, in equal parts, because
    it resets connections beyond its limit and the requests on them are lost. An instance may always
    have MIN_CONNECTIONS.

    Args:
      instances: Number of live instances, this one included.
    """
    return max(MIN_CONNECTIONS, int(service.max_connections * USED_SHARE / max(1, instances)))
