"""Numbered result codes: every outcome of a request or command.

Every response that is not a plain success names one of these codes. Callers may rely on its fate:
only NOT_RUN promises that no endpoint ran the request, so that it is safe to retry. The table in
docs/RESULT_CODES.md is generated from INFO, and a test compares the two.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum, unique


class Fate(Enum):
    """What a code promises about the execution of the request."""

    DONE = "done"
    NOT_RUN = "not run"
    FAILED = "failed after start"
    UNKNOWN = "outcome unknown"


@unique
class Code(IntEnum):
    """Result codes. The hundreds digit gives the group."""

    OK = 0
    UNKNOWN_KEY = 101
    UNKNOWN_CLASS = 102
    CLASS_NOT_ALLOWED = 103
    NO_ALLOWED_PLACE = 104
    WRONG_PLACE = 105
    BODY_TOO_LARGE = 106
    BODY_MALFORMED = 107
    SENDER_TOO_SLOW = 108
    UNKNOWN_SERVICE = 109
    REQUEST_ID_MALFORMED = 110
    REQUEST_ID_REUSED = 111
    HEADER_MALFORMED = 112
    UNKNOWN_PATH = 113
    HEAD_TOO_LARGE = 114
    REQUEST_MALFORMED = 115
    OVERLOADED = 201
    RATE_LIMITED = 202
    CONCURRENCY_LIMITED = 203
    NODE_LEAVING = 204
    CONFIG_NOT_FRESH = 205
    NO_ENGINE = 206
    TABLE_UNAVAILABLE = 207
    WAIT_EXPIRED = 208
    REFUSED_BEFORE = 209
    QUARANTINED = 210
    STREAM_ORIGIN_UNKNOWN = 211
    NO_ENGINE_OF_VERSION = 212
    NODE_FAULT = 213
    NODE_FULL = 214
    ENGINE_FAILED = 301
    ANSWER_INCOMPLETE = 302
    ANSWER_NOT_KEPT = 303
    INTERNAL = 304
    OUTCOME_UNKNOWN = 401
    REQUEST_ID_TOO_OLD = 402
    OPERATOR_UNKNOWN = 501
    VERSION_CONFLICT = 502
    ROW_MALFORMED = 503
    EDIT_UNKNOWN = 504
    NO_MAJORITY = 505
    ORDER_REFUSED = 506
    NOTHING_CHANGED = 507
    SETTING_INVALID = 601
    NODE_UNREACHABLE = 602


@dataclass(frozen=True)
class Info:
    """What a code means: its HTTP status, its fate, and one sentence of advice to the caller."""

    http_status: int
    fate: Fate
    advice: str


INFO: dict[Code, Info] = {
    Code.OK: Info(200, Fate.DONE, "The whole answer was delivered."),
    Code.UNKNOWN_KEY: Info(401, Fate.NOT_RUN, "Send a key that the table lists for a customer."),
    Code.UNKNOWN_CLASS: Info(400, Fate.NOT_RUN, "Name a class of the table in Springbridge-Class."),
    Code.CLASS_NOT_ALLOWED: Info(
        403, Fate.NOT_RUN, "Ask the operators for a row that joins this customer and class."
    ),
    Code.NO_ALLOWED_PLACE: Info(
        403, Fate.NOT_RUN, "Customer and class share no place; ask the operators to widen one."
    ),
    Code.WRONG_PLACE: Info(
        421, Fate.NOT_RUN, "Fetch /v1/addresses for this class and use one of those addresses."
    ),
    Code.BODY_TOO_LARGE: Info(413, Fate.NOT_RUN, "Send a smaller body."),
    Code.BODY_MALFORMED: Info(400, Fate.NOT_RUN, "Send the JSON body that the README describes."),
    Code.SENDER_TOO_SLOW: Info(408, Fate.NOT_RUN, "Send the body faster, then ask again."),
    Code.UNKNOWN_SERVICE: Info(404, Fate.NOT_RUN, "Name a service that the table lists."),
    Code.REQUEST_ID_MALFORMED: Info(
        400, Fate.NOT_RUN, "Build the request id from the prefix that /v1/addresses gives."
    ),
    Code.REQUEST_ID_REUSED: Info(
        409,
        Fate.NOT_RUN,
        "This id belongs to a request of another customer or class; use a new id.",
    ),
    Code.HEADER_MALFORMED: Info(400, Fate.NOT_RUN, "Correct the header that the message names."),
    Code.UNKNOWN_PATH: Info(404, Fate.NOT_RUN, "Use a path that the README lists."),
    Code.HEAD_TOO_LARGE: Info(431, Fate.NOT_RUN, "Send fewer or shorter headers."),
    Code.REQUEST_MALFORMED: Info(
        400, Fate.NOT_RUN, "Send a request of HTTP/1.1 whose body is as its head states."
    ),
    Code.OVERLOADED: Info(429, Fate.NOT_RUN, "Ask again under a new id after Retry-After."),
    Code.RATE_LIMITED: Info(429, Fate.NOT_RUN, "The customer's rate is used up; wait Retry-After."),
    Code.CONCURRENCY_LIMITED: Info(
        429, Fate.NOT_RUN, "The customer's concurrency is used up; wait Retry-After."
    ),
    Code.NODE_LEAVING: Info(503, Fate.NOT_RUN, "Use one of the other addresses."),
    Code.CONFIG_NOT_FRESH: Info(
        503, Fate.NOT_RUN, "This node cannot confirm its table; use one of the other addresses."
    ),
    Code.NO_ENGINE: Info(
        503, Fate.NOT_RUN, "No engine in an allowed place works; wait Retry-After."
    ),
    Code.TABLE_UNAVAILABLE: Info(
        503, Fate.NOT_RUN, "Use an id with a home from /v1/addresses, or wait Retry-After."
    ),
    Code.WAIT_EXPIRED: Info(504, Fate.NOT_RUN, "Ask again under a new id after Retry-After."),
    Code.REFUSED_BEFORE: Info(
        409, Fate.NOT_RUN, "This id was refused and stays refused; ask again under a new id."
    ),
    Code.QUARANTINED: Info(
        503,
        Fate.NOT_RUN,
        "Engines ended under requests like this one; change it, or wait Retry-After.",
    ),
    Code.STREAM_ORIGIN_UNKNOWN: Info(
        503,
        Fate.NOT_RUN,
        "Nobody knows which version began this stream; wait Retry-After, or begin it anew.",
    ),
    Code.NO_ENGINE_OF_VERSION: Info(
        503,
        Fate.NOT_RUN,
        "No engine of the version that began it takes this stream; wait Retry-After or begin anew.",
    ),
    Code.NODE_FAULT: Info(
        503, Fate.NOT_RUN, "A fault of this node, before it sent the request; wait Retry-After."
    ),
    Code.NODE_FULL: Info(
        503,
        Fate.NOT_RUN,
        "This node holds as much of callers' requests as it can; wait Retry-After, or use another.",
    ),
    Code.ENGINE_FAILED: Info(
        502, Fate.FAILED, "The request started and failed; check its effect before asking again."
    ),
    Code.ANSWER_INCOMPLETE: Info(
        502, Fate.FAILED, "The answer broke off or did not fit together; discard what came."
    ),
    Code.ANSWER_NOT_KEPT: Info(
        410, Fate.FAILED, "The request ran, but its answer is no longer kept."
    ),
    Code.INTERNAL: Info(500, Fate.UNKNOWN, "A fault of springbridge; report it with the log."),
    Code.OUTCOME_UNKNOWN: Info(
        504, Fate.UNKNOWN, "Nobody can tell whether it ran; ask again under the same id."
    ),
    Code.REQUEST_ID_TOO_OLD: Info(
        410, Fate.UNKNOWN, "The id is older than nodes remember; check its effect first."
    ),
    Code.OPERATOR_UNKNOWN: Info(401, Fate.NOT_RUN, "Set the operators' token."),
    Code.VERSION_CONFLICT: Info(
        409, Fate.NOT_RUN, "Another edit came first; look at both sides and edit again."
    ),
    Code.ROW_MALFORMED: Info(400, Fate.NOT_RUN, "Correct the rows that the message names."),
    Code.EDIT_UNKNOWN: Info(
        504, Fate.UNKNOWN, "Repeat the command with the same change id to settle it."
    ),
    Code.NO_MAJORITY: Info(
        503, Fate.NOT_RUN, "This node does not see most of the others; use another node."
    ),
    Code.ORDER_REFUSED: Info(409, Fate.NOT_RUN, "Another holder has the lease on this engine."),
    Code.NOTHING_CHANGED: Info(
        400, Fate.NOT_RUN, "The table stands as you want it already; there is nothing to accept."
    ),
    Code.SETTING_INVALID: Info(400, Fate.NOT_RUN, "Correct the setting that the message names."),
    Code.NODE_UNREACHABLE: Info(503, Fate.UNKNOWN, "Give the address of a node that runs."),
}


def markdown_table() -> str:
    """Return the table of docs/RESULT_CODES.md."""
    lines = ["| code | name | HTTP | fate | what to do |", "| --- | --- | --- | --- | --- |"]
    for code, info in INFO.items():
        cells = (int(code), code.name, info.http_status, info.fate.value, info.advice)
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)
