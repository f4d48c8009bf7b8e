"""Records what endpoints state about themselves in the heads of their answers.

A statement is a rate limit, a request for rest (for no requests during some seconds) or the
announcement that the endpoint leaves. Any answer may carry one, whatever its status.

An endpoint that restarts under its id answers before the list names its new run. Its statements are
recorded for the run that was listed when the request was sent, and hold for the new run as well if
the connection may lead to it (attribution.py).
"""

from collections.abc import Callable

from springbridge.rates.rate_table import RateTable
from springbridge.rates.statements import StatedRate, Statement, is_readable, rate_of
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry

from springbridge_node.gateway.peers.statement_changes_log import ANSWER, log_leaving
from springbridge_node.gateway.peers.statement_sharing import StatementSharing
from springbridge_node.gateway.requests.request_codec import AnswerMetadata
from springbridge_node.gateway.requests.statement_log import StatementLog


class StatementWatch:
    """Records statements in the registry and the rate table, and shares them with peers.

    Attributes:
      on_rejections: Called with an endpoint, the rejections that its answer says it can stand, and
        the time when the request was sent.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        rates: RateTable,
        sharing: StatementSharing,
        log: StatementLog,
        clock: Callable[[], float],
    ) -> None:
        """Keep the parts."""
        self._registry = registry
        self._rates = rates
        self._sharing = sharing
        self._log = log
        self._clock = clock
        self.on_rejections: Callable[[EndpointEntry, StatedRate, float], None] = _ignore

    def record(
        self,
        entry: EndpointEntry,
        request_id: str,
        metadata: AnswerMetadata,
        sent_s: float,
        opened_s: float,
    ) -> None:
        """Record the statements in the head of an answer.

        Args:
          entry: The endpoint that the request was sent to.
          request_id: Id of the answered request, for the log.
          sent_s: When the request was sent, on the monotonic clock.
          opened_s: When its connection was opened, on the same clock.
        """
        if metadata.other_endpoint:
            return
        statements = metadata.statements
        self._log.not_understood(entry, statements)
        self._record_rate(entry, statements.rate, sent_s)
        self.on_rejections(entry, statements.rejections, sent_s)
        if statements.leaves:
            self._record_leaving(entry, request_id, opened_s)
        if statements.rest_s is None:
            self._registry.statements.asked_no_rest(entry.incarnation, sent_s)
        else:
            rest = self._registry.mark_resting(entry.incarnation, statements.rest_s, opened_s)
            self._sharing.on_rest(entry.incarnation, statements.rest_s)
            self._log.asks_rest(entry, request_id, statements.rest_s, rest.until_s - self._clock())

    def _record_rate(self, entry: EndpointEntry, stated: StatedRate, sent_s: float) -> None:
        """Record the rate limit that an answer states, or that it states none."""
        if stated == StatedRate() and not len(self._rates):
            return
        if is_readable(stated):
            statement = Statement(rate_of(stated), sent_s, self._clock())
            self._sharing.on_statement(entry.incarnation, statement)

    def _record_leaving(self, entry: EndpointEntry, request_id: str, opened_s: float) -> None:
        """Record that an endpoint leaves, and share it with peers if it is new."""
        if self._registry.mark_leaving(entry.incarnation, opened_s):
            log_leaving(entry.incarnation, ANSWER, request_id)
            self._sharing.on_leaving(entry.incarnation)


def _ignore(entry: EndpointEntry, stated: StatedRate, sent_s: float) -> None:
    """Ignore a statement of rejections."""
