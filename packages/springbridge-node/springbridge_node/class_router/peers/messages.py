"""Messages between nodes: those that the library has no record for, and the union of all."""

from dataclasses import dataclass

from springbridge.classes.decisions import (
    Grant,
    Hold,
    Inventory,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
    SlotRequest,
)
from springbridge.classes.limits import Lease, LeaseRequest
from springbridge.codes import Code
from springbridge.membership import Member


@dataclass(frozen=True)
class Digest:
    """Members as the sender knows them; gossip keeps the number bounded."""

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
    """A node that got a retry asks the request's home what became of it.

    Attributes:
      call_id: Names this question; the reply repeats it.
      node: Incarnation that asks.
      home: Incarnation that is asked; another one at the same address does not answer.
      owner: Customer and class of the caller.
    """

    call_id: str
    node: str
    home: str
    request_id: str
    owner: str


@dataclass(frozen=True)
class HandOverReply:
    """The home's reply.

    Attributes:
      stage: How far the request has come, a number of springbridge.classes.binding.Stage.
      moved_to: Incarnation that is the home now, in stage MOVED; else empty.
      code: Why the home refused the request, in stage REFUSED; else OK.
    """

    call_id: str
    stage: int
    moved_to: str
    code: Code


Message = (
    SlotRequest
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
    | LeaseRequest
    | Lease
    | HandOver
    | HandOverReply
)
