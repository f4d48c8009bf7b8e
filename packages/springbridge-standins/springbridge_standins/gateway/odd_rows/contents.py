"""Odd rows that another writer may leave in the tables that nodes read, by name."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import orjson

# Digits of a number that is too long to be converted to an integer by default.
LONG_DIGITS = 4400
# Levels of a JSON array that is nested too deeply for any parser, and of one that is not.
TOO_DEEP, DEEP = 100_000, 1000
MEGABYTE = 1_000_000


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


def entry(around: Surroundings, **changes: object) -> dict[str, object]:
    """Return the fields of a sound entry of an endpoint, with changes."""
    plain = {
        "service": "desk",
        "address": around.address,
        "zone": "perth-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "coldRemainingMs": 0,
    }
    return plain | changes


def _entry_with(**changes: object) -> Make:
    """Return a maker of one row of another endpoint whose entry has changes."""
    return lambda around: [
        OddRow("servers", "i-odd", orjson.dumps(entry(around, address="127.0.0.1:9") | changes))
    ]


def _raw_field(name: str, text: str) -> Make:
    """Return a maker of one row whose entry has a field of raw JSON text."""

    def make(around: Surroundings) -> list[OddRow]:
        whole = orjson.dumps(entry(around, address="127.0.0.1:9") | {name: "RAW"})
        return [OddRow("servers", "i-odd", whole.replace(b'"RAW"', text.encode()))]

    return make


def _instance_address(around: Surroundings) -> list[OddRow]:
    return [
        OddRow("servers", "i-odd", orjson.dumps(entry(around, address=around.instance_address)))
    ]


def _vast_slots(around: Surroundings) -> list[OddRow]:
    content = orjson.dumps(entry(around, slots=2**63 - 1))
    return [OddRow("servers", around.endpoint_id, content)]


def _many(around: Surroundings) -> list[OddRow]:
    rng = random.Random(1)
    return [
        OddRow("servers", f"x-{number:04}", rng.randbytes(100) + b"\xff") for number in range(5000)
    ]


def _configuration(content: bytes) -> Make:
    return lambda around: [OddRow("op", "config", content)]


ODD_ROWS: dict[str, Make] = {
    "none": lambda around: [],
    "long_port": _entry_with(address="127.0.0.1:" + "9" * LONG_DIGITS),
    "port_0": _entry_with(address="127.0.0.1:0"),
    "port_70000": _entry_with(address="127.0.0.1:70000"),
    "long_slots": _raw_field("slots", "9" * LONG_DIGITS),
    "deep": lambda around: [OddRow("servers", "i-odd", b"[" * TOO_DEEP)],
    "deep_field": _raw_field("models", "[" * DEEP + "]" * DEEP),
    "vast_version": _entry_with(version="v" * MEGABYTE),
    "instance_address": _instance_address,
    "vast_slots": _vast_slots,
    "many": _many,
    "long_configuration": _configuration(b'{"version":' + b"9" * LONG_DIGITS + b"}"),
    "deep_configuration": _configuration(b"[" * TOO_DEEP),
    "odd_key": lambda around: [OddRow("servers", "k" * 200_000, b"{}")],
}
