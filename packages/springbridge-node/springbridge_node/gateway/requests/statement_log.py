"""Logs endpoints' requests for rest, and what is not understood of their statements.

A value that is not understood is logged once for each endpoint. Endpoints may send ever new values,
so what was logged is remembered up to a bound; after that no new value is logged, and only the
metrics go on counting.
"""

from springbridge.rates.statements import StatedRate, is_literal, is_readable, rate_of
from springbridge.routing.records import EndpointEntry
from springbridge.statements.answer_statements import AnswerStatements

from springbridge_node import logs
from springbridge_node.gateway.telemetry import Telemetry

# Logged values and header names that are remembered, so that each is logged once for each endpoint.
# Bounds the memory and the log.
MAX_LOGGED_VALUES = 100
# Unknown headers that are counted under their own names; further ones are counted together. Bounds
# the labels of the metric.
MAX_COUNTED_HEADERS = 30
OTHERS = "others"


class StatementLog:
    """Logs and counts statements in answers."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Keep the metrics."""
        self._telemetry = telemetry
        self._logged: set[tuple[str, str, str]] = set()
        self._counted: set[str] = set()

    def asks_rest(
        self, entry: EndpointEntry, request_id: str, rest_s: float, left_s: float
    ) -> None:
        """Log that an endpoint has refused a request and asked for rest.

        Args:
          rest_s: The rest that it asked for, in seconds.
          left_s: Seconds until this instance sends it a request again.
        """
        self._telemetry.rests.inc()
        logs.event(
            "engine.asks_rest",
            engine=entry.endpoint_id,
            born_ms=entry.born_ms,
            request_id=request_id,
            rest_s=rest_s,
            left_ms=round(left_s * 1000),
        )

    def not_understood(self, entry: EndpointEntry, statements: AnswerStatements) -> None:
        """Log each statement that is ignored or interpreted as a different value, once."""
        if not is_literal(statements.rate):
            self._rate_not_literal(entry, statements.rate)
        for each in statements.unreadable:
            if self._is_new(entry, each.header, each.value):
                logs.event(
                    "engine.statement_unreadable",
                    engine=entry.endpoint_id,
                    header=each.header,
                    value=each.value,
                )
        for name in statements.unknown:
            self._count_unknown(name)
            if self._is_new(entry, name, ""):
                logs.event("engine.unknown_header", engine=entry.endpoint_id, header=name)

    def _rate_not_literal(self, entry: EndpointEntry, stated: StatedRate) -> None:
        """Log once that a rate limit is ignored or interpreted as a different one."""
        value = stated.unreadable or str(stated.per_s)
        if not self._is_new(entry, "rate", value):
            return
        taken_as = rate_of(stated) if is_readable(stated) else "ignored"
        logs.event(
            "engine.rate_not_literal", engine=entry.endpoint_id, value=value, taken_as=taken_as
        )

    def _count_unknown(self, name: str) -> None:
        """Count an unknown header, by its name while there are few, else among the others."""
        if name not in self._counted and len(self._counted) >= MAX_COUNTED_HEADERS:
            name = OTHERS
        self._counted.add(name)
        self._telemetry.unknown_headers.labels(name).inc()

    def _is_new(self, entry: EndpointEntry, header: str, value: str) -> bool:
        """Return whether a value has to be logged, and remember it.

        Returns False if it was logged before or the bound is reached.
        """
        seen = (entry.endpoint_id, header, value)
        if seen in self._logged or len(self._logged) >= MAX_LOGGED_VALUES:
            return False
        self._logged.add(seen)
        return True
