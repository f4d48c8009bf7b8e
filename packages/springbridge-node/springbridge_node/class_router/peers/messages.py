"""Messages between nodes that have no record of their own in the library package."""

from dataclasses import dataclass

from springbridge.classes.decisions import (
    Ask,
    Grant,
    Hold,
    Inventory,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
)
from springbridge.classes.limits import Lease, LeaseAsk
from springbridge.codes import Code
from springbridge.membership import Member


@dataclass(frozen=True)
class Digest:
    """What a node knows of the members."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class ConfigPull:
    """A node asks for the changes after the version it has."""

    node: str
    after: int


@dataclass(frozen=True)
class ConfigDelta:
    """Encoded changes in order, or an encoded snapshot where the asker is too far behind."""

    changes: tuple[bytes, ...]
    snapshot: bytes


@dataclass(frozen=True)
class HandOver:
    """A node that holds a retry asks the request's home what became of it."""

    call_id: str
    node: str
    home: str
    request_id: str
    owner: str


@dataclass(frozen=True)
class HandOverReply:
    """The home's answer: the stage of the request, and who is home now if it moved."""

    call_id: str
    stage: int
    moved_to: str
    code: Code


Message = (
    Ask
    | Hold
    | Inventory
    | Release
    | Sample
    | Grant
    | Queued
    | Refusal
    | Preemption
    | Digest
    | ConfigPull
    | ConfigDelta
    | LeaseAsk
    | Lease
    | HandOver
    | HandOverReply
)
