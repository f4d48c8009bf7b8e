"""Placement: which endpoints may a request use?

Decided: the endpoints that a request of a class and customer may be sent to. Inputs: the failure
domains that the operators' table allows to the class and to the customer, and each endpoint's
failure domain and target (model or service). Outcome: the failure domains that both allow, or
NO_ALLOWED_PLACE; and in these, the endpoints whose target serves the class. Why: the failure
domains say where a customer's data may be handled, so the rule only narrows, never widens. There
are no constants.
"""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from springbridge.classes.entities import Customer, Endpoint, RequestClass, Table
from springbridge.codes import Code
from springbridge.problems import Problem


def allowed_failure_domains(
    request_class: RequestClass, customer: Customer
) -> Result[frozenset[str], Problem]:
    """Return the failure domains that class and customer both allow.

    Returns:
      The failure domains, or NO_ALLOWED_PLACE where they have none in common.
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
