"""Where a request may run: the places that its class and its customer both allow."""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from springbridge.classes.entities import Customer, Endpoint, RequestClass, Table
from springbridge.codes import Code
from springbridge.problems import Problem


def allowed_failure_domains(
    request_class: RequestClass, customer: Customer
) -> Result[frozenset[str], Problem]:
    """Return the places that class and customer share.

    Returns:
      The places, or NO_ALLOWED_PLACE where there is none.
    """
    failure_domains = request_class.failure_domains & customer.failure_domains
    if not failure_domains:
        return Failure(Problem(Code.NO_ALLOWED_PLACE, source=request_class.name))
    return Success(failure_domains)


def allowed_endpoints(
    table: Table, request_class: RequestClass, failure_domains: Iterable[str]
) -> tuple[Endpoint, ...]:
    """Return the endpoints in the given places that serve the class, ordered by name."""
    inside = frozenset(failure_domains)
    found = [
        endpoint
        for endpoint in table.endpoints.values()
        if endpoint.target == request_class.target and endpoint.failure_domain in inside
    ]
    return tuple(sorted(found, key=lambda endpoint: endpoint.name))
