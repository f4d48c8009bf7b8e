"""Finds the home of a request, the one node that may run it, and answers such queries of peers.

The home is the incarnation named in the request's id. An id that names none is claimed in the
platform's table. A home that never received the request hands it over to the node that asks, and
from then on names that node to all others. See springbridge.classes.binding for the record.
"""

import asyncio
import itertools
from collections.abc import Callable

from returns.result import Failure, Result, Success
from springbridge.classes.binding import Record, RequestRecords, Stage
from springbridge.classes.ports import TableStore
from springbridge.classes.request_ids import RequestId
from springbridge.codes import Code
from springbridge.membership import Membership
from springbridge.problems import Problem

from springbridge_node.class_router.peers.messages import HandOver, HandOverReply, Message

# Timeout for a home's reply about a request. After it the endpoints are tried.
HOME_REPLY_TIMEOUT_S = 1.0
# Homes that are queried in turn when each replies that the request has moved. A request moves when
# a home that never received it hands it over, so more than one move is rare.
MAX_MOVES = 3
# Retry-After for a request whose home does not reply.
UNKNOWN_RETRY_S = 2.0
HOME_UNREACHABLE = Problem(
    Code.OUTCOME_UNKNOWN, "the request's home cannot be asked", retry_after_s=UNKNOWN_RETRY_S
)


class HomeLookup:
    """Queries other nodes for the home of a request, and answers their queries."""

    def __init__(
        self,
        membership: Membership,
        bindings: RequestRecords,
        store: TableStore,
        send: Callable[[str, Message], None],
    ):
        """Store the dependencies; no query is pending yet."""
        self._membership = membership
        self._bindings = bindings
        self._store = store
        self._send = send
        self._calls: dict[str, asyncio.Future[HandOverReply]] = {}
        self._call_numbers = itertools.count(1)

    async def find(self, record: Record, request_id: RequestId, owner: str) -> Result[str, Problem]:
        """Find the node that runs or ran a request.

        Args:
          owner: Customer and class of the sender.

        Returns:
          Its incarnation, this node's own if it may run the request now; OUTCOME_UNKNOWN where
          the home or the table does not answer; else why the home refused the request.
        """
        me = self._membership.me.incarnation
        home = record.moved_to or request_id.home
        if not home:
            match await self._claim(request_id):
                case Failure(problem):
                    return Failure(problem)
                case Success(claimed):
                    home = claimed
        for _ in range(MAX_MOVES):
            if home == me:
                return Success(me)
            match await self._query_home(home, request_id, owner):
                case Failure(problem):
                    return Failure(problem)
                case Success(reply):
                    if reply.stage != Stage.MOVED:
                        return _home_of_reply(reply, home)
                    home = reply.moved_to
        return Failure(HOME_UNREACHABLE)

    async def _claim(self, request_id: RequestId) -> Result[str, Problem]:
        """Return the node that holds the claim on an id that names no home."""
        claimed = await self._store.claim(request_id.text, self._membership.me.incarnation)
        return claimed.alt(_unknown_without_claim)

    async def _query_home(
        self, home: str, request_id: RequestId, owner: str
    ) -> Result[HandOverReply, Problem]:
        """Ask a home for the state of a request; HOME_UNREACHABLE if it does not reply."""
        if self._membership.find(home) is None:
            return Failure(HOME_UNREACHABLE)
        me = self._membership.me.incarnation
        call_id = f"{me}/{next(self._call_numbers)}"
        call = self._calls[call_id] = asyncio.get_running_loop().create_future()
        self._send(home, HandOver(call_id, me, home, request_id.text, owner))
        try:
            async with asyncio.timeout(HOME_REPLY_TIMEOUT_S):
                return Success(await call)
        except TimeoutError:
            return Failure(HOME_UNREACHABLE)
        finally:
            del self._calls[call_id]

    def complete_query(self, reply: HandOverReply) -> None:
        """Complete the pending query that a reply belongs to; a late reply is dropped."""
        call = self._calls.get(reply.call_id)
        if call is not None and not call.done():
            call.set_result(reply)

    def answer_hand_over(self, query: HandOver, request_id: RequestId) -> None:
        """Answer a node that received a retry of a request whose home this node may be."""
        if query.home != self._membership.me.incarnation:
            return
        match self._bindings.hand_over(request_id, query.owner, query.node):
            case Success(record):
                reply = HandOverReply(query.call_id, int(record.stage), record.moved_to, Code.OK)
            case Failure(problem):
                reply = HandOverReply(query.call_id, int(Stage.REFUSED), "", problem.code)
        self._send(query.node, reply)


def _unknown_without_claim(problem: Problem) -> Problem:
    """Return the problem for an id that names no home while the platform's table is unavailable."""
    detail = "the table, which tells who runs it, does not answer"
    return Problem(Code.OUTCOME_UNKNOWN, detail, "", problem.retry_after_s)


def _home_of_reply(reply: HandOverReply, home: str) -> Result[str, Problem]:
    """Return the home that has the answer, or the problem for a reply that refuses the request."""
    if reply.stage == Stage.REFUSED:
        code = reply.code if reply.code is not Code.OK else Code.REFUSED_BEFORE
        return Failure(Problem(code))
    return Success(home)
