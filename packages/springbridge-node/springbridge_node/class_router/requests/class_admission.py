"""Admission by class: what a node checks of a request's headers before it reads the body.

Callers name a class here, and the table says which customers have a share of it. The gateway admits
by host and path (springbridge.routing.admission), so the two have no rule in common.
"""

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
class Permit:
    """What a customer may use: a class, its share of it, and where its data may be handled."""

    customer: Customer
    request_class: RequestClass
    share: Share
    failure_domains: frozenset[str]


@dataclass(frozen=True)
class Admitted(Permit):
    """A request that may be read, with what its headers ask for.

    Attributes:
      request_id: The caller's id, or None if it sent none.
      max_wait_s: Longest wait, the class's or a shorter one that the caller asked for.
    """

    request_id: RequestId | None
    max_wait_s: float
    repeatable: bool
    affinity: str

    @property
    def owner(self) -> str:
        """Return customer and class, which a retry has to share."""
        return f"{self.customer.name}/{self.request_class.name}"


def admit(table: Table, headers: Mapping[str, str]) -> Result[Admitted, Problem]:
    """Decide whether a request's body is worth reading.

    Inputs: the table in force and the request's headers.
    Outcome: whose request it is and what it asks for, or the first reason to refuse it: its key,
    its class, no failure domain in common, a malformed header.
    Why: a refusal before the body costs the caller no upload and the node no memory. Whether this
    node stands in one of the failure domains is left to the handler, which names other nodes.
    """
    permit = permit_of(table, headers, headers.get(CLASS_HEADER, ""))
    return permit.bind(lambda found: _with_options(found, headers))


def permit_of(table: Table, headers: Mapping[str, str], class_name: str) -> Result[Permit, Problem]:
    """Return what the customer whose key the headers carry may use of a class."""
    return _identify(table, headers).bind(lambda found: _permit(table, found, class_name))


def key_hash(key: str) -> str:
    """Return the digest of a key as the table keeps it."""
    return hashlib.sha256(key.encode()).hexdigest()


def _identify(table: Table, headers: Mapping[str, str]) -> Result[Customer, Problem]:
    """Return the customer whose key a request carries."""
    given = headers.get("Authorization", "")
    name = table.keys.get(key_hash(given.removeprefix(BEARER))) if given else None
    if name is None:
        return Failure(Problem(Code.UNKNOWN_KEY, source="Authorization"))
    return Success(table.customers[name])


def _permit(table: Table, customer: Customer, class_name: str) -> Result[Permit, Problem]:
    """Return what a customer may use of a class."""
    request_class = table.classes.get(class_name)
    if request_class is None:
        return Failure(Problem(Code.UNKNOWN_CLASS, source=CLASS_HEADER))
    share = table.shares.get((customer.name, class_name))
    if share is None:
        return Failure(Problem(Code.CLASS_NOT_ALLOWED, source=class_name))
    allowed = allowed_failure_domains(request_class, customer)
    return allowed.map(lambda domains: Permit(customer, request_class, share, domains))


def _with_options(permit: Permit, headers: Mapping[str, str]) -> Result[Admitted, Problem]:
    """Add the headers that a caller may leave out; the first malformed one is reported."""
    request_class = permit.request_class
    return Result.do(
        Admitted(
            permit.customer,
            request_class,
            permit.share,
            permit.failure_domains,
            request_id,
            max_wait_s,
            request_class.repeatable and repeatable,
            headers.get(AFFINITY_HEADER, ""),
        )
        for request_id in _read_id(headers)
        for repeatable in _read_repeatable(headers, request_class)
        for max_wait_s in _read_max_wait_s(headers, request_class)
    )


def _read_id(headers: Mapping[str, str]) -> Result[RequestId | None, Problem]:
    return parse(headers[ID_HEADER]) if ID_HEADER in headers else Success(None)


def _read_repeatable(
    headers: Mapping[str, str], request_class: RequestClass
) -> Result[bool, Problem]:
    text = headers.get(REPEATABLE_HEADER, "yes" if request_class.repeatable else "no")
    if text not in ("yes", "no"):
        return Failure(Problem(Code.HEADER_MALFORMED, "takes yes or no", REPEATABLE_HEADER))
    return Success(text == "yes")


def _read_max_wait_s(
    headers: Mapping[str, str], request_class: RequestClass
) -> Result[float, Problem]:
    """Return the longest wait in seconds; a caller can only shorten that of its class."""
    text = headers.get(WAIT_HEADER, str(request_class.max_wait_ms))
    if not text.isdecimal() or len(text) > WAIT_DIGITS:
        return Failure(Problem(Code.HEADER_MALFORMED, "takes milliseconds", WAIT_HEADER))
    return Success(min(int(text), request_class.max_wait_ms) / 1000)
