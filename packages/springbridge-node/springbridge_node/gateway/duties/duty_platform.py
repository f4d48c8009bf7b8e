"""Ports of the duties: the lease in the platform's store, and the calls that one node may make.

The adapter in the platform's folder implements them and alone knows names and formats.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result
from springbridge.duties.lease import LeaseReading, LeaseRow
from springbridge.duties.usage_reports import Report
from springbridge.problems import Problem

# Seconds that a duty call may take. Several fit into one lease.
DUTY_CALL_S = 0.8


@dataclass(frozen=True, slots=True)
class Credentials:
    """Who makes a duty call: the name of the instance, and the fencing token of its lease."""

    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """An order for a number of endpoints of one kind, in place of the number ordered before."""

    service: str
    failure_domain: str
    spot: bool
    count: int


class LeaseStore(Protocol):
    """The rows of leases; a failed call returns TABLE_UNAVAILABLE unless its text says more."""

    async def read_lease(self, duty: str) -> Result[LeaseReading, Problem]:
        """Return the lease of a duty."""

    async def write_lease(
        self, duty: str, row: LeaseRow, before: int
    ) -> Result[LeaseReading, Problem]:
        """Write the lease of a duty if its stamp is still the one of before.

        Returns:
          The reading after the write; VERSION_CONFLICT if the stamp is another one.
        """


class DutyPlatform(Protocol):
    """The platform's duty calls. A failure says nothing about whether the call took effect."""

    async def report_usage(self, credentials: Credentials, report: Report) -> Result[None, Problem]:
        """Report the usage of a window."""

    async def order_endpoints(
        self, credentials: Credentials, order: EndpointOrder
    ) -> Result[None, Problem]:
        """Order endpoints; OVERLOADED if there are none to be had now."""
