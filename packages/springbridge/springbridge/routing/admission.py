"""Admission: maps a request to its route, customer and service, or refuses it.

Decides whether the operators' configuration allows a request, and with which priority and deadline.
Inputs: the newest configuration; the request's host, path and key, its time of arrival and the
caller's timeout in seconds. Its size is not checked here: the connection's reader enforces
CallerLimits.
Result: an Admitted, or a Problem if there is no configuration yet or the host, path or key is
unknown.
A request is refused before any resources are spent on it. The customer's priority overrides the
route's, and the shorter of the caller's and the route's timeout sets the deadline.
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

# Connections to an endpoint whose service the configuration does not describe. The minimum.
UNKNOWN_SERVICE_MAX_CONNECTIONS = 1


@dataclass(frozen=True)
class RouteIndex:
    """A configuration indexed for lookups by host and by key.

    Attributes:
      routes_by_host: The routes of each host (in lower case), longest path prefix first.
      customers_by_key: The customer that owns each key.
    """

    configuration: Configuration
    routes_by_host: dict[str, tuple[Route, ...]]
    customers_by_key: dict[str, CustomerKeys]

    @classmethod
    def from_config(cls, configuration: Configuration) -> "RouteIndex":
        """Build the index of a configuration."""
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
    """Return the host's route with the longest matching path prefix, or None if none matches.

    Args:
      host: The host as sent by the caller; case and port are ignored.
    """
    name = host.partition(":")[0].lower()
    for route in index.routes_by_host.get(name, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def pick_service(route: Route, request_id: str) -> str:
    """Return the service for a request, chosen by weight.

    The choice depends only on the request id, so every try of a request gets the same service.
    """
    if len(route.services) == 1:
        return route.services[0].name
    total = sum(service.weight for service in route.services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_SPAN * total
    for service in route.services:
        point -= service.weight
        if point < 0:
            return service.name
    # Rounding errors can leave the point at the end of the last share.
    return next(service.name for service in reversed(route.services) if service.weight > 0)


def admit(
    index: RouteIndex | None,
    arrival: Arrival,
    config_retry_after_s: float,
) -> Result[Admitted, Problem]:
    """Return the admitted request, or the problem for which it is refused.

    Args:
      index: The newest configuration, or None while the instance has none.
      config_retry_after_s: Retry-After in seconds if there is no configuration.
    """
    if index is None:
        detail = "no configuration yet"
        return Failure(Problem(Code.CONFIG_NOT_FRESH, detail, retry_after_s=config_retry_after_s))
    route = find_route(index, arrival.host, arrival.path)
    if route is None:
        return Failure(Problem(Code.UNKNOWN_PATH, "no route"))
    customer = index.customers_by_key.get(arrival.key) if arrival.key else None
    if customer is None and _needs_key(index, route):
        return Failure(Problem(Code.UNKNOWN_KEY, "no customer has this key"))
    return Success(
        Admitted(
            arrival=arrival,
            route=route,
            service=_service_or_default(index, route, arrival.request_id),
            customer=customer.name if customer else "",
            priority=_priority(route, customer),
            version=index.configuration.version,
            deadline_s=_deadline_s(route, arrival),
        )
    )


def _needs_key(index: RouteIndex, route: Route) -> bool:
    """Return whether the request needs a customer's key.

    Without customers no key is required, unless the operators keep an (empty) list of customers.
    """
    configuration = index.configuration
    return route.needs_key and (configuration.keeps_customers or bool(configuration.customers))


def _service_or_default(index: RouteIndex, route: Route, request_id: str) -> Service:
    """Return the service for a request, with defaults if the configuration does not describe it."""
    name = pick_service(route, request_id)
    service = index.configuration.services.get(name)
    return service or Service(name, max_connections=UNKNOWN_SERVICE_MAX_CONNECTIONS)


def _priority(route: Route, customer: CustomerKeys | None) -> int:
    """Return the priority of a request: the customer's if it has one, else the route's."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _deadline_s(route: Route, arrival: Arrival) -> float:
    """Return the request's deadline in seconds of the monotonic clock."""
    timeout_s = route.timeout_s
    if arrival.caller_timeout_s is not None:
        timeout_s = min(timeout_s, arrival.caller_timeout_s)
    return arrival.arrived_s + timeout_s
