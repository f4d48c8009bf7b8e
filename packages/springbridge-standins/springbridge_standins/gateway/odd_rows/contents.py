"""Odd rows that another writer may leave in the tables that nodes read, by name."""

from collections.abc import Callable
from dataclasses import dataclass

import orjson

# Digits of a number that is too long to be converted to an integer by default.
LONG_DIGITS = 4400
# Levels of a JSON array that is nested too deeply for any parser, and of one that is not.
TOO_DEEP, DEEP = 100_000, 1000
MEGABYTE = 1_000_000
# Characters of a key that is too long, and rows of a table with very many.
LONG_KEY, MANY = 200_000, 5000
# Address at which nothing listens.
UNUSED_ADDRESS = "127.0.0.1:9"


@dataclass(frozen=True)
class OddRow:
    """A row by another writer."""

    table: str
    key: str
    content: bytes


@dataclass(frozen=True)
class Surroundings:
    """What odd rows may refer to.

    Attributes:
      endpoint_id: Id of a living endpoint.
      address: Its address.
      instance_address: Address at which an instance accepts callers.
    """

    endpoint_id: str
    address: str
    instance_address: str


Make = Callable[[Surroundings], list[OddRow]]
MakeContent = Callable[[Surroundings], bytes]


def entry(around: Surroundings, **changes: object) -> dict[str, object]:
    """Return the fields of a sound entry of an endpoint, with changes."""
    plain = {
        "service": "desk",
        "address": UNUSED_ADDRESS,
        "zone": "perth-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "coldRemainingMs": 0,
    }
    return plain | changes


def _entry_with(**changes: object) -> MakeContent:
    """Return a maker of an entry with changes."""
    return lambda around: orjson.dumps(entry(around, **changes))


def _raw_field(name: str, text: str) -> MakeContent:
    """Return a maker of an entry that has a field of raw JSON text."""

    def make(around: Surroundings) -> bytes:
        whole = orjson.dumps(entry(around, **{name: "RAW"}))
        return whole.replace(b'"RAW"', text.encode())

    return make


def _no_json(around: Surroundings) -> bytes:
    return b"\xff" * 100


def _deep(around: Surroundings) -> bytes:
    return b"[" * TOO_DEEP


def _instance_address(around: Surroundings) -> bytes:
    return orjson.dumps(entry(around, address=around.instance_address))


# Contents of an entry under an id of its own.
ODD_ENTRIES: dict[str, MakeContent] = {
    "long_port": _entry_with(address="127.0.0.1:" + "9" * LONG_DIGITS),
    "port_0": _entry_with(address="127.0.0.1:0"),
    "port_70000": _entry_with(address="127.0.0.1:70000"),
    "long_slots": _raw_field("slots", "9" * LONG_DIGITS),
    "deep": _deep,
    "deep_field": _raw_field("models", "[" * DEEP + "]" * DEEP),
    "vast_version": _entry_with(version="v" * MEGABYTE),
    "instance_address": _instance_address,
    "no_json": _no_json,
}


def _one_entry(make: MakeContent) -> Make:
    """Return a maker of one row of the list."""
    return lambda around: [OddRow("servers", "i-odd", make(around))]


def _vast_slots(around: Surroundings) -> list[OddRow]:
    content = orjson.dumps(entry(around, address=around.address, slots=2**63 - 1))
    return [OddRow("servers", around.endpoint_id, content)]


def _many(around: Surroundings) -> list[OddRow]:
    return [OddRow("servers", f"x-{number:04}", _no_json(around)) for number in range(MANY)]


def _configuration(content: bytes) -> Make:
    return lambda around: [OddRow("op", "config", content)]


ODD_ROWS: dict[str, Make] = {
    "none": lambda around: [],
    **{name: _one_entry(make) for name, make in ODD_ENTRIES.items()},
    "vast_slots": _vast_slots,
    "many": _many,
    "long_configuration": _configuration(b'{"version":' + b"9" * LONG_DIGITS + b"}"),
    "deep_configuration": _configuration(b"[" * TOO_DEEP),
    "odd_key": lambda around: [OddRow("servers", "k" * LONG_KEY, b"{}")],
}
