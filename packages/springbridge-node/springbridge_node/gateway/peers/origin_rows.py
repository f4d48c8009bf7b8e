"""Encodes and decodes the messages about the origins of streams; see codec.py."""

from dataclasses import dataclass

from springbridge.routing.seen_versions import SeenReport
from springbridge.routing.stream_origins import AMBIGUOUS, StreamOrigin

from springbridge_node.gateway.peers.row_fields import number, text, whole


@dataclass(frozen=True, slots=True)
class OriginRequest:
    """A question for the origin of a stream.

    Attributes:
      number: Sequence number of the message at its node; the reply repeats it.
      key: Key of the stream, "" to ask only for the versions seen.
      service: Service whose versions are asked for.
      span_s: Seconds within which they were seen.
    """

    number: int
    key: str
    service: str
    span_s: float


@dataclass(frozen=True, slots=True)
class OriginReply:
    """What a node knows of the origin of a stream, None if nothing, and of the service."""

    number: int
    origin: StreamOrigin | None
    seen: SeenReport


def began_row(key: str, origin: StreamOrigin) -> list:
    """Encode the origin of a stream."""
    return [key, origin.version, origin.endpoint_id]


def read_began(row: list) -> tuple[str, StreamOrigin]:
    """Decode the origin of a stream."""
    key, version, endpoint_id, *_ = row
    return text(key), _read_origin(version, endpoint_id)


def request_row(request: OriginRequest) -> list:
    """Encode a question."""
    return [request.number, request.key, request.service, request.span_s]


def read_request(row: list) -> OriginRequest:
    """Decode a question."""
    count, key, service, span_s, *_ = row
    return OriginRequest(whole(count), text(key), text(service), number(span_s))


def reply_row(reply: OriginReply) -> list:
    """Encode a reply."""
    origin = [] if reply.origin is None else [reply.origin.version, reply.origin.endpoint_id]
    return [reply.number, origin, list(reply.seen.versions), reply.seen.watched_s]


def read_reply(row: list) -> OriginReply:
    """Decode a reply."""
    count, origin, versions, watched_s, *_ = row
    found = _read_origin(*origin) if origin else None
    known = frozenset(each if each is None else text(each) for each in versions)
    return OriginReply(whole(count), found, SeenReport(known, number(watched_s)))


def _read_origin(version: object, endpoint_id: object) -> StreamOrigin:
    return AMBIGUOUS if version is None else StreamOrigin(text(version), text(endpoint_id))
