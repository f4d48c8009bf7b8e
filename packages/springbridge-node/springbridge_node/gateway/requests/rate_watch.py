"""Takes the rate that an endpoint names from each of its answers."""

from collections.abc import Callable

from springbridge.rates.rate_table import RateTable
from springbridge.rates.statements import (
    StatedRate,
    Statement,
    is_literal,
    is_readable,
    rate_of,
)
from springbridge.routing.records import EndpointEntry

from springbridge_node import logs
from springbridge_node.gateway.peers.rate_sharing import RateSharing
from springbridge_node.gateway.requests.request_codec import Verdict

# Values that are not kept to as they stand and are remembered, so that each is logged once. It
# bounds memory and log for an endpoint that sends ever new ones.
MOST_LOGGED = 100


class RateWatch:
    """Notes what answers say of rates."""

    def __init__(self, table: RateTable, sharing: RateSharing, clock: Callable[[], float]) -> None:
        """Keep the parts."""
        self._table = table
        self._sharing = sharing
        self._clock = clock
        self._logged: set[tuple[str, str]] = set()

    def heard(self, entry: EndpointEntry, verdict: Verdict, sent_s: float) -> None:
        """Note what the head of an answer says.

        Args:
          entry: The endpoint that the request was sent to.
          sent_s: When it was sent.
        """
        stated = verdict.rate
        if verdict.other_endpoint or (stated == StatedRate() and not len(self._table)):
            return
        if not is_literal(stated):
            self._log_not_literal(entry, stated)
        if is_readable(stated):
            told = Statement(rate_of(stated), sent_s, self._clock())
            self._sharing.heard(entry.incarnation, told)

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
