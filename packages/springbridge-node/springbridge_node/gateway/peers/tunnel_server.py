"""Connects to endpoints on behalf of peers that have lost their own paths, and copies the bytes.

The peer speaks HTTP with the endpoint through the connection, and all decisions on its requests
stay with it. This instance decides only whether it can connect: it never asks a third one, so a
request takes one hop at most. An endpoint that ends its connection in order has the tunnel end so;
any other end resets it, also that of this process, so that a peer can tell a whole answer from a
truncated one. An endpoint hears at once that a caller has left.
"""

import asyncio

from springbridge.membership import Membership
from springbridge.routing.eligibility import ExclusionReason, exclusion_reason
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.paths import PathTable
from tornado.iostream import IOStream, StreamClosedError

from springbridge_node import logs
from springbridge_node.gateway.http.closing import end_in_order, reset_on_close
from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    NoDescriptorError,
    enable_dead_host_detection,
    open_stream,
)
from springbridge_node.gateway.http.small_server import ConnectRequest
from springbridge_node.gateway.peers.tunnel_messages import (
    Purpose,
    TunnelRequest,
    TunnelResult,
    read_request,
    reply_head,
)

# Tunnels of all peers together. Bounds descriptors, and memory at READ_BYTES for each direction.
MAX_TUNNELS = 256
# Seconds for establishing the connection to an endpoint. Below the time that a peer waits for it.
CONNECT_TIMEOUT_S = 0.2
# Maximum bytes taken from a connection before they are written to the other one.
READ_BYTES = 1 << 16
# Reasons for which this instance sends an endpoint nothing, whoever asks. Ejections, and what peers
# report, are left to the peer that asks.
BINDING_REASONS = frozenset(
    {
        ExclusionReason.NOT_LISTED,
        ExclusionReason.DRAINING,
        ExclusionReason.EVACUATED,
        ExclusionReason.RESTING,
        ExclusionReason.LEAVING,
    }
)


class TunnelServer:
    """Serves the tunnels of peers.

    Attributes:
      count: Number of open tunnels.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        paths: PathTable,
    ) -> None:
        """Start without tunnels.

        Args:
          membership: Has the members, who alone get tunnels.
          paths: This instance's own paths.
        """
        self._membership = membership
        self._registry = registry
        self._paths = paths
        self._tasks: set[asyncio.Task] = set()

    @property
    def count(self) -> int:
        """Return the number of tunnels that are open or being opened."""
        return len(self._tasks)

    def serve(self, request: ConnectRequest) -> None:
        """Serve a CONNECT in a task of its own."""
        wanted = read_request(request.target, request.headers)
        result = self._refusal(wanted, request.remote_ip)
        stream = request.stream
        if result is not None:
            self._log(wanted, request.remote_ip, result)
            _reply_and_close(stream, result)
            return
        task = asyncio.ensure_future(self._serve_guarded(stream, wanted, request.remote_ip))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refusal(self, wanted: TunnelRequest, remote_ip: str) -> TunnelResult | None:
        """Return why a tunnel is refused without an attempt to connect, None if it is not."""
        if not _is_member(self._membership, wanted.incarnation, remote_ip):
            return TunnelResult.STRANGER
        if not self._membership.is_live():
            return TunnelResult.LEAVING
        if len(self._tasks) >= MAX_TUNNELS:
            return TunnelResult.FULL
        state = self._registry.find(wanted.endpoint_id)
        if state is None or state.entry.address != wanted.address:
            return TunnelResult.EXCLUDED
        return self._refusal_for(state, wanted.purpose)

    def _refusal_for(self, state: EndpointState, purpose: Purpose) -> TunnelResult | None:
        """Return why this instance does not connect to an endpoint, None if it tries."""
        if self._paths.is_lost(state.entry.incarnation):
            return TunnelResult.NO_PATH
        if purpose is Purpose.CHECK:
            return None
        if exclusion_reason(state, self._registry.now_s()) in BINDING_REASONS:
            return TunnelResult.EXCLUDED
        return None

    async def _serve_guarded(self, peer: IOStream, wanted: TunnelRequest, remote_ip: str) -> None:
        """Serve one tunnel, and close the peer's connection whatever happens."""
        try:
            await self._serve(peer, wanted, remote_ip)
        except StreamClosedError:
            # The peer has closed its connection; there is nobody to answer.
            pass
        except Exception as exc:
            logs.fault(exc, "tunnel")
        finally:
            peer.close()

    async def _serve(self, peer: IOStream, wanted: TunnelRequest, remote_ip: str) -> None:
        """Connect to the endpoint, and copy bytes until either end closes.

        Raises:
          StreamClosedError: The peer closed its connection before the tunnel was open.
        """
        try:
            endpoint = await open_stream(wanted.address, CONNECT_TIMEOUT_S)
        except ConnectFailedError as exc:
            result = _result_of(exc)
            self._log(wanted, remote_ip, result)
            await peer.write(reply_head(result))
            return
        try:
            if peer.closed():
                # It was given up while this instance was connecting.
                raise StreamClosedError
            enable_dead_host_detection(peer.socket)
            reset_on_close(peer.socket)
            await peer.write(reply_head(TunnelResult.OPEN))
            if await _copy_both_ways(peer, endpoint):
                end_in_order(peer.socket)
        finally:
            endpoint.close()

    def _log(self, wanted: TunnelRequest, remote_ip: str, result: TunnelResult) -> None:
        """Log a tunnel that is not opened."""
        logs.event(
            "tunnel.refused",
            engine=wanted.endpoint_id,
            address=wanted.address,
            asked_by=remote_ip,
            result=result.value,
        )


def _result_of(exc: ConnectFailedError) -> TunnelResult:
    """Return what a failed connection to an endpoint tells a peer."""
    if isinstance(exc, NoDescriptorError):
        return TunnelResult.FULL
    return TunnelResult.REFUSED if exc.refused else TunnelResult.UNREACHED


def _is_member(membership: Membership, incarnation: str, remote_ip: str) -> bool:
    """Return whether a request comes from a member's incarnation, and from its own address."""
    member = membership.find(incarnation)
    return member is not None and member.peer_address.rpartition(":")[0] == remote_ip


def _reply_and_close(stream: IOStream, result: TunnelResult) -> None:
    """Send a refusal and close the connection once it is sent."""
    if stream.closed():
        return
    sent = stream.write(reply_head(result))
    sent.add_done_callback(lambda done: (done.exception(), stream.close()))


async def _copy_both_ways(peer: IOStream, endpoint: IOStream) -> bool:
    """Copy bytes in both directions until either connection ends.

    Returns:
      Whether the endpoint ended its connection in order, and the peer's has all that it sent.
    """
    requests = asyncio.ensure_future(_copy(peer, endpoint))
    answers = asyncio.ensure_future(_copy(endpoint, peer))
    try:
        await asyncio.wait({requests, answers}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for each in (requests, answers):
            each.cancel()
        await asyncio.gather(requests, answers, return_exceptions=True)
    return not answers.cancelled() and answers.result() and not peer.closed()


async def _copy(source: IOStream, sink: IOStream) -> bool:
    """Copy bytes until either connection ends; other tasks run after each READ_BYTES.

    Returns:
      Whether the source ended in order, after all that it sent was written to the sink.
    """
    while True:
        try:
            data = await source.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as exc:
            return exc.real_error is None
        try:
            await sink.write(data)
        except StreamClosedError:
            return False
        # Neither await above lets others run while both ends are as fast as this instance.
        await asyncio.sleep(0)
