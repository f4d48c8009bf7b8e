"""Keeps each stream at the version of the endpoints that began it.

Records the version with a stream's first event, and finds it for a caller that takes a stream up
again. The rules are in springbridge/routing/resumption.py.
"""

import asyncio

from springbridge.problems import Problem
from springbridge.routing import giving_up, resumption
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.resumption import Resumption, VersionSource
from springbridge.routing.stream_origins import StreamOrigin, stream_key

from springbridge_node import clock
from springbridge_node.gateway.config.version_register import VersionRegister
from springbridge_node.gateway.peers.origin_sharing import FoundOrigin, OriginSharing
from springbridge_node.gateway.requests.exchange import Exchange

# Longest time in seconds to wait for a list as new as the request: the readers read twice a second,
# and the others hear of that within another half second.
MAX_LIST_WAIT_S = 1.2
# Pause between two checks of the list meanwhile, in seconds.
LIST_CHECK_S = 0.05


class StreamVersions:
    """Fixes the version of the streams that this node serves."""

    def __init__(
        self, registry: EndpointRegistry, origins: OriginSharing, register: VersionRegister
    ) -> None:
        """Keep the parts."""
        self._register = register
        self._registry = registry
        self._origins = origins

    def first_event(self, exchange: Exchange) -> None:
        """Fix the version of a stream whose first event is about to be sent to the caller."""
        progress, chosen = exchange.progress, exchange.progress.chosen[-1]
        if not exchange.route.resumable or progress.version is not None or chosen.version is None:
            return
        progress.version, progress.version_source = chosen.version, VersionSource.ANSWER
        if exchange.request_id and not exchange.admitted.arrival.resume_after:
            origin = StreamOrigin(chosen.version, chosen.endpoint)
            self._origins.record(self._key(exchange, exchange.request_id), origin)

    async def take_up(self, exchange: Exchange) -> Problem | None:
        """Fix the version of a stream that the caller takes up; return why it cannot go on."""
        if not resumption.takes_up_stream(exchange.route, exchange.admitted.arrival):
            return None
        found = await self._find(exchange)
        progress = exchange.progress
        if found.origin is None:
            decision = await self._without_origin(exchange, found)
            progress.version_source = VersionSource.SOLE
        else:
            listed = self._registry.version_of(found.origin.endpoint_id)
            decision = resumption.at_origin(found.origin, listed)
            progress.version_source = found.source
        progress.version = decision.version
        if decision.version is None:
            progress.version_source = VersionSource.UNKNOWN
            return giving_up.when_origin_unknown(decision.reason)
        return None

    async def _find(self, exchange: Exchange) -> FoundOrigin:
        """Return what is known of the stream that a request takes up."""
        resumes = exchange.admitted.arrival.resumes
        key = self._key(exchange, resumes) if resumes else ""
        span_s = resumption.max_stream_age_s(exchange.route)
        return await self._origins.find(key, exchange.demand.service, span_s)

    async def _without_origin(self, exchange: Exchange, found: FoundOrigin) -> Resumption:
        """Return the decision on a stream of unknown origin, by a list as new as the request."""
        service, route = exchange.demand.service, exchange.route
        arrived_s = exchange.admitted.arrival.arrived_s
        max_age_s = resumption.max_stream_age_s(route)
        give_up_s = clock.now_s() + MAX_LIST_WAIT_S
        while not self._registry.is_as_new_as(arrived_s) and clock.now_s() < give_up_s:
            await asyncio.sleep(LIST_CHECK_S)
        reports = (*found.reports, self._registry.seen.report(service, max_age_s))
        is_current = self._registry.is_as_new_as(arrived_s)
        decision = resumption.without_origin(reports, is_current, max_age_s)
        if decision.version is not None or not is_current or not resumption.is_sole(reports):
            return decision
        recorded = await self._register.report(service)
        return resumption.without_origin((*reports, recorded), is_current, max_age_s)

    def _key(self, exchange: Exchange, request_id: str) -> str:
        """Return the key of the stream that a request of the same customer began."""
        return stream_key(exchange.admitted.customer, request_id)
