"""Why a request is not read to its end, or a connection is closed, and what the client is told."""

from enum import Enum

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.retry_after import without_room


class RefusalKind(Enum):
    """What a client did, or what the instance lacked; the values are logged and counted.

    HEAD_TOO_LARGE, HEAD_MALFORMED, BODY_TOO_LARGE, BODY_MALFORMED: What it sent breaks a limit, or
    is not HTTP/1. TOO_SLOW: A head or a body did not arrive in time. NO_ROOM: All clients together
    hold as many bytes as they may. SENT_AHEAD: It sent more behind an unanswered request than is
    kept. UNREAD_ANSWER: It does not read its answer. NO_CONNECTION: The listener has as many
    connections as it accepts; one that waited, or the new one, was closed. NO_DESCRIPTOR: The
    process has no descriptor left.
    """

    HEAD_TOO_LARGE = "head too large"
    HEAD_MALFORMED = "head malformed"
    BODY_TOO_LARGE = "body too large"
    BODY_MALFORMED = "body malformed"
    TOO_SLOW = "too slow"
    NO_ROOM = "no room"
    SENT_AHEAD = "sent ahead"
    UNREAD_ANSWER = "answer not read"
    NO_CONNECTION = "no connection left"
    NO_DESCRIPTOR = "no descriptor left"


# Codes of the answers; a kind without one ends its connection without an answer. None of these
# requests was sent on, so each answer may promise that its request was not run.
CODES = {
    RefusalKind.HEAD_TOO_LARGE: Code.HEAD_TOO_LARGE,
    RefusalKind.HEAD_MALFORMED: Code.REQUEST_MALFORMED,
    RefusalKind.BODY_TOO_LARGE: Code.BODY_TOO_LARGE,
    RefusalKind.BODY_MALFORMED: Code.REQUEST_MALFORMED,
    RefusalKind.TOO_SLOW: Code.SENDER_TOO_SLOW,
    RefusalKind.NO_ROOM: Code.NODE_FULL,
}


class RefusedError(Exception):
    """What arrives on a connection is not read any further.

    Attributes:
      kind: Why.
    """

    def __init__(self, kind: RefusalKind) -> None:
        """Keep why."""
        super().__init__(kind.value)
        self.kind = kind


class ConnectionGoneError(Exception):
    """The client has closed its connection, or it was closed without an answer."""


def problem_of(kind: RefusalKind) -> Problem:
    """Return the problem that a client is answered with for a kind that has a code."""
    retry_after_s = without_room() if kind is RefusalKind.NO_ROOM else None
    return Problem(CODES[kind], kind.value, retry_after_s=retry_after_s)
