"""Encodes and decodes the rows about crash records and trials; see codec.py."""

from dataclasses import dataclass

from springbridge.crash_records import CrashReport, ReportedCrash
from springbridge.trials import Answer, Permission

from springbridge_node.gateway.peers.row_fields import number, text, texts, whole

# Decimal places of an age in seconds. Far finer than the seconds for which crashes are compared.
AGE_DECIMALS = 3


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """A request for permission to send a suspect request to an endpoint.

    Attributes:
      number: Sequence number of the trial request at its node; the reply repeats it.
      holder: Id of the suspect request's attempt, unique in the fleet.
      left_s: Seconds left to the suspect request's deadline.
      record: The requesting node's crash record of the suspect request.
    """

    number: int
    holder: str
    service: str
    endpoint_id: str
    left_s: float
    record: CrashReport


@dataclass(frozen=True, slots=True)
class TrialReply:
    """The coordinator's reply to a trial request, with its crash record of the suspect request."""

    number: int
    permission: Permission
    record: CrashReport


def record_row(record: CrashReport) -> list:
    """Encode a crash record."""
    crashes = [
        [crash.crash_id, round(crash.age_s, AGE_DECIMALS), int(crash.on_trial)]
        for crash in record.crashes
    ]
    ago_s = record.acquitted_ago_s
    return [record.fingerprint, crashes, None if ago_s is None else round(ago_s, AGE_DECIMALS)]


def read_record(row: list) -> CrashReport:
    """Decode a crash record."""
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
    """Decode an age; a negative one counts as 0, or the crash would count as recent for too long.

    Raises:
      ValueError: The value is not a number.
    """
    return max(0.0, number(value))


def request_row(request: TrialRequest) -> list:
    """Encode a trial request."""
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
    """Decode a trial request."""
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
    """Encode the end of a trial, with the sender's crash record."""
    return [holder, record_row(record)]


def read_end(row: list) -> tuple[str, CrashReport]:
    """Decode the end of a trial: the attempt that held it, and the sender's crash record."""
    holder, record, *_ = row
    return text(holder), read_record(record)


def reply_row(reply: TrialReply) -> list:
    """Encode a trial reply."""
    permission = reply.permission
    wait_s = round(permission.wait_s, AGE_DECIMALS)
    answer = [int(permission.answer), list(permission.avoided), wait_s]
    return [reply.number, *answer, record_row(reply.record)]


def read_reply(row: list) -> TrialReply:
    """Decode a trial reply."""
    count, answer, avoided, wait_s, record, *_ = row
    permission = Permission(Answer(whole(answer)), tuple(texts(avoided)), number(wait_s))
    return TrialReply(whole(count), permission, read_record(record))
