"""Runs requests that are not repeatable at most once, also when callers retry them elsewhere.

Each request id has a home, the one node that may run the request and that may promise that it was
not run. Other nodes relay the home's answer. See springbridge.classes.binding for the record and
docs/design/at-most-once.md for the reasons. Owns the tasks of requests that continue after their
caller has disconnected.
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
from springbridge_node.class_router.requests.home_lookup import HOME_UNREACHABLE, HomeLookup
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
        """Store the dependencies.

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

    def refusal_for(self, request_id: RequestId | None, owner: str, problem: Problem) -> Problem:
        """Return the problem to answer with when a request is refused without being run here.

        Only the home of an id can promise that the request was not run. It keeps that promise by
        refusing every later request under the id. Any other node answers OUTCOME_UNKNOWN.
        """
        if request_id is None or not problem.not_run:
            return problem
        at_home = request_id.home == self._membership.me.incarnation
        if at_home and self._bindings.refuse(request_id, owner):
            return problem
        return as_outcome_unknown(problem)

    def serve(self, work: Work, request_id: RequestId, owner: str) -> Result[Answer, Problem]:
        """Return the request's answer, which retries share; it continues without its caller."""
        match self._bindings.admit(request_id, owner):
            case Failure(problem):
                return Failure(problem)
            case Success(record):
                return self._answer_for(record, work, request_id, owner)

    def _answer_for(
        self, record: Record, work: Work, request_id: RequestId, owner: str
    ) -> Result[Answer, Problem]:
        """Return the answer of a record, and start its work if that has not been done yet."""
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
        task = asyncio.create_task(self._find_home_and_run(record, work, request_id, owner, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return Success(answer)

    async def _find_home_and_run(
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
                        problem = await self._resume_at_endpoints(work, answer)
        finally:
            if not answer.ended:
                self._bindings.finish(request_id.text, problem)
                answer.end(problem)

    async def run_repeatable(
        self, work: Work, request_id: RequestId, owner: str, answer: Answer
    ) -> None:
        """Run a repeatable request that came with an id.

        The id only decides whether a failure may say that the request was not run.
        """
        if request_id.home != self._membership.me.incarnation:
            await self._runner.run(work, answer, as_outcome_unknown)
            return
        match self._bindings.open_repeatable(request_id, owner):
            case Failure(problem):
                answer.end(problem)
                return

        def settle(problem: Problem | None) -> Problem | None:
            promise_holds = self._bindings.close_repeatable(request_id.text, problem)
            return problem if promise_holds else as_outcome_unknown(problem)

        await self._runner.run(work, answer, settle)

    async def _relay(self, home: str, work: Work, answer: Answer) -> Problem | None:
        """Relay the answer from its home; if the home is lost, try to resume at the endpoints."""
        member = self._membership.find(home)
        if member is not None:
            try:
                return await follow_at_home(member.peer_address, home, answer, self._metadata)
            except HOME_LOST:
                # The home is gone or unreachable. An endpoint may still have the answer; the
                # request ends with what is found there, and its code is logged.
                pass
        return await self._resume_at_endpoints(work, answer)

    async def _resume_at_endpoints(self, work: Work, answer: Answer) -> Problem | None:
        """Resume the request's stream by its id at whichever endpoint has it; never start it."""
        for endpoint in work.endpoints():
            if endpoint.kind is not EndpointKind.MODEL:
                continue
            if await self._runner.resume(endpoint, work.request, answer):
                return None
        return HOME_UNREACHABLE


def as_outcome_unknown(problem: Problem | None) -> Problem | None:
    """Turn NOT_RUN into OUTCOME_UNKNOWN: only the home of an id knows that nothing ran under it."""
    if problem is None or not problem.not_run:
        return problem
    detail = f"refused here ({problem.code.name}), and it may have run under this id"
    return Problem(Code.OUTCOME_UNKNOWN, detail, "", problem.retry_after_s)
