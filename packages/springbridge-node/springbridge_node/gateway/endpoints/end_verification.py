"""Determines how an answer ended whose end only its connection marks.

The kernel closes the connections of a process that ends in order, as the process itself does at the
end of an answer. But it closes all of them. So a connection to the same endpoint that stays open
shows that the process runs, and that the end was its own; without one, a new connection tells.
"""

import asyncio

from springbridge.routing.endpoint_state import EndpointState

from springbridge_node import clock
from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation, ProcessState
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.answer_end import AnswerEnd
from springbridge_node.gateway.http.http_connection import HttpConnection

# Seconds within which the ends of all connections of a process arrive, once one of them has.
ENDS_ARRIVE_WITHIN_S = 0.002
# Seconds to wait for the result of a new connection, while only the end of the answer waits. Longer
# than a connection may take to come up, directly or through a peer, so that its own result decides.
CONNECT_WITHIN_S = 0.7

ENDS = {
    ProcessState.RUNS: AnswerEnd.ACCEPTS,
    ProcessState.ENDED: AnswerEnd.REFUSES,
    ProcessState.SILENT: AnswerEnd.SILENT,
    ProcessState.EXEMPT: AnswerEnd.CLOSED,
}


class EndVerification:
    """Verifies ends of answers by other connections to their endpoints."""

    def __init__(self, pool: ConnectionPool, confirmation: CrashConfirmation) -> None:
        """Keep the parts."""
        self._pool = pool
        self._confirmation = confirmation

    async def verify(
        self, state: EndpointState, connection: HttpConnection, sent_s: float
    ) -> AnswerEnd:
        """Return how an answer ended on a connection that has just been closed in order.

        CLOSED means that its end would tell nothing, as of an endpoint that leaves: its planned end
        may follow its last answer at once.

        Args:
          sent_s: When the request was sent, on the clock of `clock.now_s`.
        """
        if not connection.through:
            ended_s = clock.now_s()
            await asyncio.sleep(ENDS_ARRIVE_WITHIN_S)
            if self._pool.has_open(state.entry.incarnation, ended_s):
                return AnswerEnd.OTHERS_OPEN
        found = await self._confirmation.process_state(state, sent_s, CONNECT_WITHIN_S)
        return ENDS[found]
