"""Encodes and decodes the rows about statements of endpoints and permits; see codec.py."""

from dataclasses import dataclass
from enum import IntEnum

from springbridge.rates.statements import StatedRate, Statement, rate_of
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.gateway.peers.row_fields import number, text, whole

# Decimal places of an age in seconds. Far finer than a round trip to an endpoint.
AGE_DECIMALS = 3
# Value of the sixth field in the row of an endpoint that leaves.
LEAVES = 1
# Seconds by which the time of a statement's request in a peer's report is set earlier. The ages in
# a datagram do not include its transit time, and the end of a rate must not look newer than it is.
TRANSIT_ALLOWANCE_S = 0.1


@dataclass(frozen=True, slots=True)
class StatementReport:
    """What a node knows of the statements of an endpoint, as it reports it to peers.

    Attributes:
      statement: The statement of its rate limit.
      leaves: Whether it stated that it leaves, to this node or to a peer that reported it.
      rest_s: Remaining seconds of a rest that it asked one of these nodes for; 0 for none.
    """

    incarnation: EndpointIncarnation
    statement: Statement
    leaves: bool = False
    rest_s: float = 0.0


class PermitAnswer(IntEnum):
    """The answer to a permit request; the numbers are sent and must not change."""

    SPENT = 0
    GRANTED = 1
    NO_RATE = 2


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for a permit to send one request to an endpoint.

    Attributes:
      number: Sequence number of the permit request at its node; the reply repeats it.
      priority: Rank of the request, 0 most urgent.
      report: What the requesting node knows of the endpoint's statements.
    """

    number: int
    priority: int
    report: StatementReport


@dataclass(frozen=True, slots=True)
class PermitReply:
    """The granter's reply to a permit request.

    Attributes:
      wait_s: If the rate is exhausted, seconds until the node may ask again.
      report: What the granter knows of the endpoint's statements.
    """

    number: int
    answer: PermitAnswer
    wait_s: float
    report: StatementReport


def report_row(report: StatementReport, now_s: float) -> list:
    """Encode a report, with ages in place of points in time.

    Earlier builds ignore fields after the fifth, which are sent only if the endpoint leaves or
    rests.
    """
    statement = report.statement
    ages = [now_s - statement.sent_s, now_s - statement.received_s]
    rounded = [round(age_s, AGE_DECIMALS) for age_s in ages]
    row = [*incarnation_row(report.incarnation), statement.per_s, *rounded]
    if report.rest_s > 0.0:
        return [*row, int(report.leaves), round(report.rest_s, AGE_DECIMALS)]
    return [*row, LEAVES] if report.leaves else row


def read_report(row: list, now_s: float) -> StatementReport:
    """Decode a report."""
    endpoint_id, born_ms, per_s, sent_ago_s, received_ago_s, *more = row
    statement = Statement(
        _read_per_s(per_s),
        now_s - max(0.0, number(sent_ago_s)) - TRANSIT_ALLOWANCE_S,
        now_s - max(0.0, number(received_ago_s)),
    )
    leaves = more[:1] == [LEAVES]
    rest_s = max(0.0, number(more[1])) if len(more) > 1 else 0.0
    return StatementReport(read_incarnation([endpoint_id, born_ms]), statement, leaves, rest_s)


def _read_per_s(value: object) -> float | None:
    """Decode a rate, None for no limit.

    Raises:
      ValueError: The value is not a rate that nodes comply with.
    """
    if value is None:
        return None
    per_s = number(value)
    if per_s < 0.0:
        raise ValueError("negative rate")
    return rate_of(StatedRate(per_s))


def incarnation_row(incarnation: EndpointIncarnation) -> list:
    """Encode the incarnation of an endpoint."""
    return [incarnation.endpoint_id, incarnation.born_ms]


def read_incarnation(row: list) -> EndpointIncarnation:
    """Decode the incarnation of an endpoint."""
    endpoint_id, born_ms, *_ = row
    return EndpointIncarnation(text(endpoint_id), None if born_ms is None else whole(born_ms))


def request_row(request: PermitRequest, now_s: float) -> list:
    """Encode a permit request."""
    return [request.number, request.priority, report_row(request.report, now_s)]


def read_request(row: list, now_s: float) -> PermitRequest:
    """Decode a permit request."""
    count, priority, report, *_ = row
    return PermitRequest(whole(count), whole(priority), read_report(report, now_s))


def reply_row(reply: PermitReply, now_s: float) -> list:
    """Encode a permit reply."""
    wait_s = round(reply.wait_s, AGE_DECIMALS)
    return [reply.number, int(reply.answer), wait_s, report_row(reply.report, now_s)]


def read_reply(row: list, now_s: float) -> PermitReply:
    """Decode a permit reply."""
    count, answer, wait_s, report, *_ = row
    return PermitReply(
        whole(count),
        PermitAnswer(whole(answer)),
        max(0.0, number(wait_s)),
        read_report(report, now_s),
    )
