"""Rows about the statements of endpoints, as nodes send them to each other; see codec.py."""

from dataclasses import dataclass
from enum import IntEnum

from springbridge.rates.statements import StatedRate, Statement, rate_of
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.gateway.peers.row_fields import number, text, whole

# Decimals of an age in seconds. Far finer than a round trip to an endpoint.
AGE_DECIMALS = 3
# The sixth field of a row about an endpoint that leaves.
LEAVES = 1
# Seconds by which a request that a peer tells of counts as sent earlier. A datagram's time on the
# way is not in its ages, and the end of a rate must not look newer than it is.
ON_THE_WAY_S = 0.1


@dataclass(frozen=True, slots=True)
class ToldStatements:
    """What a node tells of the statements of an endpoint.

    Attributes:
      statement: Of its rate.
      leaves: Whether it said that it leaves, to this node or to one that told this node.
      rest_s: What is left of a rest that it asked one of these for, in seconds; 0 for none.
    """

    incarnation: EndpointIncarnation
    statement: Statement
    leaves: bool = False
    rest_s: float = 0.0


class PermitAnswer(IntEnum):
    """The answer to a question for a permit; the numbers are on the wire and keep their meaning."""

    SPENT = 0
    GRANTED = 1
    NO_RATE = 2


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node asks whether it may send one request to an endpoint.

    Attributes:
      number: The node's own count of its questions; the reply repeats it.
      priority: Rank of the request, 0 most urgent.
      told: What the node knows of the endpoint's rate.
    """

    number: int
    priority: int
    told: ToldStatements


@dataclass(frozen=True, slots=True)
class PermitReply:
    """The answer to it.

    Attributes:
      wait_s: If the rate is spent, seconds until the node may ask again.
      told: What the answering node knows of the endpoint's rate.
    """

    number: int
    answer: PermitAnswer
    wait_s: float
    told: ToldStatements


def told_row(told: ToldStatements, now_s: float) -> list:
    """Return the row of statements, with ages in place of moments.

    Earlier builds pass over what is behind the fifth field, so it stands only where there is
    something to tell.
    """
    statement = told.statement
    ages = [now_s - statement.sent_s, now_s - statement.received_s]
    rounded = [round(age_s, AGE_DECIMALS) for age_s in ages]
    row = [*incarnation_row(told.incarnation), statement.per_s, *rounded]
    if told.rest_s > 0.0:
        return [*row, int(told.leaves), round(told.rest_s, AGE_DECIMALS)]
    return [*row, LEAVES] if told.leaves else row


def read_told(row: list, now_s: float) -> ToldStatements:
    """Return the statements of a row."""
    endpoint_id, born_ms, per_s, sent_ago_s, received_ago_s, *more = row
    statement = Statement(
        _read_per_s(per_s),
        now_s - max(0.0, number(sent_ago_s)) - ON_THE_WAY_S,
        now_s - max(0.0, number(received_ago_s)),
    )
    leaves = more[:1] == [LEAVES]
    rest_s = max(0.0, number(more[1])) if len(more) > 1 else 0.0
    return ToldStatements(read_incarnation([endpoint_id, born_ms]), statement, leaves, rest_s)


def _read_per_s(value: object) -> float | None:
    """Return a rate, None for no limit.

    Raises:
      ValueError: It is none that a node keeps to.
    """
    if value is None:
        return None
    per_s = number(value)
    if per_s < 0.0:
        raise ValueError("a rate below zero")
    return rate_of(StatedRate(per_s))


def incarnation_row(incarnation: EndpointIncarnation) -> list:
    """Return the row that names an endpoint."""
    return [incarnation.endpoint_id, incarnation.born_ms]


def read_incarnation(row: list) -> EndpointIncarnation:
    """Return the endpoint that a row names."""
    endpoint_id, born_ms, *_ = row
    return EndpointIncarnation(text(endpoint_id), None if born_ms is None else whole(born_ms))


def request_row(request: PermitRequest, now_s: float) -> list:
    """Return the row of a question."""
    return [request.number, request.priority, told_row(request.told, now_s)]


def read_request(row: list, now_s: float) -> PermitRequest:
    """Return the question of a row."""
    count, priority, told, *_ = row
    return PermitRequest(whole(count), whole(priority), read_told(told, now_s))


def reply_row(reply: PermitReply, now_s: float) -> list:
    """Return the row of an answer."""
    wait_s = round(reply.wait_s, AGE_DECIMALS)
    return [reply.number, int(reply.answer), wait_s, told_row(reply.told, now_s)]


def read_reply(row: list, now_s: float) -> PermitReply:
    """Return the answer of a row."""
    count, answer, wait_s, told, *_ = row
    return PermitReply(
        whole(count),
        PermitAnswer(whole(answer)),
        max(0.0, number(wait_s)),
        read_told(told, now_s),
    )
