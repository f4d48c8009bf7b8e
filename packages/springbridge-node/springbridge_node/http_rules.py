"""Rules for the heads of answers that both programs hold, and that the library does not (RFC 9112).

Where a line ends and which status an answer has decide which bytes are its body.
"""

from http import HTTPStatus

LINE_END = b"\r\n"
# Statuses of answers that another one follows. Without 101, which nobody asks for: what follows it
# is no HTTP.
INTERIM_STATUSES = frozenset(range(100, 200)) - {HTTPStatus.SWITCHING_PROTOCOLS}
FINAL_STATUSES = range(200, 600)
# The version whose answers have no transfer coding, and end their connections as a rule.
OLDER_VERSION = "HTTP/1.0"


def has_bare_line_feed(raw: bytes) -> bool:
    """Return whether a line of a head ends otherwise than by CRLF.

    The library would take what is behind it for another line.
    """
    return raw.count(b"\n") > raw.count(LINE_END)


def is_answer_status(status: int) -> bool:
    """Return whether an answer that was asked for can have a status."""
    return status in FINAL_STATUSES or status in INTERIM_STATUSES
