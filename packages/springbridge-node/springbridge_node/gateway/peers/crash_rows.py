"""Rows about requests that end endpoints, as nodes send them to each other; see codec.py."""

from dataclasses import dataclass

from springbridge.crash_records import CrashReport, ReportedCrash
from springbridge.trials import Answer, Permission

from springbridge_node.gateway.peers.row_fields import number, text, texts, whole

# Decimals of an age in seconds. Far finer than the seconds that count.
AGE_DECIMALS = 3


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """A node asks whether it may send a request under suspicion to an endpoint.

    Attributes:
      number: The node's own count of its questions; the reply repeats it.
      holder: Names the try of the request, in the whole fleet.
      left_s: Seconds left to the request's deadline.
      record: What the node knows of the request.
    """

    number: int
    holder: str
    service: str
    endpoint_id: str
    left_s: float
    record: CrashReport


@dataclass(frozen=True, slots=True)
class TrialReply:
    """The answer to it, with what the answering node knows of the request."""

    number: int
    permission: Permission
    record: CrashReport


def record_row(record: CrashReport) -> list:
    """Return the row of a record."""
    crashes = [
        [crash.crash_id, round(crash.age_s, AGE_DECIMALS), int(crash.on_trial)]
        for crash in record.crashes
    ]
    ago_s = record.acquitted_ago_s
    return [record.fingerprint, crashes, None if ago_s is None else round(ago_s, AGE_DECIMALS)]


def read_record(row: list) -> CrashReport:
    """Return the record of a row."""
    fingerprint, crashes, ago_s, *_ = row
    return CrashReport(
        text(fingerprint),
        tuple(_read_crash(crash) for crash in crashes),
        None if ago_s is None else _age(ago_s),
    )


def _read_crash(row: list) -> ReportedCrash:
    name, ago_s, on_trial, *_ = row
    return ReportedCrash(whole(name), _age(ago_s), bool(on_trial))


def _age(value: object) -> float:
    """Return an age; one below zero would count as news for longer than it is.

    Raises:
      ValueError: It is no number.
    """
    return max(0.0, number(value))


def request_row(request: TrialRequest) -> list:
    """Return the row of a question."""
    left_s = round(request.left_s, AGE_DECIMALS)
    record = record_row(request.record)
    return [
        request.number,
        request.holder,
        request.service,
        request.endpoint_id,
        left_s,
        record,
    ]


def read_request(row: list) -> TrialRequest:
    """Return the question of a row."""
    count, holder, service, endpoint_id, left_s, record, *_ = row
    return TrialRequest(
        whole(count),
        text(holder),
        text(service),
        text(endpoint_id),
        number(left_s),
        read_record(record),
    )


def end_row(holder: str, record: CrashReport) -> list:
    """Return the row that tells of the end of a trial."""
    return [holder, record_row(record)]


def read_end(row: list) -> tuple[str, CrashReport]:
    """Return who held the trial of a row, and what is known of the request now."""
    holder, record, *_ = row
    return text(holder), read_record(record)


def reply_row(reply: TrialReply) -> list:
    """Return the row of an answer."""
    permission = reply.permission
    wait_s = round(permission.wait_s, AGE_DECIMALS)
    answer = [int(permission.answer), list(permission.avoided), wait_s]
    return [reply.number, *answer, record_row(reply.record)]


def read_reply(row: list) -> TrialReply:
    """Return the answer of a row."""
    count, answer, avoided, wait_s, record, *_ = row
    permission = Permission(Answer(whole(answer)), tuple(texts(avoided)), number(wait_s))
    return TrialReply(whole(count), permission, read_record(record))
