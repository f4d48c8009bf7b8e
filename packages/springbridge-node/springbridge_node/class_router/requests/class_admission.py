"""Admission by class: checks a request's headers before its body is read.

Callers name a class in a header, and the operators' table says which customers have a share of it.
The gateway admits by host and path (springbridge.routing.admission), so they share no rule.
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
# Maximum digits of a wait in milliseconds (11 days), so that int() never parses a huge number.
WAIT_DIGITS = 9


@dataclass(frozen=True)
class Permit:
    """A customer's right to use a class: its share, and the failure domains for its data."""

    customer: Customer
    request_class: RequestClass
    share: Share
    failure_domains: frozenset[str]


@dataclass(frozen=True)
class Admitted(Permit):
    """A request whose headers were accepted, with the options that they set.

    Attributes:
      request_id: The caller's id, or None if it sent none.
      max_wait_s: Longest wait for a slot: the class's, or a shorter one set by the caller.
    """

    request_id: RequestId | None
    max_wait_s: float
    repeatable: bool
    affinity: str

    @property
    def owner(self) -> str:
        """Return customer and class; a retry must come with the same ones."""
        return f"{self.customer.name}/{self.request_class.name}"


def admit(table: Table, headers: Mapping[str, str]) -> Result[Admitted, Problem]:
    """Decide by its headers whether a request's body is read.

    Inputs: the table in force and the request's headers.
    Outcome: customer, class and options, or the first reason to refuse the request: its key, its
    class, no failure domain in common, a malformed header.
    Why: a refusal before the body costs the caller no upload and the node no memory. Whether this
    node is in one of the failure domains is checked by the handler, which names other nodes.
    """
    permit = permit_of(table, headers, headers.get(CLASS_HEADER, ""))
    return permit.bind(lambda found: _with_options(found, headers))


def permit_of(table: Table, headers: Mapping[str, str], class_name: str) -> Result[Permit, Problem]:
    """Return the permit for a class of the customer whose key is in the headers."""
    return _identify(table, headers).bind(lambda found: _permit(table, found, class_name))


def key_hash(key: str) -> str:
    """Return the SHA-256 digest of a key in hex, as stored in the table."""
    return hashlib.sha256(key.encode()).hexdigest()


def _identify(table: Table, headers: Mapping[str, str]) -> Result[Customer, Problem]:
    """Return the customer whose key is in the headers."""
    given = headers.get("Authorization", "")
    name = table.keys.get(key_hash(given.removeprefix(BEARER))) if given else None
    if name is None:
        return Failure(Problem(Code.UNKNOWN_KEY, source="Authorization"))
    return Success(table.customers[name])


def _permit(table: Table, customer: Customer, class_name: str) -> Result[Permit, Problem]:
    request_class = table.classes.get(class_name)
    if request_class is None:
        return Failure(Problem(Code.UNKNOWN_CLASS, source=CLASS_HEADER))
    share = table.shares.get((customer.name, class_name))
    if share is None:
        return Failure(Problem(Code.CLASS_NOT_ALLOWED, source=class_name))
    allowed = allowed_failure_domains(request_class, customer)
    return allowed.map(lambda domains: Permit(customer, request_class, share, domains))


def _with_options(permit: Permit, headers: Mapping[str, str]) -> Result[Admitted, Problem]:
    """Add the values of the optional headers; the first malformed one is reported."""
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
