"""Requests under an id that the caller may send again: run here, relayed, or never run.

Only the home of a request runs it if it is not repeatable, and only the home promises that it was
not run. See springbridge.classes.binding for the record and docs/design/at-most-once.md for the
reasons. Owns the tasks of requests whose work goes on when their caller goes away.
"""

import asyncio

from returns.result import Failure, Result, Success
from springbridge.classes.binding import Record, RequestRecords, Stage
from springbridge.classes.entities import EndpointKind
from springbridge.classes.request_ids import RequestId
from springbridge.codes import Code
from springbridge.membership import Membership
from springbridge.problems import Problem

from springbridge_node.class_router.requests.growing_answers import Answer, KeptAnswers
from springbridge_node.class_router.requests.home_lookup import UNKNOWN, HomeLookup
from springbridge_node.class_router.requests.home_relay import HOME_LOST, follow_at_home
from springbridge_node.class_router.requests.runner import Runner
from springbridge_node.class_router.requests.work import Work


class AtMostOnce:
    """Starts each request that is not repeatable at most once, wherever its retries arrive."""

    def __init__(
        self,
        membership: Membership,
        bindings: RequestRecords,
        answers: KeptAnswers,
        runner: Runner,
        lookup: HomeLookup,
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
        self._lookup = lookup
        self._metadata = metadata
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
        """Find the request's home, then run it here or relay its answer."""
        problem: Problem | None = Problem(Code.INTERNAL)
        try:
            match await self._lookup.find(record, request_id, owner):
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

    async def _relay(self, home: str, work: Work, answer: Answer) -> Problem | None:
        """Relay the answer from its home, and ask the endpoints if the home breaks off."""
        member = self._membership.find(home)
        if member is not None:
            try:
                return await follow_at_home(member.peer_address, home, answer, self._metadata)
            except HOME_LOST:
                # The home is gone or cut off. The endpoints may still have the answer; what they
                # say ends the request, and its code is logged.
                pass
        return await self._ask_endpoints(work, answer)

    async def _ask_endpoints(self, work: Work, answer: Answer) -> Problem | None:
        """Look for the request's stream at the endpoints it may be on; never run it."""
        for endpoint in work.endpoints():
            if endpoint.kind is not EndpointKind.MODEL:
                continue
            if await self._runner.resume(endpoint, work.request, answer):
                return None
        return UNKNOWN


def unknown_because(problem: Problem | None) -> Problem | None:
    """Turn "not run" into "unknown": only the home of an id knows that nothing ran under it."""
    if problem is None or not problem.not_run:
        return problem
    detail = f"refused here ({problem.code.name}), and it may have run under this id"
    return Problem(Code.OUTCOME_UNKNOWN, detail, "", problem.retry_after_s)
