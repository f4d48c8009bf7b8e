"""Finds the home of a request, the one node that may run it, and answers others that look for it.

The home is the incarnation that the request's id names. An id without one is claimed in the
platform's table. A home that never saw the request hands it over to the node that asks and says
so to all others from then on. See springbridge.classes.binding for the record.
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

# Longest wait for a home's answer about a request. After it the endpoints are asked.
HOME_PATIENCE_S = 1.0
# Homes that are asked one after another when each says that the request moved on. A request moves
# when a home that never saw it hands it over, so more than one move is rare.
MOST_MOVES = 3
# When a caller may ask again about a request whose home is silent.
UNKNOWN_RETRY_S = 2.0
UNKNOWN = Problem(
    Code.OUTCOME_UNKNOWN, "the request's home cannot be asked", retry_after_s=UNKNOWN_RETRY_S
)


class HomeLookup:
    """Asks other nodes about requests, and answers them about those that this node is home of."""

    def __init__(
        self,
        membership: Membership,
        bindings: RequestRecords,
        store: TableStore,
        send: Callable[[str, Message], None],
    ):
        """Keep the ports; no question is open yet."""
        self._membership = membership
        self._bindings = bindings
        self._store = store
        self._send = send
        self._calls: dict[str, asyncio.Future[HandOverReply]] = {}
        self._numbers = itertools.count(1)

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
        for _ in range(MOST_MOVES):
            if home == me:
                return Success(me)
            match await self._ask_home(home, request_id, owner):
                case Failure(problem):
                    return Failure(problem)
                case Success(reply):
                    if reply.stage != Stage.MOVED:
                        return _home_from(reply, home)
                    home = reply.moved_to
        return Failure(UNKNOWN)

    async def _claim(self, request_id: RequestId) -> Result[str, Problem]:
        """Return the node that has the claim on an id without a home."""
        claimed = await self._store.claim(request_id.text, self._membership.me.incarnation)
        return claimed.alt(_table_silent)

    async def _ask_home(
        self, home: str, request_id: RequestId, owner: str
    ) -> Result[HandOverReply, Problem]:
        """Ask a home what became of a request."""
        if self._membership.find(home) is None:
            return Failure(UNKNOWN)
        me = self._membership.me.incarnation
        call_id = f"{me}/{next(self._numbers)}"
        call = self._calls[call_id] = asyncio.get_running_loop().create_future()
        self._send(home, HandOver(call_id, me, home, request_id.text, owner))
        try:
            async with asyncio.timeout(HOME_PATIENCE_S):
                return Success(await call)
        except TimeoutError:
            return Failure(UNKNOWN)
        finally:
            del self._calls[call_id]

    def take_reply(self, reply: HandOverReply) -> None:
        """Take in a home's answer; one that comes too late is dropped."""
        call = self._calls.get(reply.call_id)
        if call is not None and not call.done():
            call.set_result(reply)

    def answer_hand_over(self, ask: HandOver, request_id: RequestId) -> None:
        """Answer a node that holds a retry of a request that this node may be home of."""
        if ask.home != self._membership.me.incarnation:
            return
        match self._bindings.hand_over(request_id, ask.owner, ask.node):
            case Success(record):
                reply = HandOverReply(ask.call_id, int(record.stage), record.moved_to, Code.OK)
            case Failure(problem):
                reply = HandOverReply(ask.call_id, int(Stage.REFUSED), "", problem.code)
        self._send(ask.node, reply)


def _table_silent(problem: Problem) -> Problem:
    """Return the problem for an id without a home while the platform's table does not answer."""
    detail = "the table, which tells who runs it, does not answer"
    return Problem(Code.OUTCOME_UNKNOWN, detail, "", problem.retry_after_s)


def _home_from(reply: HandOverReply, home: str) -> Result[str, Problem]:
    """Return the home that has the answer, or the problem that its reply stands for."""
    if reply.stage == Stage.REFUSED:
        code = reply.code if reply.code is not Code.OK else Code.REFUSED_BEFORE
        return Failure(Problem(code))
    return Success(home)
