"""Messages between nodes: records that the library does not define, and the union of all types."""

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
    """Some of the members as the sender knows them; gossip bounds their number."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class ConfigPull:
    """Requests the changes of the table after the version that the sending node has."""

    node: str
    after: int


@dataclass(frozen=True)
class ConfigDelta:
    """Encoded changes in order, or an encoded snapshot if the requesting node lags too far."""

    changes: tuple[bytes, ...]
    snapshot: bytes


@dataclass(frozen=True)
class HandOver:
    """Query to a request's home for the request's state, from a node that received a retry.

    Attributes:
      call_id: Identifies this query; the reply repeats it.
      node: Incarnation that sends the query.
      home: Incarnation that is queried; another one at the same address does not answer.
      owner: Customer and class of the caller.
    """

    call_id: str
    node: str
    home: str
    request_id: str
    owner: str


@dataclass(frozen=True)
class HandOverReply:
    """The home's reply to a HandOver.

    Attributes:
      stage: Stage of the request, a number of springbridge.classes.binding.Stage.
      moved_to: Incarnation that is the new home, in stage MOVED; else empty.
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
