"""Connects to endpoints: directly, or through a peer where this instance has lost its path.

A direct connection that fails, or does not come up within some round trips, is tried through a peer
as well. If the peer reaches the endpoint, the path is lost, and later connections go through peers
at once until a probe finds the path again. If the peer does not reach it either, the endpoint is
unreachable or, if both were refused, has ended: two instances agree on that.
"""

import asyncio
from collections.abc import Callable

from springbridge.routing.paths import PathTable
from springbridge.routing.records import EndpointEntry, EndpointIncarnation

from springbridge_node import logs
from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    HttpConnection,
    NoDescriptorError,
    connect,
)
from springbridge_node.gateway.peers.tunnel_client import TunnelClient, TunnelFailedError
from springbridge_node.gateway.peers.tunnel_messages import Purpose

# Seconds for establishing a direct connection. Short compared with a request's deadline, so that
# another endpoint can still be tried.
CONNECT_TIMEOUT_S = 0.4
# Seconds after which a peer is asked although the direct connection may still come up: several
# round trips between regions.
HEDGE_DELAY_S = 0.15


class EndpointConnector:
    """Opens connections to endpoints, and keeps record of lost paths."""

    def __init__(
        self,
        paths: PathTable,
        tunnels: TunnelClient,
        on_hang: Callable[[EndpointIncarnation], None],
    ) -> None:
        """Keep the parts.

        Args:
          on_hang: Called with an endpoint whose path was found lost because connections to it
            neither come up nor are refused.
        """
        self._paths = paths
        self._tunnels = tunnels
        self._on_hang = on_hang

    async def connect(self, entry: EndpointEntry) -> HttpConnection:
        """Return a new connection to an endpoint.

        Raises:
          ConnectFailedError: None came up, here or at the peers that were asked.
          NoDescriptorError: This instance cannot open any.
        """
        return await self._connect(entry, Purpose.REQUESTS)

    async def connect_for_check(self, entry: EndpointEntry) -> HttpConnection:
        """Return a new connection for health checks, also to an endpoint that leaves.

        Raises:
          ConnectFailedError: See connect().
        """
        return await self._connect(entry, Purpose.CHECK)

    async def _connect(self, entry: EndpointEntry, purpose: Purpose) -> HttpConnection:
        """Return a new connection for a purpose; see connect()."""
        if self._paths.is_lost(entry.incarnation) and self._tunnels.has_peers():
            return await self._connect_through_peer(entry, purpose)
        used: HttpConnection | None = None
        direct = asyncio.ensure_future(connect(entry.address, CONNECT_TIMEOUT_S))
        through: asyncio.Task[HttpConnection] | None = None
        try:
            await asyncio.wait({direct}, timeout=HEDGE_DELAY_S)
            if not _is_up(direct) and self._tunnels.has_peers():
                through = asyncio.ensure_future(self._tunnels.open(entry, purpose))
            await _wait_for_either(direct, through)
            used = self._first_up(entry, direct, through)
            return used
        finally:
            _end_unused(used, direct, through)

    async def connect_directly(self, entry: EndpointEntry) -> HttpConnection:
        """Return a new direct connection to an endpoint, a probe of a lost path.

        Raises:
          ConnectFailedError: It was refused, or not established in time.
        """
        try:
            conn = await connect(entry.address, CONNECT_TIMEOUT_S)
        except NoDescriptorError:
            raise
        except ConnectFailedError:
            self._paths.record_lost(entry.incarnation)
            raise
        self._record_up(entry)
        return conn

    async def _connect_through_peer(self, entry: EndpointEntry, purpose: Purpose) -> HttpConnection:
        """Return a connection through a peer, a direct one if none can help; see connect()."""
        try:
            return await self._tunnels.open(entry, purpose)
        except TunnelFailedError as exc:
            if exc.shows_unreachable:
                detail = f"through peers: {exc}"
                raise ConnectFailedError(detail, exc.shows_refusal, agreed=True) from exc
        try:
            conn = await connect(entry.address, HEDGE_DELAY_S)
        except ConnectFailedError as exc:
            raise self._unconfirmed(exc) from exc
        self._record_up(entry)
        return conn

    def _first_up(
        self,
        entry: EndpointEntry,
        direct: asyncio.Task[HttpConnection],
        through: asyncio.Task[HttpConnection] | None,
    ) -> HttpConnection:
        """Return the connection that came up, the direct one if both did; see connect().

        Both attempts have ended unless one of them is up; see _wait_for_either.
        """
        if _is_up(direct):
            self._record_up(entry)
            return direct.result()
        if through is None:
            raise self._unconfirmed(direct.exception())
        if _is_up(through):
            self._record_lost(entry, direct)
            return through.result()
        failed, refused = direct.exception(), through.exception()
        if not isinstance(failed, ConnectFailedError) or isinstance(failed, NoDescriptorError):
            raise failed
        if not isinstance(refused, TunnelFailedError):
            raise refused
        if refused.nobody_has_tunnels:
            raise failed
        raise ConnectFailedError(
            f"{failed}; through peers: {refused}",
            failed.refused and self._is_refused_by_all(refused),
            agreed=refused.shows_unreachable,
        )

    def _unconfirmed(self, failed: BaseException) -> BaseException:
        """Return the error of a direct connection where no peer can tell whether it is the path.

        A refusal then shows the end of an endpoint only if no path is lost here: a cut may refuse
        connections as well.
        """
        is_refused = isinstance(failed, ConnectFailedError) and failed.refused
        if not is_refused or not self._paths.lost():
            return failed
        return ConnectFailedError(f"{failed}; paths are lost", refused=False)

    def _is_refused_by_all(self, through: TunnelFailedError) -> bool:
        """Return whether peers confirm a refusal, or none can tell and no path is lost here."""
        if through.shows_unreachable:
            return through.shows_refusal
        return not self._paths.lost()

    def _record_lost(self, entry: EndpointEntry, direct: asyncio.Task[HttpConnection]) -> None:
        """Record and log that a peer reaches an endpoint and this instance does not."""
        if not self._paths.record_lost(entry.incarnation):
            return
        failed = direct.exception() if direct.done() else None
        logs.event(
            "path.lost",
            engine=entry.endpoint_id,
            reason=str(failed or "no answer yet"),
            lost_paths=len(self._paths.lost()),
        )
        if failed is None or not failed.refused:
            self._on_hang(entry.incarnation)

    def _record_up(self, entry: EndpointEntry) -> None:
        """Record that a direct connection came up, and log it if the path was lost."""
        if self._paths.record_up(entry.incarnation):
            logs.event("path.back", engine=entry.endpoint_id, lost_paths=len(self._paths.lost()))


async def _wait_for_either(direct: asyncio.Task, through: asyncio.Task | None) -> None:
    """Wait until one connection is up or all attempts have failed; peers may not be asked."""
    pending = {direct} if through is None else {direct, through}
    while pending and not (_is_up(direct) or _is_up(through)):
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def _is_up(attempt: asyncio.Task | None) -> bool:
    """Return whether an attempt has opened a connection."""
    return (
        attempt is not None
        and attempt.done()
        and not attempt.cancelled()
        and attempt.exception() is None
    )


def _end_unused(used: HttpConnection | None, *attempts: asyncio.Task | None) -> None:
    """End attempts whose connections are not used."""
    for attempt in attempts:
        if attempt is None:
            continue
        if not _is_up(attempt):
            attempt.cancel()
        elif attempt.result() is not used:
            attempt.result().abort()
