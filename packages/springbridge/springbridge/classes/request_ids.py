"""Request ids that name their home, the only node that may run a request that is not repeatable.

An id reads ``<home incarnation>~<issued>~<unique>``. The first two parts come with the address
answer as a prefix; the caller adds the unique part. Issued is the time of the address answer in
whole seconds since 1970. An id without a home has no ``~`` in it.
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
      home: Incarnation of the node that may run the request; empty where the id names none.
      issued_s: Seconds since 1970; 0 where the id names no home.
    """

    text: str
    home: str
    issued_s: int


def prefix(home: str, issued_s: float) -> str:
    """Return the prefix that a caller puts before the unique part."""
    return f"{home}{SEPARATOR}{int(issued_s)}{SEPARATOR}"


def parse(text: str) -> Result[RequestId, Problem]:
    """Return the id that a caller sent, or REQUEST_ID_MALFORMED."""
    homed = HOMED.match(text)
    if homed is not None:
        return Success(RequestId(text, homed[1], int(homed[2])))
    if HOMELESS.match(text) is not None:
        return Success(RequestId(text, "", 0))
    return Failure(Problem(Code.REQUEST_ID_MALFORMED, source="Springbridge-Request-Id"))
