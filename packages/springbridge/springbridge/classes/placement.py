"""Placement: selects the endpoints that a request may use.

Decides which endpoints a request of a class and customer may be sent to.
Inputs: the failure domains that the operators' table allows to the class and to the customer, and
each endpoint's failure domain and target (model or service).
Result: the failure domains that both allow, or NO_ALLOWED_PLACE if there are none; then the
endpoints in them whose target serves the class.
The failure domains say where a customer's data may be processed, so a class or a customer can only
narrow the other's choice, never widen it.
"""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from springbridge.classes.entities import Customer, Endpoint, RequestClass, Table
from springbridge.codes import Code
from springbridge.problems import Problem


def allowed_failure_domains(
    request_class: RequestClass, customer: Customer
) -> Result[frozenset[str], Problem]:
    """Return the failure domains that both the class and the customer allow.

    Returns:
      The failure domains, or NO_ALLOWED_PLACE if the two have none in common.
    """
    failure_domains = request_class.failure_domains & customer.failure_domains
    if not failure_domains:
        return Failure(Problem(Code.NO_ALLOWED_PLACE, source=request_class.name))
    return Success(failure_domains)


def allowed_endpoints(
    table: Table, request_class: RequestClass, failure_domains: Iterable[str]
) -> tuple[Endpoint, ...]:
    """Return the endpoints in the failure domains that serve the class, ordered by name."""
    inside = frozenset(failure_domains)
    found = [
        endpoint
        for endpoint in table.endpoints.values()
        if endpoint.target == request_class.target and endpoint.failure_domain in inside
    ]
    return tuple(sorted(found, key=lambda endpoint: endpoint.name))
