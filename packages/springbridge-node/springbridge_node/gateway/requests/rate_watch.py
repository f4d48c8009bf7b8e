"""Notes the rates that endpoints name in their answers, and logs each change."""

from springbridge.rates.rate_table import RateChange, RateTable
from springbridge.rates.statements import (
    StatedRate,
    Statement,
    is_literal,
    is_readable,
    rate_of,
)
from springbridge.routing.records import EndpointEntry

from springbridge_node import clock, logs
from springbridge_node.gateway.requests.request_codec import Verdict

# Values that are not kept to as they stand and are remembered, so that each is logged once. It
# bounds memory and log for an endpoint that sends ever new ones.
MOST_LOGGED = 100


class RateWatch:
    """Takes in what answers and peers say of rates."""

    def __init__(self, table: RateTable) -> None:
        """Keep the table."""
        self._table = table
        self._logged: set[tuple[str, str]] = set()

    def heard(self, entry: EndpointEntry, verdict: Verdict, sent_s: float) -> None:
        """Note what the head of an answer says.

        Args:
          entry: The endpoint that the request was sent to.
          sent_s: When it was sent.
        """
        if verdict.other_endpoint:
            return
        stated = verdict.rate
        if stated.per_s is None and not stated.unreadable and not len(self._table):
            return
        if not is_literal(stated):
            self._log_not_literal(entry, stated)
        if not is_readable(stated):
            return
        told = Statement(rate_of(stated), sent_s, clock.now_s())
        change = self._table.take(entry.incarnation, told)
        if change is not None:
            _log_change(change, "answer", told)

    def _log_not_literal(self, entry: EndpointEntry, stated: StatedRate) -> None:
        """Log once that a value is ignored, or kept to as another one."""
        value = stated.unreadable or str(stated.per_s)
        seen = (entry.endpoint_id, value)
        if seen in self._logged or len(self._logged) >= MOST_LOGGED:
            return
        self._logged.add(seen)
        taken_as = rate_of(stated) if is_readable(stated) else "ignored"
        logs.event(
            "engine.rate_not_literal",
            engine=entry.endpoint_id,
            value=value,
            taken_as=taken_as,
        )


def _log_change(change: RateChange, source: str, told: Statement) -> None:
    """Log that a rate came, changed or ended.

    Args:
      source: "answer", or the address of the peer that told of it.
    """
    logs.event(
        "engine.rate_changed",
        engine=change.incarnation.endpoint_id,
        before=change.before,
        per_s=change.after,
        source=source,
        age_ms=round((clock.now_s() - told.received_s) * 1000),
    )
