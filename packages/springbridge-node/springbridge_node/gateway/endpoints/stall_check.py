"""Notices that the path under a request hangs, long before the kernel breaks the connection.

Bytes that the endpoint's host has not acknowledged some round trips after they were sent may be on
a path that is gone. A new connection then tells: if it comes up, the packets were lost by chance
and will be sent again; if only a peer gets one, the path is lost. Then the connections over it that
stay silent are closed, if their requests may be sent again.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from springbridge.routing.paths import PathTable
from springbridge.routing.records import EndpointEntry, EndpointIncarnation

from springbridge_node import clock, logs
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.http_connection import ConnectFailedError, HttpConnection

# Seconds after a request was sent when its bytes should be acknowledged: several round trips
# between regions, and the least time after which the kernel sends a lost packet again.
ACKNOWLEDGED_WITHIN_S = 0.2
# Seconds for which a connection over a lost path may be silent before it is closed.
SILENT_S = 0.3


class StallCheck:
    """Checks the paths of requests in progress; an endpoint is checked by one connection a time."""

    def __init__(self, pool: ConnectionPool, paths: PathTable) -> None:
        """Keep the parts."""
        self._pool = pool
        self._paths = paths
        self._checks: dict[EndpointIncarnation, asyncio.Task] = {}

    @contextlib.contextmanager
    def watching(
        self, entry: EndpointEntry, conn: HttpConnection, repeatable: bool
    ) -> Iterator[None]:
        """Watch the path of the request that the block sends on a connection.

        Args:
          repeatable: Whether the request may be sent again.
        """
        if conn.through:
            yield
            return
        conn.may_be_given_up = repeatable
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ACKNOWLEDGED_WITHIN_S, self._check, entry, conn)
        try:
            yield
        finally:
            conn.may_be_given_up = False
            timer.cancel()

    def close_hanging(self, incarnation: EndpointIncarnation) -> None:
        """Close the connections over a path that hangs, unless they receive bytes soon."""
        loop = asyncio.get_running_loop()
        loop.call_later(SILENT_S, self._close_silent, incarnation, clock.now_s())

    def _close_silent(self, incarnation: EndpointIncarnation, since_s: float) -> None:
        """Close connections that have received nothing since a path was lost, if it still is.

        Other paths over which nothing arrived either are verified: the same link may carry them.
        """
        if not self._paths.is_lost(incarnation):
            return
        self._pool.close_hanging(incarnation, since_s)
        for entry in self._pool.silent(since_s):
            if not self._paths.is_lost(entry.incarnation):
                self._verify(entry)

    def _check(self, entry: EndpointEntry, conn: HttpConnection) -> None:
        """Check a path if the request on a connection over it was not acknowledged."""
        if not conn.has_unacknowledged():
            return
        if self._paths.is_lost(entry.incarnation):
            self.close_hanging(entry.incarnation)
        else:
            self._verify(entry)

    def _verify(self, entry: EndpointEntry) -> None:
        """Verify a path by another connection, unless that is being done."""
        if entry.incarnation in self._checks:
            return
        check = asyncio.ensure_future(self._connect(entry))
        self._checks[entry.incarnation] = check
        check.add_done_callback(lambda _: self._checks.pop(entry.incarnation, None))

    async def _connect(self, entry: EndpointEntry) -> None:
        """Open a connection, which records the path as lost if only a peer can, and keep it."""
        try:
            await self._pool.warm(entry)
        except ConnectFailedError:
            # The request on the connection that was checked finds that the endpoint is gone.
            return
        except Exception as exc:
            logs.fault(exc, "check path", engine=entry.endpoint_id)
