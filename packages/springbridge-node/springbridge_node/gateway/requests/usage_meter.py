"""Port of what counts requests for the platform's usage reports."""

from typing import Protocol

from springbridge.routing.records import Admitted


class UsageMeter(Protocol):
    """Counts requests; the calls return at once."""

    def sent(self, admitted: Admitted) -> None:
        """Count the work of a request that is to be sent to endpoints."""

    def began(self, admitted: Admitted) -> None:
        """Count a run of a request that an endpoint began."""


class NoUsage:
    """Counts nothing, where no usage is reported."""

    def sent(self, admitted: Admitted) -> None:
        """Pass over a request."""

    def began(self, admitted: Admitted) -> None:
        """Pass over a run."""
