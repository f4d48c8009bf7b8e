"""Logs and counts the permits that requests asked for under endpoints' rate limits."""

from springbridge.rates.grants import Grant
from springbridge.routing.records import EndpointEntry

from springbridge_node import logs
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.telemetry import Telemetry

# Results of asking for a permit; values in logs and metrics.
GRANTED = "granted"
SPENT = "rate spent"
SILENT = "granter silent"


class RateGateLog:
    """Logs by request id which rate limits held a request back."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Keep the metrics."""
        self._telemetry = telemetry

    def permit_answered(
        self, exchange: Exchange, entry: EndpointEntry, grant: Grant | None
    ) -> None:
        """Count the result of asking for a permit, and log it unless it was granted.

        Args:
          grant: The granter's answer, None if it did not answer.
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
        """Count a request that is refused because its endpoints' rate limits are exhausted."""
        self._telemetry.rate_refusals.inc()
