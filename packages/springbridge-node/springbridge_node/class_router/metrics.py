"""Metrics by statsd; docs/OPERATIONS.md lists the names."""

from typing import Protocol

from statsd import StatsClient

PREFIX = "springbridge"


class Metrics(Protocol):
    """Recorder of counts and durations."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count an event."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Discards metrics; used if no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""


def connect(address: str) -> Metrics:
    """Return a recorder that sends to a statsd address over UDP, or discards if it is empty."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return StatsClient(host, int(port), prefix=PREFIX)
