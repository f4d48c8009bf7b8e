"""Verifies the end of an answer that only its connection marks, by a sign of the run that sent it.

A health check is sent to that run on a new connection once the end has been seen, so that its
answer shows that the run went on after the end. Only the end mark of the answer waits for that.
`springbridge.routing.run_signs` says what an answer shows.
"""

import asyncio
import contextlib
from dataclasses import dataclass

from springbridge.routing.records import EndpointEntry, Service
from springbridge.routing.run_signs import RunSign, sign_of

from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation
from springbridge_node.gateway.endpoints.health_checks import HealthCheckCodec
from springbridge_node.gateway.endpoints.pool import Connect, ConnectionPool
from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.http.http_connection import ConnectFailedError, HttpConnection
from springbridge_node.gateway.http.http_head import Head

# Seconds to wait for a sign, while only the end of the answer waits. Above what a check waits for a
# slot of a full endpoint, and below the 2 s of silence after which callers give a stream up.
LIMIT_S = 1.0
# Seconds after which a check that got no answer is repeated: an endpoint resets connections beyond
# those that it takes.
PAUSE_S = 0.05
# Bytes of the body of an answer to a check, and seconds to wait for them, beyond which its
# connection is closed instead of used again.
MAX_BODY_BYTES = 64 << 10
BODY_TIMEOUT_S = 0.05

# How an answer ended, by what is known of its run since.
ENDS = {
    RunSign.SAME_RUN: AnswerEnd.RUN_GOES_ON,
    RunSign.OTHER_RUN: AnswerEnd.OTHER_RUN,
    RunSign.REFUSED: AnswerEnd.REFUSES,
    RunSign.NO_SIGN: AnswerEnd.SILENT,
}


@dataclass(frozen=True, slots=True)
class VerifiedEnd:
    """How an answer ended.

    Attributes:
      run_id: Id of the run that answered the check, as its answer names it; "" if it names none.
    """

    end: AnswerEnd
    run_id: str = ""


class EndVerification:
    """Verifies ends of answers by health checks to the runs that sent them."""

    def __init__(
        self,
        connect: Connect,
        pool: ConnectionPool,
        confirmation: CrashConfirmation,
        codec: HealthCheckCodec,
    ) -> None:
        """Keep the parts.

        Args:
          connect: Opens a connection for a check.
          pool: Gets the connections on which a check was answered.
          confirmation: Gets the endpoints that refused a connection.
        """
        self._connect = connect
        self._pool = pool
        self._confirmation = confirmation
        self._codec = codec

    async def verify(self, entry: EndpointEntry, service: Service) -> VerifiedEnd:
        """Return how an answer of an endpoint ended whose connection was just closed in order."""
        limit = asyncio.timeout(LIMIT_S)
        try:
            async with limit:
                return await self._verify_by_checks(entry, service)
        except TimeoutError:
            if limit.expired():
                return VerifiedEnd(ENDS[RunSign.NO_SIGN])
            raise

    async def _verify_by_checks(self, entry: EndpointEntry, service: Service) -> VerifiedEnd:
        """Send one check after another until one tells something; see verify()."""
        while True:
            try:
                return await self._check(entry, service)
            except AnswerBrokenError:
                # Whoever broke it off has not said which run it is.
                pass
            except ConnectFailedError as exc:
                if exc.refused:
                    self._confirmation.note_refusal(entry.incarnation)
                    return VerifiedEnd(ENDS[RunSign.REFUSED])
                # Otherwise the path or the endpoint may be back within the limit.
            await asyncio.sleep(PAUSE_S)

    async def _check(self, entry: EndpointEntry, service: Service) -> VerifiedEnd:
        """Return what the answer to one check tells.

        Raises:
          ConnectFailedError: No connection came up.
          AnswerBrokenError: No answer came, or what came is none.
        """
        conn = await self._connect(entry)
        try:
            conn.send(self._codec.health_check(entry, service), b"")
            head = await conn.read_head()
            answer = self._codec.check_answer(head)
            await self._keep(entry, conn, head)
        except BaseException:
            conn.abort()
            raise
        return VerifiedEnd(ENDS[sign_of(answer, entry.endpoint_id)], answer.run_id)

    async def _keep(self, entry: EndpointEntry, conn: HttpConnection, head: Head) -> None:
        """Keep the connection of a check for the next request, if it is fit for one."""
        # The head has told what the check is for; a connection without the whole body is closed.
        with contextlib.suppress(AnswerBrokenError, TimeoutError):
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await conn.read_whole_body(head, MAX_BODY_BYTES)
        if conn.may_be_kept and not conn.through:
            self._pool.add_idle(entry.incarnation, conn)
        else:
            conn.abort()
