"""How an endpoint's answer ended: the one statement that relay, retries, logs and metrics read.

An answer is whole, or it was broken off. Where its length or its chunks mark the end, that follows
from the bytes. Where only the connection marks it, other evidence has to tell.
"""

from enum import Enum


class AnswerEnd(Enum):
    """How an answer ended, and by which evidence; the values are logged and counted.

    LENGTH: It has the length that it states. LAST_CHUNK: Its last chunk arrived. CLOSED: It states
    no length, and the connection was closed in order. RUN_GOES_ON: The same, and the run of the
    endpoint that sent it answered a health check after that, so the end was its own. OTHER_RUN: The
    same, and another run answered at the address. REFUSES: The same, and the endpoint refuses
    connections: its run has ended. SILENT: The same, and nobody answered in time. INSIDE_EVENT: The
    connection was closed in order within an event. UNMARKED: It was closed by a peer whose build
    also ends so when its own process does. EARLY: The connection was closed in order before the
    stated end, or before a head. RESET: The connection was reset, or the other host stopped
    responding. ABORTED: This instance closed the connection. INVALID: What arrived is not a valid
    answer. OVERSIZED: More arrived than an instance takes of it. UNREAD: This instance needed no
    more of it, and has closed the connection.
    """

    LENGTH = "length"
    LAST_CHUNK = "last chunk"
    CLOSED = "closed"
    RUN_GOES_ON = "closed, run goes on"
    OTHER_RUN = "closed, other run"
    REFUSES = "closed, refuses"
    SILENT = "closed, silent"
    INSIDE_EVENT = "inside event"
    UNMARKED = "unmarked hop"
    EARLY = "early close"
    RESET = "reset"
    ABORTED = "aborted"
    INVALID = "invalid"
    OVERSIZED = "oversized"
    UNREAD = "unread"


# Ends that may be those of whole answers, though nothing shows it.
DOUBTFUL_ENDS = frozenset(
    {AnswerEnd.OTHER_RUN, AnswerEnd.REFUSES, AnswerEnd.SILENT, AnswerEnd.UNMARKED}
)


class AnswerBrokenError(Exception):
    """An answer was broken off, or what arrived is not a valid answer.

    Attributes:
      end: How it ended.
    """

    def __init__(self, end: AnswerEnd, detail: str = "") -> None:
        """Keep how the answer ended, and what is known besides."""
        super().__init__(detail or end.value)
        self.end = end
