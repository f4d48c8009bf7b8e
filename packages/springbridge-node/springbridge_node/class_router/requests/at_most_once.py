"""Requests that are not repeatable: found, handed over, relayed or run by their home.

See springbridge.classes.binding for the record and docs/design/at-most-once.md for the reasons.
"""

import asyncio
import itertools
from collections.abc import Callable

from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Failure, Result, Success
from springbridge.classes.binding import Bindings, Record, Stage
from springbridge.classes.entities import EndpointKind
from springbridge.classes.ports import TableStore
from springbridge.classes.request_ids import RequestId
from springbridge.classes.stream import Chunk, StreamCheck
from springbridge.codes import Code
from springbridge.membership import Membership
from springbridge.problems import Problem

from springbridge_node.class_router.peers.messages import HandOver, HandOverReply, Message
from springbridge_node.class_router.peers.peer_links import open_channel
from springbridge_node.class_router.peers.proto import peer_pb2
from springbridge_node.class_router.peers.proto.peer_grpc import PeerStub
from springbridge_node.class_router.requests.growing_answers import Answer, KeptAnswers
from springbridge_node.class_router.requests.runner import Runner
from springbridge_node.class_router.requests.work import Work

# Longest wait for a home's answer about a request. Not measured; after it the endpoints are asked.
HOME_PATIENCE_S = 1.0
# Longest silence of a home whose answer is relayed. Not measured. A call to a plain service may be
# silent for longer; the retry that is relayed then ends with OUTCOME_UNKNOWN and may ask again.
RELAY_STALL_S = 10.0
# Homes that are asked one after another when each says that the request moved on. A request moves
# when a home that never saw it hands it over, so more than one move is rare. Not measured.
MOST_MOVES = 3
# When a caller may ask again about a request whose home is silent. Not measured.
UNKNOWN_RETRY_S = 2.0
UNKNOWN = Problem(
    Code.OUTCOME_UNKNOWN, "the request's home cannot be asked", retry_after_s=UNKNOWN_RETRY_S
)


class Home:
    """This node as the home of requests, and as one that asks other homes."""

    def __init__(
        self,
        membership: Membership,
        bindings: Bindings,
        answers: KeptAnswers,
        runner: Runner,
        store: TableStore,
        send: Callable[[str, Message], None],
        metadata: dict[str, str],
    ):
        """Keep the ports.

        Args:
          metadata: Token and incarnation for calls to peers.
        """
        self._membership = membership
        self._bindings = bindings
        self._answers = answers
        self._runner = runner
        self._store = store
        self._send = send
        self._metadata = metadata
        self._calls: dict[str, asyncio.Future[HandOverReply]] = {}
        self._numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()

    def promised(self, request_id: RequestId | None, owner: str, problem: Problem) -> Problem:
        """Return the problem with which a request may be refused without being run here.

        Only the home of an id can promise that the request was not run, and it then keeps the
        promise by refusing the id for ever. Any other node says that it does not know.
        """
        if request_id is None or not problem.not_run:
            return problem
        at_home = request_id.home == self._membership.me.incarnation
        if at_home and self._bindings.refuse(request_id, owner):
            return problem
        return unknown_because(problem)

    def serve(self, work: Work, request_id: RequestId, owner: str) -> Result[Answer, Problem]:
        """Return the one answer of a request; its work goes on when the caller goes away."""
        match self._bindings.admit(request_id, owner):
            case Failure(problem):
                return Failure(problem)
            case Success(record):
                return self._answer(record, work, request_id, owner)

    def _answer(
        self, record: Record, work: Work, request_id: RequestId, owner: str
    ) -> Result[Answer, Problem]:
        """Return the answer of a record, and start its work if nobody has yet."""
        kept = self._answers.find(request_id.text)
        if kept is not None and record.stage is not Stage.REFUSED:
            return Success(kept)
        if record.stage is Stage.REFUSED:
            return Failure(Problem(Code.REFUSED_BEFORE))
        if record.stage is Stage.FINISHED:
            return Failure(record.problem or Problem(Code.ANSWER_NOT_KEPT))
        record.fresh = False
        answer = Answer(request_id.text)
        self._answers.keep(answer)
        task = asyncio.create_task(self._work(record, work, request_id, owner, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return Success(answer)

    async def _work(
        self, record: Record, work: Work, request_id: RequestId, owner: str, answer: Answer
    ) -> None:
        """Find out who is home, then run the request here or relay its answer."""
        problem: Problem | None = Problem(Code.INTERNAL)
        try:
            found = await self._find_home(record, request_id, owner)
            match found:
                case Success(home) if home == self._membership.me.incarnation:
                    await self._runner.run(work, answer)
                    return
                case Success(home):
                    problem = await self._relay(home, work, answer)
                case Failure(failure):
                    problem = failure
                    if failure.code is Code.OUTCOME_UNKNOWN:
                        problem = await self._ask_endpoints(work, answer)
        finally:
            if not answer.ended:
                self._bindings.finish(request_id.text, problem)
                answer.end(problem)

    async def run_repeatable(
        self, work: Work, request_id: RequestId, owner: str, answer: Answer
    ) -> None:
        """Run a repeatable request whose caller named it; the id is for its promises only."""
        if request_id.home != self._membership.me.incarnation:
            await self._runner.run(work, answer, unknown_because)
            return
        match self._bindings.open_repeatable(request_id, owner):
            case Failure(problem):
                answer.end(problem)
                return

        def settled(problem: Problem | None) -> Problem | None:
            stands = self._bindings.close_repeatable(request_id.text, problem)
            return problem if stands else unknown_because(problem)

        await self._runner.run(work, answer, settled)

    async def _find_home(
        self, record: Record, request_id: RequestId, owner: str
    ) -> Result[str, Problem]:
        """Return the incarnation that runs or ran the request, this one if it may run it now."""
        me = self._membership.me.incarnation
        home = record.moved_to or request_id.home
        if not home:
            match await self._store.claim(request_id.text, me):
                case Failure(problem):
                    detail = "the table, which tells who runs it, does not answer"
                    unknown = Problem(Code.OUTCOME_UNKNOWN, detail, "", problem.retry_after_s)
                    return Failure(unknown)
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
        """Take in a home's answer."""
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

    async def _relay(self, home: str, work: Work, answer: Answer) -> Problem | None:
        """Relay the answer from its home, and ask the endpoints if the home breaks off."""
        member = self._membership.find(home)
        if member is not None:
            try:
                return await self._attach(member.peer_address, home, answer)
            except (OSError, TimeoutError, GRPCError, StreamTerminatedError, ConnectionError):
                # The home is gone or cut off. The endpoints may still have the answer; what they
                # say ends the request, and its code is logged.
                pass
        return await self._ask_endpoints(work, answer)

    async def _attach(self, address: str, home: str, answer: Answer) -> Problem | None:
        """Follow the answer at its home to its end."""
        check = StreamCheck(answer.request_id, answer.offset)
        request = peer_pb2.AttachRequest(
            home=home, request_id=answer.request_id, offset=answer.offset
        )
        async with open_channel(address) as channel:
            stub = PeerStub(channel)
            async with stub.Attach.open(metadata=self._metadata) as stream:
                await stream.send_message(request, end=True)
                while True:
                    async with asyncio.timeout(RELAY_STALL_S):
                        part = await stream.recv_message()
                    if part is None:
                        raise ConnectionError("the home broke off")
                    if part.last:
                        return _end(part)
                    piece = Chunk(answer.request_id, part.offset, part.tokens, part.text, False)
                    match check.accept(piece):
                        case Success(Chunk() as fresh):
                            answer.add(fresh)
                        case Failure(problem):
                            return problem

    async def _ask_endpoints(self, work: Work, answer: Answer) -> Problem | None:
        """Look for the request's stream at the endpoints it may be on; never run it."""
        for endpoint in work.endpoints():
            if endpoint.kind is not EndpointKind.MODEL:
                continue
            if await self._runner.resume(endpoint, work.request, answer):
                return None
        return UNKNOWN


def unknown_because(problem: Problem | None) -> Problem | None:
    """Return what a node tells that cannot say whether a request it refused has run."""
    if problem is None or not problem.not_run:
        return problem
    detail = f"refused here ({problem.code.name}), and it may have run under this id"
    return Problem(Code.OUTCOME_UNKNOWN, detail, "", problem.retry_after_s)


def _home_from(reply: HandOverReply, home: str) -> Result[str, Problem]:
    """Return the home that has the answer, or the problem that its reply stands for."""
    if reply.stage == Stage.REFUSED:
        code = reply.code if reply.code is not Code.OK else Code.REFUSED_BEFORE
        return Failure(Problem(code))
    return Success(home)


def _end(part: peer_pb2.AttachChunk) -> Problem | None:
    """Return how a relayed answer ended."""
    code = Code(part.code)
    return None if code is Code.OK else Problem(code, part.detail)
