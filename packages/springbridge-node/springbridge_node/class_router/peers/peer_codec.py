"""Converts the records of messages to protobuf and back.

A protobuf message has the same fields as its record, so the conversion is derived from the records.
Types and fields whose names on the wire differ from those in the code are listed below.
"""

from collections.abc import Callable, Iterable
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, get_args, get_type_hints

from springbridge_node.class_router.peers.messages import Message
from springbridge_node.class_router.peers.proto import peer_pb2

# Older names of types and fields that peer.proto keeps, by their names in the code.
WIRE_TYPES = {
    "SnapshotStatus": "ListingSeen",
    "SlotRequest": "Ask",
    "LeaseRequest": "LeaseAsk",
}
WIRE_FIELDS = {
    "failure_domain": "place",
    "endpoint_snapshot": "listing",
    "fingerprint": "mark",
    "endpoint": "engine",
    "concurrency": "places",
    "slot_request": "ask",
    "slot_request_id": "ask_id",
    "slot_request_ids": "ask_ids",
}


def _snake(name: str) -> str:
    """Return the name of the oneof field for a message type."""
    return "".join("_" + char.lower() if char.isupper() else char for char in name).lstrip("_")


TYPES: dict[str, type] = {
    _snake(WIRE_TYPES.get(kind.__name__, kind.__name__)): kind for kind in get_args(Message)
}
FIELD_NAMES: dict[type, str] = {kind: name for name, kind in TYPES.items()}


def encode(messages: Iterable[Message]) -> peer_pb2.Envelope:
    """Return the messages in one envelope."""
    items = [peer_pb2.Item(**{FIELD_NAMES[type(message)]: _to_pb(message)}) for message in messages]
    return peer_pb2.Envelope(items=items)


def decode(envelope: peer_pb2.Envelope) -> list[Message]:
    """Return the messages of an envelope; types that only newer nodes know are skipped."""
    decoded = []
    for item in envelope.items:
        name = item.WhichOneof("kind")
        if name is not None:
            decoded.append(_from_pb(TYPES[name], getattr(item, name)))
    return decoded


def _to_pb(record: Any) -> Any:
    """Return the protobuf message of a record."""
    name = type(record).__name__
    pb_type = getattr(peer_pb2, WIRE_TYPES.get(name, name))
    return pb_type(
        **{_wire_field(name): _plain(getattr(record, name)) for name in _names(type(record))}
    )


def _plain(value: Any) -> Any:
    """Return a field's value as protobuf takes it."""
    if is_dataclass(value):
        return _to_pb(value)
    if isinstance(value, tuple):
        return [_plain(part) for part in value]
    return value


def _from_pb(kind: type, message: Any) -> Any:
    """Return the record of a protobuf message."""
    return kind(
        **{name: read(getattr(message, _wire_field(name))) for name, read in _readers(kind)}
    )


def _wire_field(name: str) -> str:
    """Return the name on the wire of a record's field."""
    return WIRE_FIELDS.get(name, name)


@cache
def _names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(kind))


@cache
def _readers(kind: type) -> tuple[tuple[str, Callable[[Any], Any]], ...]:
    """Return each field's name with the function that decodes its value."""
    hints = get_type_hints(kind)
    return tuple((name, _reader(hints[name])) for name in _names(kind))


def _reader(hint: Any) -> Callable[[Any], Any]:
    parts = get_args(hint)
    if parts:
        read = _reader(parts[0])
        return lambda values: tuple(read(value) for value in values)
    if is_dataclass(hint):
        return lambda message: _from_pb(hint, message)
    return hint
