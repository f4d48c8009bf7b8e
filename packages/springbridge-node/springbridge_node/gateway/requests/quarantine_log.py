"""Logs and counts the standing of requests that were running when endpoints crashed."""

from springbridge.quarantine import Verdict
from springbridge.routing.records import EndpointEntry

from springbridge_node import clock, logs
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.request_fingerprint import fingerprint_of
from springbridge_node.gateway.requests.request_log import shared_parts
from springbridge_node.gateway.telemetry import Telemetry


class QuarantineLog:
    """Logs by request id the crashes during which a request was running."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Keep the metrics."""
        self._telemetry = telemetry

    def crashed(
        self, exchange: Exchange, entry: EndpointEntry, found: Verdict, on_trial: bool
    ) -> None:
        """Log that an endpoint crashed while it ran a request of this instance."""
        self._telemetry.crashes.labels(found.standing.value).inc()
        logs.event(
            "request.crashed_engine",
            request_id=exchange.request_id,
            fingerprint=fingerprint_of(exchange),
            engine=entry.endpoint_id,
            born_ms=entry.born_ms,
            crashes=found.crashes,
            standing=found.standing.value,
            on_trial=on_trial,
            parts=shared_parts(exchange),
            wrote_ms=_wrote_ms(exchange),
        )

    def acquitted(self, exchange: Exchange, before: Verdict) -> None:
        """Log that an endpoint survived a request that was a suspect or in quarantine."""
        logs.event(
            "request.acquitted",
            request_id=exchange.request_id,
            fingerprint=fingerprint_of(exchange),
            crashes=before.crashes,
            standing=before.standing.value,
        )


def _wrote_ms(exchange: Exchange) -> int | None:
    """Return for how many milliseconds the endpoint has written events; None if it has not."""
    began_s = exchange.progress.answer_began_s
    return None if began_s is None else round((clock.now_s() - began_s) * 1000)
