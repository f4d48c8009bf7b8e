"""Logs and counts the permits that requests asked for."""

from springbridge.rates.grants import Grant
from springbridge.routing.records import EndpointEntry

from springbridge_node import logs
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.telemetry import Telemetry

# What became of a question for a permit; values of logs and metrics.
GRANTED = "granted"
SPENT = "rate spent"
SILENT = "granter silent"


class RateGateLog:
    """Writes the lines by which a request's id leads to the rates that held it back."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Keep the metrics."""
        self._telemetry = telemetry

    def asked(self, exchange: Exchange, entry: EndpointEntry, grant: Grant | None) -> None:
        """Count a question, and log it unless it was granted.

        Args:
          grant: The granter's answer, None if none came.
        """
        if grant is not None and grant.granted:
            self._telemetry.permits.labels(GRANTED).inc()
            return
        reason = SILENT if grant is None else SPENT
        self._telemetry.permits.labels(reason).inc()
        logs.event(
            "request.held_back",
            request_id=exchange.request_id,
            engine=entry.endpoint_id,
            reason=reason,
            wait_ms=0 if grant is None else round(grant.wait_s * 1000),
        )

    def refused(self) -> None:
        """Count a request that is refused since the rates of its endpoints are spent."""
        self._telemetry.rate_refusals.inc()
