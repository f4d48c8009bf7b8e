"""Port: counts requests for the platform's usage reports."""

from typing import Protocol

from springbridge.routing.records import Admitted


class UsageMeter(Protocol):
    """Counts requests and runs; the calls do not block."""

    def count_admitted(self, admitted: Admitted) -> None:
        """Count the work of an admitted request, before it is sent to any endpoint."""

    def count_run(self, admitted: Admitted) -> None:
        """Count a run of a request that an endpoint has started."""


class NullUsageMeter:
    """Counts nothing; used by instances that report no usage."""

    def count_admitted(self, admitted: Admitted) -> None:
        """Ignore a request."""

    def count_run(self, admitted: Admitted) -> None:
        """Ignore a run."""
