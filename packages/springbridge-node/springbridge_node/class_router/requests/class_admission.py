"""What a node checks of a request before it reads the body."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from springbridge.classes.entities import Customer, RequestClass, Share, Table
from springbridge.classes.placement import allowed_failure_domains
from springbridge.classes.request_ids import RequestId, parse
from springbridge.codes import Code
from springbridge.problems import Problem

CLASS_HEADER = "Springbridge-Class"
ID_HEADER = "Springbridge-Request-Id"
WAIT_HEADER = "Springbridge-Max-Wait-Ms"
REPEATABLE_HEADER = "Springbridge-Repeatable"
AFFINITY_HEADER = "Springbridge-Affinity"
BEARER = "Bearer "
# Most digits of a wait in milliseconds (11 days), so that int() is never given a huge number.
WAIT_DIGITS = 9


@dataclass(frozen=True)
class Admitted:
    """A request that may be read: whose it is, of which class, and where it may run.

    Attributes:
      request_id: The caller's id, or None if it sent none.
      max_wait_s: Longest wait, the class's or a shorter one that the caller asked for.
    """

    customer: Customer
    request_class: RequestClass
    share: Share
    failure_domains: frozenset[str]
    request_id: RequestId | None
    max_wait_s: float
    repeatable: bool
    affinity: str

    @property
    def owner(self) -> str:
        """Return customer and class, which a retry has to share."""
        return f"{self.customer.name}/{self.request_class.name}"


def key_hash(key: str) -> str:
    """Return the digest of a key as the table keeps it."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(table: Table, headers: Mapping[str, str]) -> Result[Customer, Problem]:
    """Return the customer whose key a request carries."""
    given = headers.get("Authorization", "")
    name = table.keys.get(key_hash(given.removeprefix(BEARER))) if given else None
    if name is None:
        return Failure(Problem(Code.UNKNOWN_KEY, source="Authorization"))
    return Success(table.customers[name])


def find_class(
    table: Table, customer: Customer, name: str
) -> Result[tuple[RequestClass, Share], Problem]:
    """Return a class that the customer may use."""
    request_class = table.classes.get(name)
    if request_class is None:
        return Failure(Problem(Code.UNKNOWN_CLASS, source=CLASS_HEADER))
    share = table.shares.get((customer.name, name))
    if share is None:
        return Failure(Problem(Code.CLASS_NOT_ALLOWED, source=name))
    return Success((request_class, share))


def admit(table: Table, headers: Mapping[str, str]) -> Result[Admitted, Problem]:
    """Check a request's headers; whether this node's place is allowed is for the caller."""
    match identify(table, headers):
        case Failure(problem):
            return Failure(problem)
        case Success(customer):
            pass
    match find_class(table, customer, headers.get(CLASS_HEADER, "")):
        case Failure(problem):
            return Failure(problem)
        case Success((request_class, share)):
            pass
    match allowed_failure_domains(request_class, customer):
        case Failure(problem):
            return Failure(problem)
        case Success(failure_domains):
            pass
    return _read_options(headers, customer, request_class, share, failure_domains)


def _read_options(
    headers: Mapping[str, str],
    customer: Customer,
    request_class: RequestClass,
    share: Share,
    failure_domains: frozenset[str],
) -> Result[Admitted, Problem]:
    """Read the headers that a caller may leave out."""
    request_id = None
    if ID_HEADER in headers:
        match parse(headers[ID_HEADER]):
            case Failure(problem):
                return Failure(problem)
            case Success(request_id):
                pass
    repeatable_text = headers.get(REPEATABLE_HEADER, "yes" if request_class.repeatable else "no")
    if repeatable_text not in ("yes", "no"):
        return Failure(Problem(Code.HEADER_MALFORMED, "takes yes or no", REPEATABLE_HEADER))
    wait_text = headers.get(WAIT_HEADER, str(request_class.max_wait_ms))
    if not wait_text.isdecimal() or len(wait_text) > WAIT_DIGITS:
        return Failure(Problem(Code.HEADER_MALFORMED, "takes milliseconds", WAIT_HEADER))
    repeatable = request_class.repeatable and repeatable_text == "yes"
    max_wait_s = min(int(wait_text), request_class.max_wait_ms) / 1000
    affinity = headers.get(AFFINITY_HEADER, "")
    admitted = Admitted(
        customer,
        request_class,
        share,
        failure_domains,
        request_id,
        max_wait_s,
        repeatable,
        affinity,
    )
    return Success(admitted)
