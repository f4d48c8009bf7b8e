"""Keeps the origins of streams at a few nodes, and finds them for callers that come back elsewhere.

A node that relays the first event of a stream sends its origin to two others, in different failure
domains, before the event; nothing waits for them. A node at which a caller comes back asks these
and, if none of them knows, all other nodes: the one that relayed the event may still run. A node
that has just started and met nobody yet turns to the addresses on the platform's list. A message is
one datagram, and what is lost is asked for once more.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from springbridge.hash_ring import HashRing
from springbridge.membership import Member, Membership
from springbridge.routing.resumption import VersionSource
from springbridge.routing.seen_versions import SeenReport
from springbridge.routing.stream_origins import OriginTable, StreamOrigin, merged

from springbridge_node.gateway.peers import origin_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.origin_rows import OriginReply, OriginRequest
from springbridge_node.gateway.peers.peer_builds import keeps_origins
from springbridge_node.gateway.peers.pending_replies import PendingReplies

# Other nodes that keep the origin of a stream. With the node itself three know it.
KEEPERS = 2
# Nodes that are asked first: the node that sent the origin may be among the first ones itself.
ASKED_FIRST = KEEPERS + 1
# Seconds to wait for a reply before the question is sent again, and how often it is sent.
REPLY_TIMEOUT_S = 0.05
SENDS = 2
# Questions that a node may send to all others, in datagrams a second and at once. Bounds what
# callers with invented ids can cause in a large fleet.
ASKED_PER_S = 100.0
MAX_ASKED_AT_ONCE = 800.0


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """What the nodes know of a stream.

    Attributes:
      origin: Its origin, None if nobody knows it.
      source: From where it is known.
      reports: The versions that each node has seen of the service.
    """

    origin: StreamOrigin | None
    source: VersionSource
    reports: tuple[SeenReport, ...]


class OriginSharing:
    """Records and finds origins of streams."""

    def __init__(
        self,
        membership: Membership,
        seen: Callable[[str, float], SeenReport],
        clock: Callable[[], float],
    ) -> None:
        """Start without origins.

        Args:
          seen: Returns the versions that this node has seen of a service within some seconds.
        """
        self._membership = membership
        self._seen = seen
        self._clock = clock
        self.table = OriginTable(clock)
        self._pending: PendingReplies[OriginReply] = PendingReplies()
        self._datagrams: PeerDatagrams | None = None
        self._ring = HashRing({})
        self._ring_version = -1
        self._keepers: dict[str, Member] = {}
        self._may_ask = MAX_ASKED_AT_ONCE
        self._counted_s = clock()

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to exchange origins with peers."""
        self._datagrams = datagrams
        datagrams.handle(Kind.STREAM_BEGAN, self._receive_origin)
        datagrams.handle(Kind.ORIGIN_REQUEST, self._handle_request)
        datagrams.handle(Kind.ORIGIN_REPLY, self._receive_reply)

    def record(self, key: str, origin: StreamOrigin) -> None:
        """Record the origin of a stream here and at the nodes that keep it."""
        self.table.record(key, origin)
        if self._datagrams is not None:
            addresses = self._keepers_of(key, KEEPERS)
            if len(addresses) < KEEPERS:
                # Not where a caller's next node looks first, but where it finds it by asking all.
                addresses += self._membership.unmet_addresses()[: KEEPERS - len(addresses)]
            self._datagrams.send(Kind.STREAM_BEGAN, origin_rows.began_row(key, origin), addresses)

    async def find(self, key: str, service: str, span_s: float) -> FoundOrigin:
        """Return what this node and others know of the origin of a stream.

        Args:
          key: Key of the stream, "" if the caller names none.
          span_s: Seconds for which the versions of the service are reported.
        """
        own = self.table.find(key) if key else None
        # Without a key any nodes will do.
        first = self._keepers_of(key or str(random.random()), ASKED_FIRST)
        request = OriginRequest(0, key, service, span_s)
        replies = await self._ask(request, first)
        source = VersionSource.HOME if own is None else VersionSource.OWN
        if key and own is None and not _origin_in(replies):
            source = VersionSource.ASKED
            replies += await self._ask(request, self._all_but(first))
        origin = merged(own, _origin_in(replies))
        reports = (self._seen(service, span_s), *(reply.seen for reply in replies))
        return FoundOrigin(origin, source if origin else VersionSource.NONE, reports)

    def _keepers_of(self, key: str, count: int) -> list[str]:
        """Return the addresses of the other nodes that keep a key's origins, as far as known."""
        self._update_ring()
        names = self._ring.nodes_for(key, count + 1)
        others = [name for name in names if name != self._membership.me.incarnation]
        return [self._keepers[name].peer_address for name in others[:count]]

    def _update_ring(self) -> None:
        """Place the live nodes on a new ring if they have changed."""
        version = self._membership.live_version()
        if version == self._ring_version:
            return
        self._ring_version = version
        live = [each for each in self._membership.live() if keeps_origins(each.heartbeat)]
        self._keepers = {member.incarnation: member for member in live}
        self._ring = HashRing({each.incarnation: each.failure_domain for each in live})

    def _all_but(self, asked: Sequence[str]) -> list[str]:
        """Return the addresses of all other nodes, none while too many were asked lately."""
        members = [
            member.peer_address
            for member in self._membership.reachable()
            if keeps_origins(member.heartbeat)
        ]
        members += self._membership.unmet_addresses()
        members = [address for address in members if address not in asked]
        now_s = self._clock()
        refilled = self._may_ask + (now_s - self._counted_s) * ASKED_PER_S
        self._may_ask, self._counted_s = min(MAX_ASKED_AT_ONCE, refilled), now_s
        if len(members) > self._may_ask:
            return []
        self._may_ask -= len(members)
        return members

    async def _ask(self, request: OriginRequest, addresses: Sequence[str]) -> list[OriginReply]:
        """Return the replies of the nodes at some addresses, up to the first with an origin."""
        if self._datagrams is None:
            return []
        tasks = [asyncio.ensure_future(self._ask_one(request, each)) for each in addresses]
        replies: list[OriginReply] = []
        try:
            for fut in asyncio.as_completed(tasks):
                reply = await fut
                if reply is not None:
                    replies.append(reply)
                if reply is not None and reply.origin is not None:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return replies

    async def _ask_one(self, request: OriginRequest, address: str) -> OriginReply | None:
        """Return the reply of a node, None if none comes in time."""

        def send(number: int) -> None:
            row = origin_rows.request_row(replace(request, number=number))
            self._datagrams.send(Kind.ORIGIN_REQUEST, row, [address])

        for _ in range(SENDS):
            reply = await self._pending.request(send, REPLY_TIMEOUT_S)
            if reply is not None:
                return reply
        return None

    def _receive_origin(self, row: list, sender: str) -> None:
        """Keep an origin for a peer."""
        self.table.record(*origin_rows.read_began(row))

    def _handle_request(self, row: list, sender: str) -> None:
        """Answer a peer's question."""
        request = origin_rows.read_request(row)
        origin = self.table.find(request.key) if request.key else None
        reply = OriginReply(request.number, origin, self._seen(request.service, request.span_s))
        self._datagrams.send(Kind.ORIGIN_REPLY, origin_rows.reply_row(reply), [sender])

    def _receive_reply(self, row: list, sender: str) -> None:
        """Pass a reply to the request that awaits it."""
        reply = origin_rows.read_reply(row)
        self._pending.resolve(reply.number, reply)


def _origin_in(replies: Sequence[OriginReply]) -> StreamOrigin | None:
    """Return what some replies together know of an origin."""
    found = None
    for reply in replies:
        found = merged(found, reply.origin)
    return found
