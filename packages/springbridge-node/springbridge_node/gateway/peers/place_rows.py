"""Encodes and decodes the messages about brittle endpoints and the places at them; see codec.py."""

from dataclasses import dataclass

from springbridge.rates.statements import Statement
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.gateway.peers import statement_rows
from springbridge_node.gateway.peers.row_fields import number, text, whole
from springbridge_node.gateway.peers.statement_rows import StatementReport


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A request for a place at a brittle endpoint.

    Attributes:
      number: Sequence number of the message at its node; the reply repeats it.
      lease: Id of the place, unique in the fleet.
      stated: Rejections a second that the endpoint can stand, as the node knows.
    """

    number: int
    lease: str
    stated: float
    incarnation: EndpointIncarnation


@dataclass(frozen=True, slots=True)
class PlaceReply:
    """The granter's reply; wait_s is the time until the node may ask again, if not granted."""

    number: int
    granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class PlaceEnd:
    """The end of a request that had a place, and whether the endpoint rejected it."""

    lease: str
    rejected: bool
    incarnation: EndpointIncarnation


def request_row(request: PlaceRequest) -> list:
    """Encode a request for a place."""
    row = statement_rows.incarnation_row(request.incarnation)
    return [request.number, request.lease, request.stated, row]


def read_request(row: list) -> PlaceRequest:
    """Decode a request for a place."""
    count, lease, stated, incarnation, *_ = row
    known = statement_rows.read_incarnation(incarnation)
    return PlaceRequest(whole(count), text(lease), number(stated), known)


def reply_row(reply: PlaceReply) -> list:
    """Encode a reply."""
    return [reply.number, int(reply.granted), reply.wait_s]


def read_reply(row: list) -> PlaceReply:
    """Decode a reply."""
    count, granted, wait_s, *_ = row
    return PlaceReply(whole(count), whole(granted) == 1, max(0.0, number(wait_s)))


def end_row(end: PlaceEnd) -> list:
    """Encode the end of a request."""
    return [end.lease, int(end.rejected), statement_rows.incarnation_row(end.incarnation)]


def read_end(row: list) -> PlaceEnd:
    """Decode the end of a request."""
    lease, rejected, incarnation, *_ = row
    known = statement_rows.read_incarnation(incarnation)
    return PlaceEnd(text(lease), whole(rejected) == 1, known)


def statement_row(incarnation: EndpointIncarnation, statement: Statement, now_s: float) -> list:
    """Encode a statement of how many rejections an endpoint can stand, with ages for times."""
    return statement_rows.report_row(StatementReport(incarnation, statement), now_s)


def read_statement(row: list, now_s: float) -> tuple[EndpointIncarnation, Statement]:
    """Decode such a statement."""
    report = statement_rows.read_report(row, now_s)
    return report.incarnation, report.statement
