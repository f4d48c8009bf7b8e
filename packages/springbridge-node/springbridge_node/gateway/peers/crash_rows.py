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
      parts: Its crash records of the parts of the prompt, if the trial is one of parts; then the
        record above is empty.
    """

    number: int
    holder: str
    service: str
    endpoint_id: str
    left_s: float
    record: CrashReport
    parts: tuple[CrashReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TrialReply:
    """The coordinator's reply to a trial request, with its crash records of what is on trial."""

    number: int
    permission: Permission
    record: CrashReport
    parts: tuple[CrashReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TrialEnd:
    """The end of a trial, with the sender's crash records of what was on trial.

    Attributes:
      holder: Id of the attempt that held the trial.
    """

    holder: str
    record: CrashReport
    parts: tuple[CrashReport, ...] = ()


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
        *_part_rows(request.parts),
    ]


def read_request(row: list) -> TrialRequest:
    """Decode a trial request."""
    count, holder, service, endpoint_id, left_s, record, *rest = row
    return TrialRequest(
        whole(count),
        text(holder),
        text(service),
        text(endpoint_id),
        number(left_s),
        read_record(record),
        _read_parts(rest),
    )


def _part_rows(parts: tuple[CrashReport, ...]) -> list:
    """Return the last field of a row, which rows about whole requests do not have."""
    return [[record_row(record) for record in parts]] if parts else []


def _read_parts(rest: list) -> tuple[CrashReport, ...]:
    """Decode the records of parts in the fields that follow the known ones."""
    return tuple(map(read_record, rest[0])) if rest else ()


def end_row(end: TrialEnd) -> list:
    """Encode the end of a trial."""
    return [end.holder, record_row(end.record), *_part_rows(end.parts)]


def read_end(row: list) -> TrialEnd:
    """Decode the end of a trial."""
    holder, record, *rest = row
    return TrialEnd(text(holder), read_record(record), _read_parts(rest))


def reply_row(reply: TrialReply) -> list:
    """Encode a trial reply."""
    permission = reply.permission
    wait_s = round(permission.wait_s, AGE_DECIMALS)
    answer = [int(permission.answer), list(permission.avoided), wait_s]
    return [reply.number, *answer, record_row(reply.record), *_part_rows(reply.parts)]


def read_reply(row: list) -> TrialReply:
    """Decode a trial reply."""
    count, answer, avoided, wait_s, record, *rest = row
    permission = Permission(Answer(whole(answer)), tuple(texts(avoided)), number(wait_s))
    return TrialReply(whole(count), permission, read_record(record), _read_parts(rest))
