"""Where a request may run: the places that its class and its customer both allow."""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from springbridge.classes.entities import Customer, Engine, RequestClass, Table
from springbridge.codes import Code
from springbridge.problems import Problem


def allowed_places(
    request_class: RequestClass, customer: Customer
) -> Result[frozenset[str], Problem]:
    """Return the places that class and customer share.

    Returns:
      The places, or NO_ALLOWED_PLACE where there is none.
    """
    places = request_class.places & customer.places
    if not places:
        return Failure(Problem(Code.NO_ALLOWED_PLACE, source=request_class.name))
    return Success(places)


def allowed_engines(
    table: Table, request_class: RequestClass, places: Iterable[str]
) -> tuple[Engine, ...]:
    """Return the engines in the given places that serve the class, ordered by name."""
    inside = frozenset(places)
    found = [
        engine
        for engine in table.engines.values()
        if engine.target == request_class.target and engine.place in inside
    ]
    return tuple(sorted(found, key=lambda engine: engine.name))
