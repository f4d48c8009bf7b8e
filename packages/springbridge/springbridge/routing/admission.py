"""Admission: which route, customer and service a request belongs to, or why it is refused."""

from dataclasses import dataclass

import xxhash
from returns.result import Failure, Result, Success

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.records import (
    Admitted,
    Arrival,
    Configuration,
    CustomerKeys,
    Route,
    Service,
)

HASH_SPAN = 2.0**64


@dataclass(frozen=True)
class RouteIndex:
    """A configuration arranged for look-ups.

    Attributes:
      routes_by_host: For each host its routes, the longest path prefix first.
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
    """Return the route with the longest prefix of the path, or None."""
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
    return next(service.name for service in reversed(route.services) if service.weight > 0)


def admit(
    index: RouteIndex | None,
    arrival: Arrival,
    configuration_due_s: float,
) -> Result[Admitted, Problem]:
    """Return the request as the configuration allows it, or why it is refused.

    Args:
      index: The newest configuration, or None while the node knows none.
      configuration_due_s: When to come back in that case, in seconds from now.
    """
    if index is None:
        detail = "no configuration yet"
        return Failure(Problem(Code.CONFIG_NOT_FRESH, detail, retry_after_s=configuration_due_s))
    route = find_route(index, arrival.host, arrival.path)
    if route is None:
        return Failure(Problem(Code.UNKNOWN_PATH, "no route"))
    customer = index.customers_by_key.get(arrival.key) if arrival.key else None
    if customer is None and route.needs_key and index.configuration.customers:
        return Failure(Problem(Code.UNKNOWN_KEY, "no customer has this key"))
    name = pick_service(route, arrival.request_id)
    service = index.configuration.services.get(name) or Service(name, "/", 1)
    patience_s = route.timeout_s
    if arrival.patience_s is not None:
        patience_s = min(patience_s, arrival.patience_s)
    return Success(
        Admitted(
            arrival=arrival,
            route=route,
            service=service,
            customer=customer.name if customer else "",
            priority=_priority(route, customer),
            version=index.configuration.version,
            deadline_s=arrival.arrived_s + patience_s,
        )
    )


def _priority(route: Route, customer: CustomerKeys | None) -> int:
    """Return the rank of a request: the customer's outranks the route's."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority
