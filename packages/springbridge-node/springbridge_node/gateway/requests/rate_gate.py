"""Keeps requests away from endpoints whose rate limit is exhausted.

An endpoint may state a rate limit in its answers. It then gets a request only with a permit of its
granter, the instance that grants the permits of that endpoint (rate_permits.py). While no endpoint
states a limit, a request costs one comparison here. A request that gets no permit goes to another
endpoint, without using the retry budget and without counting a failure.
"""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from springbridge.rates.held_back import HeldBack
from springbridge.rates.rate_table import RateTable
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.giving_up import RatesExhausted
from springbridge.routing.records import EndpointEntry

from springbridge_node.gateway.peers.rate_permits import RatePermits
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.rate_gate_log import RateGateLog

# Seconds that one request may wait for granters in total, some round trips. Its caller waits
# meanwhile.
MAX_PERMIT_WAIT_S = 0.04
# Seconds for which an endpoint is held back whose granter did not answer in that time, or could not
# be asked. After that the substitute granter is asked.
HOLD_UNANSWERED_S = 0.1


@dataclass(frozen=True)
class RateGateParts:
    """Dependencies of a RateGate.

    Attributes:
      clock: Returns the current time in seconds.
    """

    table: RateTable
    registry: EndpointRegistry
    permits: RatePermits
    log: RateGateLog
    clock: Callable[[], float]


class RateGate:
    """Acquires a permit before each attempt at an endpoint that states a rate limit."""

    def __init__(self, parts: RateGateParts) -> None:
        """Keep the parts."""
        self._parts = parts
        self._held = HeldBack(parts.clock)

    def held_back(self, exchange: Exchange) -> set[str]:
        """Return the ids of the endpoints that a request must not go to now.

        Endpoints that denied it a permit are included even if their limit has ended since:
        otherwise selection could return the same endpoint for ever.
        """
        table = self._parts.table
        if not len(table):
            return exchange.progress.held_back
        held = self._held.ids(exchange.demand.priority)
        return exchange.progress.held_back | {each for each in held if table.is_limited(each)}

    async def acquire_permit(self, exchange: Exchange, entry: EndpointEntry) -> bool:
        """Acquire a permit if the endpoint has a limit; if denied, hold the endpoint back.

        Returns:
          Whether the request may be sent to the endpoint.
        """
        if self._parts.table.per_s(entry.incarnation) is None:
            return True
        if await self._request_permit(exchange, entry):
            return True
        exchange.progress.held_back.add(entry.endpoint_id)
        return False

    async def _request_permit(self, exchange: Exchange, entry: EndpointEntry) -> bool:
        """Ask the granter for a permit, and return whether it was granted."""
        parts, progress = self._parts, exchange.progress
        priority = exchange.demand.priority
        left_s = MAX_PERMIT_WAIT_S - progress.permit_wait_s
        if left_s <= 0.0:
            self._held.hold(entry.endpoint_id, priority, HOLD_UNANSWERED_S)
            return False
        started_s = parts.clock()
        grant = await parts.permits.request(entry, priority, left_s)
        progress.permit_wait_s += parts.clock() - started_s
        parts.log.permit_answered(exchange, entry, grant)
        if grant is None:
            self._held.hold(entry.endpoint_id, 0, HOLD_UNANSWERED_S)
            return False
        if not grant.granted:
            self._held.hold(entry.endpoint_id, priority, grant.wait_s)
        return grant.granted

    @contextlib.contextmanager
    def hold_permit(self, exchange: Exchange, entry: EndpointEntry) -> Iterator[None]:
        """Hold the permit during the block, and give it back if the block sends nothing."""
        is_limited = self._parts.table.per_s(entry.incarnation) is not None
        sends = exchange.progress.sends
        exchange.progress.held_back.clear()
        try:
            yield
        finally:
            if is_limited and exchange.progress.sends == sends:
                self._parts.permits.give_back(entry)

    def exhausted_rates(self, exchange: Exchange) -> RatesExhausted | None:
        """Return the exhausted rate limits that keep a request from its endpoints, or None."""
        held = self.held_back(exchange)
        if not held:
            return None
        demand = exchange.demand
        states = self._parts.registry.candidates(demand.service, ())
        spent = [each.entry for each in states if each.entry.endpoint_id in held]
        if not spent:
            return None
        ids = [entry.endpoint_id for entry in spent]
        rates = [self._parts.table.per_s(entry.incarnation) or 0.0 for entry in spent]
        self._parts.log.refused()
        return RatesExhausted(
            endpoints=len(spent),
            per_s=sum(rates),
            retry_after_s=self._held.return_s(demand.service, ids, demand.priority),
        )

    def forget_old(self) -> None:
        """Drop expired holds and the permits of endpoints that are gone."""
        self._held.forget_old()
        self._parts.permits.forget_gone()
