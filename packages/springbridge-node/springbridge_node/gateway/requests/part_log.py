"""Logs and counts the standing of parts of prompts that were running when endpoints crashed."""

from collections.abc import Iterable

from springbridge.part_quarantine import PartVerdict
from springbridge.routing.records import EndpointEntry

from springbridge_node import logs
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.request_log import shared_parts
from springbridge_node.gateway.telemetry import Telemetry


class PartLog:
    """Logs by request id what becomes of the parts of its prompt."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Keep the metrics."""
        self._telemetry = telemetry

    def crashed(
        self, exchange: Exchange, entry: EndpointEntry, found: PartVerdict, counted: Iterable[str]
    ) -> None:
        """Log a crash that counts against parts of a prompt.

        Args:
          found: The verdict on the request after the crash.
          counted: Keys of the parts that the crash counts against; an answer of the last seconds
            speaks for the others.
        """
        logs.event(
            "parts.crashed_engine",
            request_id=exchange.request_id,
            engine=entry.endpoint_id,
            born_ms=entry.born_ms,
            parts=shared_parts(exchange),
            counted=sorted(counted),
            suspects=sorted(found.suspects),
            crashes=found.crashes,
            standing=found.standing.value,
            on_trial=sorted(exchange.progress.parts_on_trial),
        )

    def on_trial(self, exchange: Exchange, endpoint_id: str, found: PartVerdict) -> None:
        """Log that a request is sent as a trial of parts of its prompt."""
        logs.event(
            "parts.on_trial",
            request_id=exchange.request_id,
            engine=endpoint_id,
            parts=shared_parts(exchange),
            suspects=sorted(found.suspects),
            crashes=found.crashes,
            standing=found.standing.value,
        )

    def cleared(self, exchange: Exchange, key: str, crashes: int) -> None:
        """Log that an answer cleared a part that was a suspect."""
        logs.event(
            "parts.cleared",
            request_id=exchange.request_id,
            key=key,
            parts=shared_parts(exchange),
            crashes=crashes,
        )

    def refused(self) -> None:
        """Count a request that is refused for the parts of its prompt."""
        self._telemetry.part_refusals.inc()
