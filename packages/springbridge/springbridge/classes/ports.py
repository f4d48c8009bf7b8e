"""Interfaces of the library to its surroundings; the node package implements them.

They are the platform's table and list of instances, the clients of endpoints, and the policy that
grants slots.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from springbridge.classes.decisions import Outcome, Sample
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.stream import Chunk
from springbridge.classes.table.changes import Change, Snapshot
from springbridge.codes import Code
from springbridge.problems import Problem


@dataclass(frozen=True)
class Listed:
    """An entry of the platform's list of instances, which may be out of date."""

    peer_address: str
    leaving: bool


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which may be out of date."""

    async def instances(self) -> Result[list[Listed], Problem]:
        """Return the listed instances, or TABLE_UNAVAILABLE."""


@dataclass(frozen=True)
class OrderLease:
    """A lease for sending orders to one endpoint.

    Attributes:
      epoch: Fencing token; it increases with each change of holder.
      valid_s: Seconds for which the holder may act, counted from before the lease was written.
    """

    epoch: int
    valid_s: float


MOVED_ON = Problem(Code.VERSION_CONFLICT, "the table moved on")


class TableStore(Protocol):
    """The platform's transactional table service, for state that must be durable or agreed.

    If the reply to a write is lost, the outcome is read back before the call returns; if that fails
    too, the result is EDIT_UNKNOWN or TABLE_UNAVAILABLE as the method says.
    """

    async def version(self) -> Result[int, Problem]:
        """Return the newest version of the operators' table."""

    async def snapshot(self) -> Result[Snapshot, Problem]:
        """Return all rows at the newest version."""

    async def changes(self, after: int, limit: int) -> Result[list[Change], Problem]:
        """Return the changes that follow a version, oldest first."""

    async def find_change(self, change_id: str) -> Result[Change | None, Problem]:
        """Return the accepted change with this id, or None."""

    async def commit(self, change: Change) -> Result[None, Problem]:
        """Write rows, version and audit record in one transaction, if the previous version stands.

        Returns:
          Nothing, or MOVED_ON if another change was committed first.
        """

    async def claim(self, request_id: str, node: str) -> Result[str, Problem]:
        """Claim an id without a home for a node; return the node that claimed it first."""

    async def take_lease(self, endpoint: str, holder: str) -> Result[OrderLease, Problem]:
        """Take or renew the lease for orders to an endpoint, or return ORDER_REFUSED."""


@dataclass(frozen=True)
class Job:
    """One attempt at an endpoint.

    Attributes:
      priority: Tier of the class; a lower number goes first.
      offset: Tokens of the answer that exist already; the endpoint continues from there.
      prefix: Text of those tokens.
      body: Body of the caller's request.
      path: Path below the service, for plain services.
    """

    request_id: str
    priority: int
    offset: int
    prefix: str
    body: bytes
    path: str = ""


class EndpointClient(Protocol):
    """Client of one kind of endpoint."""

    def run(self, endpoint: Endpoint, job: Job) -> AsyncIterator[Chunk]:
        """Start a job and yield its chunks.

        Raises:
          NotAdmittedError: The endpoint rejected the job before starting it.
          EndpointError: Any other failure; the job may have started.
        """

    def resume(self, endpoint: Endpoint, request_id: str, offset: int) -> AsyncIterator[Chunk]:
        """Yield the chunks of a job that the endpoint already has, from an offset on.

        Raises:
          NotAdmittedError: The endpoint does not know the job.
          EndpointError: The endpoint cannot be reached.
        """

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Stop a job; failures are ignored, since the endpoint may be gone."""


class NotAdmittedError(Exception):
    """The endpoint certainly did not start the job."""


class EndpointError(Exception):
    """The attempt failed; the job may have started."""


class OrderKind(Enum):
    """Orders that an endpoint takes from the operators."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True)
class Slot:
    """The right to send one job to one endpoint."""

    slot_request_id: str
    endpoint: Endpoint


@dataclass(frozen=True)
class Attempt:
    """One try to serve a request, for which a slot is needed.

    Attributes:
      endpoints: All endpoints that the request may use.
      wait_s: Longest time the attempt may wait.
      resumable: Whether the work may be preempted.
    """

    request: Request
    endpoints: tuple[Endpoint, ...]
    wait_s: float
    resumable: bool

    def endpoint_named(self, name: str) -> Endpoint:
        """Return the allowed endpoint of that name; it must be one of endpoints."""
        return next(endpoint for endpoint in self.endpoints if endpoint.name == name)


class SlotSource(Protocol):
    """A policy that selects the endpoint of an attempt and grants it a slot."""

    async def acquire(self, attempt: Attempt) -> Result[Slot, Problem]:
        """Wait for a slot, or return the problem that refuses the attempt."""

    def sample(self, slot: Slot, sample: Sample) -> None:
        """Report latencies and tokens of a slot in use."""

    def release(self, slot: Slot, outcome: Outcome, sample: Sample) -> None:
        """Give a slot back."""

    async def preempted(self, slot: Slot) -> None:
        """Wait until the slot must be given back."""
