"""Serves a request from its arrival to the end of its answer.

The steps: admit the request, select an endpoint, send (`endpoint_sender`); then either retry at
another endpoint or give up. The decisions are the rules of `springbridge.routing`; this module
calls them in order and contains no thresholds.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from returns.result import Failure, Success
from springbridge.problems import Problem
from springbridge.routing import giving_up, retries
from springbridge.routing.admission import admit
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.giving_up import FinalAnswer
from springbridge.routing.records import Demand
from springbridge.routing.retries import AttemptOutcome, Attempts

from springbridge_node import clock, logs
from springbridge_node.gateway.callers.answer import CallerAnswer, CallerGoneError
from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.requests.endpoint_sender import EndpointSender
from springbridge_node.gateway.requests.exchange import Exchange, Progress
from springbridge_node.gateway.requests.relay import relay_failure
from springbridge_node.gateway.requests.request_faults import log_fault, recording
from springbridge_node.gateway.requests.request_log import (
    CALLER_LEFT,
    SERVED,
    RequestOutcome,
)
from springbridge_node.gateway.requests.router_parts import RouterParts
from springbridge_node.gateway.requests.stage import Stage


class RequestRouter:
    """Serves requests; keeps no state between them but which are in progress."""

    def __init__(self, parts: RouterParts) -> None:
        """Keep the parts."""
        self._parts = parts
        self._sender = EndpointSender(parts)
        self._limits: set[asyncio.Timeout] = set()
        self._is_giving_up = False

    async def serve(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve one request; on return its answer has ended.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        try:
            await self._serve(request, answer)
        except CallerGoneError:
            raise
        except Exception as exc:
            # Nothing was sent: what happens to an admitted request is caught where that is known.
            logs.fault(exc, Stage.ADMIT.value)
            await _end_answer(answer, giving_up.when_fault_met(Attempts()))

    async def _serve(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve one request; see serve()."""
        arrival = self._parts.codec.read_arrival(request)
        match admit(self._parts.index(), arrival, self._parts.configuration_retry_after_s()):
            case Failure(problem):
                await self.refuse(request, answer, problem)
            case Success(admitted):
                demand = Demand.from_admitted(admitted, self._parts.failure_domain)
                exchange = Exchange(request, admitted, demand, answer, Progress())
                await self._serve_admitted(exchange)

    async def refuse(
        self, request: IncomingRequest, answer: CallerAnswer, problem: Problem
    ) -> None:
        """Refuse a request without admitting it, whatever the configuration allows."""
        arrival = self._parts.codec.read_arrival(request)
        self._parts.request_log.refused(arrival, problem, self._version())
        await answer.refuse(problem)

    def decide(self, request: IncomingRequest) -> Problem | float:
        """Return why a request is refused by its head, or its deadline on the monotonic clock."""
        arrival = self._parts.codec.read_arrival(request)
        match admit(self._parts.index(), arrival, self._parts.configuration_retry_after_s()):
            case Failure(problem):
                return problem
            case Success(admitted):
                return admitted.deadline_s

    def give_up_all(self) -> None:
        """Give up all requests in progress, as the instance stops: each gets its final answer."""
        self._is_giving_up = True
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(now_s)

    def _version(self) -> int:
        """Return the version of the configuration in force, 0 before the first."""
        index = self._parts.index()
        return index.configuration.version if index else 0

    async def _serve_admitted(self, exchange: Exchange) -> None:
        """Serve an admitted request, and log its outcome even if it fails or is cancelled."""
        outcome = CALLER_LEFT
        try:
            problem = await self._attempt_or_fault(exchange)
            outcome = (
                SERVED if problem is None else RequestOutcome(problem.code.name, problem.detail)
            )
            if problem is not None:
                await self._give_up_guarded(exchange, problem)
        finally:
            with recording(exchange):
                self._parts.request_log.ended(exchange, outcome, self._parts.registry.age_s())

    async def _attempt_or_fault(self, exchange: Exchange) -> Problem | None:
        """Serve an admitted request; see _attempt_until_deadline for what is returned."""
        try:
            self._parts.budget.record_request(exchange.demand.service)
            self._parts.usage.count_admitted(exchange.admitted)
            return await self._attempt_until_deadline(exchange)
        except CallerGoneError:
            raise
        except Exception as exc:
            log_fault(exchange, exc)
            return None if exchange.answer.ended else giving_up.when_fault_met(exchange.attempts())

    async def _attempt_until_deadline(self, exchange: Exchange) -> Problem | None:
        """Make attempts until the answer is complete, no attempt is left or the deadline passes.

        Returns:
          None once the answer is complete, else why it is not.
        """
        try:
            async with asyncio.timeout(exchange.admitted.deadline_s - clock.now_s()) as limit:
                with self._in_progress(limit):
                    return await self._make_attempts(exchange)
        except TimeoutError:
            if self._is_giving_up:
                return giving_up.at_end_of_grace(exchange.attempts())
            return giving_up.at_deadline(exchange.route, exchange.attempts())

    @contextlib.contextmanager
    def _in_progress(self, limit: asyncio.Timeout) -> Iterator[None]:
        """Let give_up_all() end the block, which has a time limit."""
        self._limits.add(limit)
        try:
            yield
        finally:
            self._limits.discard(limit)

    async def _make_attempts(self, exchange: Exchange) -> Problem | None:
        """Try one endpoint after another; see _attempt_until_deadline for what is returned."""
        route, progress = exchange.route, exchange.progress
        progress.stage = Stage.SELECT
        problem = await self._parts.streams.take_up(exchange)
        if problem is not None:
            return problem
        while True:
            progress.stage = Stage.SELECT
            left_out = progress.tried | progress.avoided | progress.without_place
            held_back = self._parts.rates.gate.held_back(exchange)
            selection = await self._parts.selector.select(
                exchange.demand, left_out, held_back, progress.version
            )
            if selection.overload is not None:
                return giving_up.when_overloaded(selection.overload)
            progress.last_resort = _may_be_leaving(selection.choice)
            progress.endpoint_id = (
                selection.choice.state.entry.endpoint_id if selection.choice else ""
            )
            progress.stage = Stage.GATE
            decision = await self._parts.gate.check(exchange, selection.choice)
            if decision.problem is not None:
                return decision.problem
            if not decision.may_send:
                continue
            with self._parts.gate.attempt(exchange, decision):
                outcome = await self._sender.send(exchange, selection.choice)
            if isinstance(outcome, Problem):
                return outcome
            if outcome is AttemptOutcome.DELIVERED:
                return None
            if outcome is not None and not retries.may_try_another(route, exchange.attempts()):
                return giving_up.after_failed_attempt(route, exchange.attempts(), outcome)

    async def _give_up_guarded(self, exchange: Exchange, problem: Problem) -> None:
        """End the answer of a request that is not retried, whatever its final answer meets."""
        exchange.progress.stage = Stage.GIVE_UP
        try:
            await self._give_up(exchange, problem)
        except CallerGoneError:
            raise
        except Exception as exc:
            log_fault(exchange, exc)
            await _end_answer(exchange.answer, giving_up.when_fault_met(exchange.attempts()))

    async def _give_up(self, exchange: Exchange, problem: Problem) -> None:
        """End the answer of a request that is not retried any more."""
        answer, failure = exchange.answer, exchange.progress.failure
        match giving_up.final_answer(problem, answer.started, failure is not None):
            case FinalAnswer.CUT_OFF:
                answer.abort()
            case FinalAnswer.HELD_FAILURE:
                await relay_failure(exchange, failure, self._parts.codec)
            case FinalAnswer.REFUSAL:
                await answer.refuse(problem)


async def _end_answer(answer: CallerAnswer, problem: Problem) -> None:
    """End an answer with the refusal for a problem; one that has begun can only be cut off.

    Raises:
      CallerGoneError: The caller has closed its connection.
    """
    if answer.ended:
        return
    if answer.started:
        answer.abort()
    else:
        await answer.refuse(problem)


def _may_be_leaving(choice: Choice | None) -> bool:
    """Return whether an endpoint was chosen although it has stated, or may have, that it leaves."""
    return choice is not None and choice.state.statements.leaving.first_heard_s is not None
