"""Admission: which route, customer and service a request belongs to, or why it is refused.

Decided: whether the operators' configuration allows a request, and under which priority and
deadline.
Inputs: the newest configuration; the request's host, path and key, when it arrived and how many
seconds the caller waits. Its size is not checked here: the reader of the connection holds callers
to CallerLimits.
Outcome: an Admitted, or a Problem for no configuration, an unknown host or path, or an unknown key.
Why: a request is refused before anything is spent on it; the customer's priority outranks the
route's, and the shorter patience of caller and route sets the deadline.
"""

from dataclasses import dataclass

import xxhash
from returns.result import Failure, Result, Success

from springbridge.codes import Code
from springbridge.hashing import HASH_SPAN
from springbridge.problems import Problem
from springbridge.routing.records import (
    Admitted,
    Arrival,
    Configuration,
    CustomerKeys,
    Route,
    Service,
)

# Connections to an endpoint whose service the configuration does not describe. The least.
CONNECTIONS_OF_UNKNOWN_SERVICE = 1


@dataclass(frozen=True)
class RouteIndex:
    """A configuration arranged for lookups.

    Attributes:
      routes_by_host: For each host, in lower case, its routes, the longest path prefix first.
      customers_by_key: The customer of each key.
    """

    configuration: Configuration
    routes_by_host: dict[str, tuple[Route, ...]]
    customers_by_key: dict[str, CustomerKeys]

    @classmethod
    def from_config(cls, configuration: Configuration) -> "RouteIndex":
        """Arrange a configuration."""
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        by_key = {key: customer for customer in configuration.customers for key in customer.keys}
        return cls(configuration, ordered, by_key)


def find_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix of the path, or None.

    Args:
      host: As the caller sent it; case and port do not matter.
    """
    name = host.partition(":")[0].lower()
    for route in index.routes_by_host.get(name, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def pick_service(route: Route, request_id: str) -> str:
    """Return the service for a request: by weight, and the same at each try of one request."""
    if len(route.services) == 1:
        return route.services[0].name
    total = sum(service.weight for service in route.services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_SPAN * total
    for service in route.services:
        point -= service.weight
        if point < 0:
            return service.name
    # Rounding left the point at the end of the last share.
    return next(service.name for service in reversed(route.services) if service.weight > 0)


def admit(
    index: RouteIndex | None,
    arrival: Arrival,
    configuration_due_s: float,
) -> Result[Admitted, Problem]:
    """Return the request as the configuration allows it, or why it is refused.

    Args:
      index: The newest configuration, or None while the instance has none.
      configuration_due_s: When to come back in that case, in seconds from now.
    """
    if index is None:
        detail = "no configuration yet"
        return Failure(Problem(Code.CONFIG_NOT_FRESH, detail, retry_after_s=configuration_due_s))
    route = find_route(index, arrival.host, arrival.path)
    if route is None:
        return Failure(Problem(Code.UNKNOWN_PATH, "no route"))
    customer = index.customers_by_key.get(arrival.key) if arrival.key else None
    if customer is None and _needs_customer(index, route):
        return Failure(Problem(Code.UNKNOWN_KEY, "no customer has this key"))
    return Success(
        Admitted(
            arrival=arrival,
            route=route,
            service=_service(index, route, arrival.request_id),
            customer=customer.name if customer else "",
            priority=_priority(route, customer),
            version=index.configuration.version,
            deadline_s=_deadline_s(route, arrival),
        )
    )


def _needs_customer(index: RouteIndex, route: Route) -> bool:
    """Return whether a caller has to show a key, which needs operators that keep customers."""
    configuration = index.configuration
    return route.needs_key and (configuration.keeps_customers or bool(configuration.customers))


def _service(index: RouteIndex, route: Route, request_id: str) -> Service:
    """Return the service for a request, with defaults where the configuration does not name it."""
    name = pick_service(route, request_id)
    service = index.configuration.services.get(name)
    return service or Service(name, max_connections=CONNECTIONS_OF_UNKNOWN_SERVICE)


def _priority(route: Route, customer: CustomerKeys | None) -> int:
    """Return the rank of a request: the customer's outranks the route's."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _deadline_s(route: Route, arrival: Arrival) -> float:
    """Return the moment at which a request is given up, in seconds of the monotonic clock."""
    patience_s = route.timeout_s
    if arrival.patience_s is not None:
        patience_s = min(patience_s, arrival.patience_s)
    return arrival.arrived_s + patience_s
