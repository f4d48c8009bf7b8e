"""Sends requests to brittle endpoints only with a place, so that few are rejected.

An endpoint that states how many rejections a second it can stand crashes if it has to reject more.
Its granter (place_permits.py) keeps the requests that may be rejected below that. While no endpoint
is brittle a request costs one comparison here.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from springbridge.membership import Membership
from springbridge.rates.rate_table import RateTable
from springbridge.rates.statements import StatedRate, Statement, is_readable, rate_of
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointIncarnation
from springbridge.routing.retries import AttemptOutcome

from springbridge_node.clock import now_s
from springbridge_node.gateway.peers.brittle_sharing import BrittleSharing
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.peer_builds import grants_places
from springbridge_node.gateway.peers.place_permits import PlacePermits
from springbridge_node.gateway.requests.exchange import Exchange

# Seconds that one request may wait for places in total, some round trips.
MAX_WAIT_S = 0.03
# Outcomes of a request that the endpoint had no room for.
REJECTIONS = frozenset({AttemptOutcome.TURNED_AWAY, AttemptOutcome.ASKED_REST})


@dataclass
class Place:
    """The place of a request at an endpoint.

    Attributes:
      lease: Its id; "" if the endpoint is not brittle and needs none.
      rejected: Whether the endpoint rejected the request.
    """

    lease: str = ""
    rejected: bool = False


class PlaceGate:
    """Acquires a place before each attempt at a brittle endpoint.

    Attributes:
      table: The rejections a second that each brittle endpoint can stand.
      sharing: Shares these with peers; its beat is to be called at each heartbeat.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Create and connect the parts."""
        self.table = RateTable(clock)
        self._clock = clock
        self.sharing = BrittleSharing(self.table, membership, clock)
        granters = GranterSet(membership, clock, grants_places)
        self._permits = PlacePermits(membership, registry, granters, clock)
        self._registry = registry

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to exchange statements and places with peers."""
        self.sharing.connect(datagrams)
        self._permits.connect(datagrams)

    def record(self, entry: EndpointEntry, stated: StatedRate, sent_s: float) -> None:
        """Record what an answer states of the rejections that its endpoint can stand.

        Args:
          sent_s: When the request was sent, on the monotonic clock.
        """
        if stated == StatedRate() and not len(self.table):
            return
        if is_readable(stated):
            statement = Statement(rate_of(stated), sent_s, self._clock())
            self.sharing.on_statement(entry.incarnation, statement)

    def rejections_per_s(self, entry: EndpointEntry) -> float | None:
        """Return how many rejections a second an endpoint can stand, None if it is not brittle.

        A run that has not said anything yet is taken to be as brittle as others of its service.
        """
        if not len(self.table):
            return None
        if self.table.statement(entry.incarnation) is not None:
            return self.table.per_s(entry.incarnation)
        states = [self._registry.find(each.endpoint_id) for each in self.table.limited()]
        found = [
            self.table.per_s(state.entry.incarnation)
            for state in states
            if state is not None and state.entry.service == entry.service
        ]
        return min((each for each in found if each is not None), default=None)

    async def acquire(self, exchange: Exchange, entry: EndpointEntry) -> Place | None:
        """Acquire a place at an endpoint; None if there is none, then another one is selected."""
        stated = self.rejections_per_s(entry)
        if stated is None:
            return Place()
        lease = self._permits.new_lease()
        progress = exchange.progress
        while progress.place_wait_s < MAX_WAIT_S:
            began_s = self._clock()
            left_s = MAX_WAIT_S - progress.place_wait_s
            grant = await self._permits.request(entry, lease, stated, left_s)
            if grant is not None and grant.granted:
                return Place(lease)
            may_wait = grant is not None and grant.wait_s < left_s
            if may_wait:
                await asyncio.sleep(grant.wait_s)
            progress.place_wait_s += self._clock() - began_s
            if not may_wait:
                break
        progress.without_place.add(entry.endpoint_id)
        return None

    @contextlib.contextmanager
    def hold(self, exchange: Exchange, entry: EndpointEntry, place: Place) -> Iterator[None]:
        """Hold a place during the block, and report its end after it."""
        exchange.progress.without_place.clear()
        try:
            yield
        finally:
            if place.lease:
                self._permits.end(entry, place.lease, place.rejected)

    def forget_gone(self, known: set[EndpointIncarnation]) -> None:
        """Drop endpoints that are gone."""
        self.table.keep_only(known)
        self._permits.keep_only(known)
