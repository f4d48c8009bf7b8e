"""Opens connections to endpoints through peers, for an instance that has lost its own paths.

Peers nearest to this instance or to the endpoint are asked first, and one after another, each a
moment after the one before, since a peer may have lost its path as well. A peer that cannot help is
left out for a while.
"""

import asyncio
import random
from collections.abc import Iterator

from springbridge.member import Member
from springbridge.membership import Membership
from springbridge.routing.records import EndpointEntry

from springbridge_node import clock, logs
from springbridge_node.gateway.http.answer_end import AnswerBrokenError
from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    HttpConnection,
    connect,
)
from springbridge_node.gateway.http.http_head import Head
from springbridge_node.gateway.peers.tunnel_messages import (
    EVIDENCE,
    STATUSES,
    Purpose,
    TunnelResult,
    marks_end,
    read_result,
    request_head,
)

# Peers that are asked to connect to the same endpoint: one near, one near the endpoint, one more.
MAX_PEERS = 3
# Seconds after which the next peer is asked beside the one that has not answered yet.
STAGGER_S = 0.08
# Seconds for the whole attempt: some round trips between regions. Together with the delay after
# which peers are asked it is as long as a direct connection may take.
TIMEOUT_S = 0.25
# Seconds for which a peer is left out that has lost its own path to a service, or is full.
LEFT_OUT_S = 1.0
# Seconds for which a peer is left out whose build has no tunnels.
UNSUPPORTED_S = 10.0


class TunnelFailedError(Exception):
    """No peer opened a connection to the endpoint.

    Attributes:
      results: Results of the peers that were asked.
    """

    def __init__(self, results: tuple[TunnelResult, ...]) -> None:
        super().__init__(", ".join(result.value for result in results) or "no peer")
        self.results = results

    @property
    def shows_refusal(self) -> bool:
        """Return whether peers were refused, and none had another result that tells something."""
        return {each for each in self.results if each in EVIDENCE} == {TunnelResult.REFUSED}

    @property
    def nobody_has_tunnels(self) -> bool:
        """Return whether the builds of all peers that were asked have no tunnels."""
        return {*self.results} == {TunnelResult.UNSUPPORTED}

    @property
    def shows_unreachable(self) -> bool:
        """Return whether a peer tried and could not connect either."""
        return any(each in EVIDENCE for each in self.results)


class TunnelClient:
    """Asks peers for connections to endpoints."""

    def __init__(self, membership: Membership, source_ip: str) -> None:
        """Create a client.

        Args:
          membership: Has the peers.
          source_ip: IP number of this instance, by which peers know it.
        """
        self._membership = membership
        self._source_ip = source_ip
        self._left_out_until_s: dict[tuple[str, str], float] = {}

    def has_peers(self) -> bool:
        """Return whether there is a peer to ask."""
        return any(self._peers())

    def is_usable(self, incarnation: str) -> bool:
        """Return whether requests may go through a peer: it runs and does not leave."""
        return any(member.incarnation == incarnation for member in self._peers())

    def is_running(self, incarnation: str) -> bool:
        """Return whether a peer still runs."""
        return any(each.incarnation == incarnation for each in self._membership.reachable())

    async def open(self, entry: EndpointEntry, purpose: Purpose) -> HttpConnection:
        """Return a connection to an endpoint that leads through a peer.

        Raises:
          TunnelFailedError: No peer that was asked could connect.
        """
        results: list[TunnelResult] = []
        attempts: set[asyncio.Task] = set()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await self._open_by_turns(entry, purpose, attempts, results)
        except TimeoutError:
            results += [TunnelResult.SILENT] * len(attempts)
            raise TunnelFailedError(tuple(results)) from None
        finally:
            for attempt in attempts:
                attempt.add_done_callback(_close_surplus)
                attempt.cancel()

    async def _open_by_turns(
        self,
        entry: EndpointEntry,
        purpose: Purpose,
        attempts: set[asyncio.Task],
        results: list[TunnelResult],
    ) -> HttpConnection:
        """Ask one peer after another; see open().

        Args:
          attempts: Gets the attempts in progress.
          results: Gets the results of failed attempts.
        """
        peers = iter(self._peers_for(entry))
        while True:
            peer = next(peers, None)
            if peer is not None:
                attempts.add(asyncio.ensure_future(self._open_through(peer, entry, purpose)))
            if not attempts:
                raise TunnelFailedError(tuple(results))
            done, _ = await asyncio.wait(
                attempts,
                timeout=None if peer is None else STAGGER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in done:
                # It is done and was not cancelled, and _open_through catches what it meets.
                found = attempt.result()
                if isinstance(found, HttpConnection):
                    attempts.discard(attempt)
                    return found
                attempts.discard(attempt)
                results.append(found)

    async def _open_through(
        self, peer: Member, entry: EndpointEntry, purpose: Purpose
    ) -> HttpConnection | TunnelResult:
        """Return a connection through one peer, or why there is none."""
        try:
            result, conn = await self._connect_and_ask(peer, entry, purpose)
        except Exception as exc:
            # As if the peer were silent: another one, or the direct connection, may do.
            logs.fault(exc, "ask for tunnel", engine=entry.endpoint_id)
            result, conn = TunnelResult.SILENT, None
        if conn is not None:
            return conn
        self._leave_out(peer, entry, result)
        return result

    async def _connect_and_ask(
        self, peer: Member, entry: EndpointEntry, purpose: Purpose
    ) -> tuple[TunnelResult, HttpConnection | None]:
        """Return the result of asking one peer, with the connection if it is open."""
        try:
            conn = await connect(peer.peer_address, TIMEOUT_S, self._source_ip)
        except ConnectFailedError:
            return TunnelResult.SILENT, None
        result, end_is_marked = await self._ask(conn, entry, purpose)
        if result is not TunnelResult.OPEN:
            conn.abort()
            return result, None
        conn.lead_through(peer.incarnation, end_is_marked)
        return result, conn

    async def _ask(
        self, conn: HttpConnection, entry: EndpointEntry, purpose: Purpose
    ) -> tuple[TunnelResult, bool]:
        """Ask for a tunnel on a new connection to a peer; it is closed if this does not end well.

        Returns:
          The result, and whether the peer marks the end of a tunnel; see `marks_end`.
        """
        try:
            conn.send(request_head(entry, self._membership.me.incarnation, purpose), b"")
            head = await conn.read_head()
            return _result_in(head), marks_end(head.headers)
        except AnswerBrokenError:
            return TunnelResult.SILENT, False
        except BaseException:
            conn.abort()
            raise

    def _leave_out(self, peer: Member, entry: EndpointEntry, result: TunnelResult) -> None:
        """Leave a peer out for a while unless its result concerns the endpoint."""
        if result in EVIDENCE:
            return
        seconds = UNSUPPORTED_S if result is TunnelResult.UNSUPPORTED else LEFT_OUT_S
        self._left_out_until_s[peer.incarnation, entry.service] = clock.now_s() + seconds

    def _peers(self) -> Iterator[Member]:
        """Yield the other members that run and are not leaving."""
        me = self._membership.me.incarnation
        return (each for each in self._membership.live() if each.incarnation != me)

    def _peers_for(self, entry: EndpointEntry) -> list[Member]:
        """Return the peers to ask for an endpoint, in this order; see MAX_PEERS."""
        now_s = clock.now_s()
        self._left_out_until_s = {
            key: until_s for key, until_s in self._left_out_until_s.items() if until_s > now_s
        }
        candidates = [
            each
            for each in self._peers()
            if (each.incarnation, entry.service) not in self._left_out_until_s
        ]
        random.shuffle(candidates)
        near = (self._membership.me.failure_domain, entry.failure_domain)
        chosen: list[Member] = []
        for domain in near:
            chosen += [each for each in candidates if each.failure_domain == domain][:1]
        chosen += [each for each in candidates if each.failure_domain not in near][:1]
        chosen += [each for each in candidates if each not in chosen]
        return list({each.incarnation: each for each in chosen}.values())[:MAX_PEERS]


def _result_in(head: Head) -> TunnelResult:
    """Return the result in a reply; one that contradicts its status is no reply to this request."""
    result = read_result(head.headers)
    if result is TunnelResult.OPEN and head.status != STATUSES[result]:
        return TunnelResult.UNSUPPORTED
    return result


def _close_surplus(attempt: asyncio.Task) -> None:
    """Close a connection that came up although another one is used."""
    if not attempt.cancelled() and isinstance(attempt.result(), HttpConnection):
        attempt.result().abort()
