"""Scales the fleet's endpoints by orders to the platform, while this node holds the lease.

springbridge.duties.scaling computes the numbers. An order names the desired number of endpoints and
is idempotent, so it can be repeated: this is done when the list still has too few of them after
REORDER_S, such as after spot endpoints have left.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result
from springbridge.duties import scaling
from springbridge.duties.demand import KEPT_S
from springbridge.duties.scaling import ListedEndpoints, Load, ScalingLimits, SpotFirst
from springbridge.problems import Problem
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Service

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.duties.duty_platform import (
    DUTY_CALL_S,
    DutyPlatform,
    EndpointOrder,
)
from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper
from springbridge_node.gateway.duties.usage_sharing import UsageSharing

# Greatest age of the endpoint list, in seconds, at which orders are based on it.
MAX_LIST_AGE_S = 2.0
# Seconds before an order is repeated; an endpoint starts within this time.
REORDER_S = 6.0
# Seconds before an order is repeated that failed: no endpoints available, or no answer.
RETRY_S = 1.5
# Length in seconds of the period whose peak counts as the current load. Bursts follow each other
# within such a time.
CURRENT_LOAD_S = 20.0
# Seconds after the lease was acquired during which no reduction is ordered.
NO_REDUCTION_S = 4.0
# Seconds without a new entry after which a new holder takes the list as complete. An order for
# fewer endpoints than exist removes the others, and an incomplete list does not show how many there
# are.
LIST_COMPLETE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Subject:
    """The kind of endpoint that an order is for: orders of the same subject replace each other."""

    service: str
    failure_domain: str
    spot: bool


@dataclass(frozen=True, slots=True)
class LastOrder:
    """The last order for a subject.

    Attributes:
      count: Number of endpoints ordered.
      repeat_from_s: Time from which the order may be repeated.
      accepted: Whether the platform accepted it.
    """

    count: int
    repeat_from_s: float
    accepted: bool


@dataclass(frozen=True, slots=True)
class LargestList:
    """The largest number of listed endpoints of a service so far, and when it was first seen."""

    count: int
    since_s: float


class Scaler:
    """Orders endpoints of all services that have scaling limits.

    Attributes:
      orders: Number of orders that the platform accepted from this node.
      refused: Number of orders that failed.
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        sharing: UsageSharing,
        platform: DutyPlatform,
        registry: EndpointRegistry,
        services: Callable[[], dict[str, Service]],
        clock: Callable[[], float] = now_s,
        policy: object = SpotFirst(),
    ) -> None:
        """Start without orders.

        Args:
          services: Returns the services of the configuration in force.
          policy: Scaling policy; see springbridge.duties.scaling.
        """
        self._keeper = keeper
        self._sharing = sharing
        self._platform = platform
        self._registry = registry
        self._services = services
        self._clock = clock
        self._policy = policy
        self._last_orders: dict[Subject, LastOrder] = {}
        self._initial_counts: dict[str, int] = {}
        self._largest_lists: dict[str, LargestList] = {}
        self._domains: dict[str, set[str]] = {}
        self._taken_s = clock()
        self.orders = 0
        self.refused = 0

    def reset(self) -> None:
        """Reset after the lease was acquired: the orders of earlier holders are not known here."""
        self._last_orders = {}
        self._initial_counts = {}
        self._largest_lists = {}
        self._taken_s = self._clock()

    async def step(self) -> None:
        """Place the orders that are due for all services."""
        if self._keeper.credentials is None or self._registry.age_s() > MAX_LIST_AGE_S:
            return
        for service in self._services().values():
            if service.scaling is not None:
                await self._scale(service.name, service.scaling)

    async def _scale(self, service: str, limits: ScalingLimits) -> None:
        """Place the orders that are due for one service."""
        domains = self._listed(service)
        if not domains or not self._is_list_complete(service, domains):
            return
        load = self._load(service, domains)
        for name, wanted in scaling.desired_endpoints(self._policy, domains, load, limits).items():
            listed = domains[name]
            on_demand = Subject(service, name, spot=False)
            await self._order(on_demand, wanted.on_demand, listed.on_demand, load)
            if limits.spot_price is not None:
                spot = Subject(service, name, spot=True)
                await self._order(spot, wanted.spot, listed.spot, load)

    def _listed(self, service: str) -> dict[str, ListedEndpoints]:
        """Count the listed endpoints that are not leaving, by failure domain."""
        entries = [entry for entry in self._registry.entries() if entry.service == service]
        staying = Counter(
            (state.entry.failure_domain, state.entry.spot)
            for state in self._registry.staying()
            if state.entry.service == service
        )
        names = self._domains.setdefault(service, set())
        # A failure domain that has lost all of its endpoints still gets orders.
        names.update(entry.failure_domain for entry in entries)
        return {
            name: ListedEndpoints(staying[name, False], staying[name, True])
            for name in sorted(names)
        }

    def _is_list_complete(self, service: str, domains: dict[str, ListedEndpoints]) -> bool:
        """Return whether the list is known to be complete since this node acquired the lease."""
        if service in self._initial_counts:
            return True
        count = sum(each.on_demand + each.spot for each in domains.values())
        known = self._largest_lists.get(service)
        if known is None or count > known.count:
            self._largest_lists[service] = LargestList(count, self._clock())
            return False
        return self._clock() >= known.since_s + LIST_COMPLETE_AFTER_S

    def _load(self, service: str, domains: dict[str, ListedEndpoints]) -> Load:
        """Return the load of a service, as the number of endpoints that it keeps busy."""
        count = sum(each.on_demand + each.spot for each in domains.values())
        self._initial_counts.setdefault(service, count)
        demand = self._sharing.demand
        speed = self._registry.mean_reading_speed(service)
        return Load(
            now=demand.peak_per_s(service, CURRENT_LOAD_S) / speed,
            peak=demand.peak_per_s(service, KEPT_S) / speed,
            known_for_s=demand.known_for_s(service),
            initial_endpoints=self._initial_counts[service],
        )

    async def _order(self, subject: Subject, count: int, listed: int, load: Load) -> None:
        """Place an order if it is due and the lease allows the call."""
        if not self._is_due(subject, count, listed):
            return
        with self._keeper.credentials_for_call(DUTY_CALL_S) as credentials:
            if credentials is None:
                return
            order = EndpointOrder(subject.service, subject.failure_domain, subject.spot, count)
            result = await self._platform.order_endpoints(credentials, order)
        self._note(subject, count, listed, load, result)

    def _is_due(self, subject: Subject, count: int, listed: int) -> bool:
        """Return whether an order is due now."""
        now_s, given = self._clock(), self._last_orders.get(subject)
        if count < listed and now_s < self._taken_s + NO_REDUCTION_S:
            return False
        if given is None:
            return count != listed
        if given.count != count and given.accepted:
            return True
        return now_s >= given.repeat_from_s and not (given.accepted and listed >= count)

    def _note(
        self,
        subject: Subject,
        count: int,
        listed: int,
        load: Load,
        result: Result[None, Problem],
    ) -> None:
        """Log an order, and record when it may be repeated."""
        refused = result.failure().detail if isinstance(result, Failure) else ""
        self.refused += bool(refused)
        self.orders += not refused
        again_s = self._clock() + (RETRY_S if refused else REORDER_S)
        self._last_orders[subject] = LastOrder(count, again_s, accepted=not refused)
        logs.event(
            "scaling.ordered",
            service=subject.service,
            failure_domain=subject.failure_domain,
            spot=subject.spot,
            count=count,
            listed=listed,
            busy_now=round(load.now, 1),
            busy_peak=round(load.peak, 1),
            refused=refused,
        )
