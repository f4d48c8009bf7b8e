"""Request ids; an id may name its home, the only node that may run a non-repeatable request.

The format is ``<home incarnation>~<issued>~<unique>``. The caller gets the first two parts as a
prefix with the list of addresses and adds the unique part. Issued is when the list was sent, in
whole seconds since 1970. An id without a home contains no ``~``.
"""

import re
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from springbridge.codes import Code
from springbridge.problems import Problem

SEPARATOR = "~"
# One part of an id: at most 64 characters that need no escaping in a header.
PART = r"[A-Za-z0-9._-]{1,64}"
HOMED = re.compile(rf"({PART})~(\d{{1,12}})~({PART})\Z")
HOMELESS = re.compile(rf"{PART}\Z")


@dataclass(frozen=True)
class RequestId:
    """A request id.

    Attributes:
      text: The id as the caller sent it.
      home: Incarnation of the node that may run the request; empty if the id names none.
      issued_s: When its prefix was issued, in seconds since 1970; 0 if the id names no home.
    """

    text: str
    home: str
    issued_s: int


def prefix(home: str, issued_s: float) -> str:
    """Return the prefix to which a caller appends the unique part."""
    return f"{home}{SEPARATOR}{int(issued_s)}{SEPARATOR}"


def parse(text: str) -> Result[RequestId, Problem]:
    """Parse an id that a caller sent; a malformed one is REQUEST_ID_MALFORMED."""
    homed = HOMED.match(text)
    if homed is not None:
        return Success(RequestId(text, homed[1], int(homed[2])))
    if HOMELESS.match(text) is not None:
        return Success(RequestId(text, "", 0))
    return Failure(Problem(Code.REQUEST_ID_MALFORMED, source="Springbridge-Request-Id"))
