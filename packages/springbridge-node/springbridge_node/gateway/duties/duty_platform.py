"""Ports of the duties: the lease in the platform's store, and the calls that only its holder makes.

The adapter in the platform folder implements them; only it knows names and formats.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result
from springbridge.duties.lease import LeaseReading, LeaseRow
from springbridge.duties.usage_reports import Report
from springbridge.problems import Problem

# Timeout of a duty call, in seconds. Several calls fit into one lease.
DUTY_CALL_S = 0.8


@dataclass(frozen=True, slots=True)
class Credentials:
    """Credentials of a duty call: the name of the instance, and the fencing token of its lease."""

    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """An order for a number of endpoints of one kind; it replaces the number ordered before."""

    service: str
    failure_domain: str
    spot: bool
    count: int


class LeaseStore(Protocol):
    """The rows of leases; a failed call returns TABLE_UNAVAILABLE unless documented otherwise."""

    async def read_lease(self, duty: str) -> Result[LeaseReading, Problem]:
        """Return the current row of a lease and its stamp."""

    async def write_lease(
        self, duty: str, row: LeaseRow, before: int
    ) -> Result[LeaseReading, Problem]:
        """Write the row of a lease if its stamp still equals before (compare and set).

        Returns:
          The reading after the write; VERSION_CONFLICT if the stamp differs.
        """


class DutyPlatform(Protocol):
    """The platform's duty calls. A call that fails may still have taken effect."""

    async def report_usage(self, credentials: Credentials, report: Report) -> Result[None, Problem]:
        """Report the usage of a window."""

    async def order_endpoints(
        self, credentials: Credentials, order: EndpointOrder
    ) -> Result[None, Problem]:
        """Order endpoints; OVERLOADED if none are available now."""
