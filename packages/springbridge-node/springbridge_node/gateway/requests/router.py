"""Serves a request from its arrival to the end of its answer.

Straight down: admit, choose an endpoint, send, pass the answer on; where that fails, decide whether
another endpoint may have it. What may not be repeated is sent on only after an endpoint's promise
that it has not run it. A request given up on is answered at once.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.admission import RouteIndex, admit
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Demand
from springbridge.routing.shared_retry_budget import SharedRetryBudget

from springbridge_node.gateway.callers.answer import CallerAnswer
from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.endpoints.pool import ConnectionPool, EndpointBusyError
from springbridge_node.gateway.http.http_connection import ConnectFailedError, HttpConnection
from springbridge_node.gateway.http.http_head import AnswerBrokenError
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.requests.endpoint_selector import EndpointSelector
from springbridge_node.gateway.requests.outcomes import (
    chosen_endpoint,
    is_repeatable,
    may_try_another,
    no_endpoint_problem,
    not_run_problem,
    overload_problem,
    problem_after,
)
from springbridge_node.gateway.requests.relay import (
    SERVER_ERROR,
    End,
    Exchange,
    HeldFailure,
    Progress,
    SilentError,
    read_own_head,
    read_whole,
    relay_events,
    relay_plain,
    send_held_failure,
    within,
)
from springbridge_node.gateway.requests.request_codec import RequestCodec
from springbridge_node.gateway.requests.request_log import (
    CALLER_LEFT,
    SERVED,
    Ending,
    RequestLog,
)

LEAST_LEFT_S = 0.005
UNREACHED_ENDPOINTS = 4
SILENCE_SHARE = 0.5


@dataclass(frozen=True)
class RouterParts:
    """What a router works with.

    Attributes:
      index: Returns the newest configuration, or None before the first.
      configuration_due_s: Returns when callers should come back before the first.
      failure_domain: Failure domain of this node.
    """

    index: Callable[[], RouteIndex | None]
    configuration_due_s: Callable[[], float]
    registry: EndpointRegistry
    pool: ConnectionPool
    budget: SharedRetryBudget
    codec: RequestCodec
    selector: EndpointSelector
    request_log: RequestLog
    loads: LoadSharing
    failure_domain: str


class RequestRouter:
    """Serves requests."""

    def __init__(self, parts: RouterParts) -> None:
        """Keep the parts."""
        self._parts = parts

    async def serve(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve one request; on return its answer has ended."""
        arrival = self._parts.codec.read_arrival(request)
        match admit(self._parts.index(), arrival, self._parts.configuration_due_s()):
            case Failure(problem):
                self._parts.request_log.refused(arrival, problem, self._version())
                await answer.refuse(problem)
            case Success(admitted):
                demand = Demand.from_admitted(admitted, self._parts.failure_domain)
                exchange = Exchange(request, admitted, demand, answer, Progress())
                await self._serve_admitted(exchange)

    def _version(self) -> int:
        """Return the version of the configuration that decides now, 0 before the first."""
        index = self._parts.index()
        return index.configuration.version if index else 0

    async def _serve_admitted(self, exchange: Exchange) -> None:
        """Serve a request that the configuration allows."""
        self._parts.budget.fresh(exchange.admitted.service.name)
        ending = CALLER_LEFT
        try:
            problem = await self._until_deadline(exchange)
            ending = SERVED if problem is None else Ending(problem.code.name, problem.detail)
            if problem is not None:
                await self._give_up(exchange, problem)
        finally:
            self._parts.request_log.ended(exchange, ending, self._parts.registry.age_s())

    async def _until_deadline(self, exchange: Exchange) -> Problem | None:
        """Make attempts until the answer is whole, there are no more, or time is up."""
        try:
            async with asyncio.timeout_at(exchange.admitted.deadline_s):
                return await self._attempts(exchange)
        except TimeoutError:
            if exchange.progress.may_have_run:
                return Problem(Code.OUTCOME_UNKNOWN, "deadline")
            return not_run_problem(exchange.admitted, "deadline")

    async def _give_up(self, exchange: Exchange, problem: Problem) -> None:
        """End the answer of a request that no further endpoint gets."""
        if exchange.answer.started:
            exchange.answer.break_off()
        elif exchange.progress.failure is not None and not problem.not_run:
            await send_held_failure(exchange, exchange.progress.failure, self._parts.codec)
        else:
            await exchange.answer.refuse(problem)

    async def _attempts(self, exchange: Exchange) -> Problem | None:
        """Try endpoint after endpoint as far as the request allows."""
        progress = exchange.progress
        unreached = 0
        while True:
            selection = await self._parts.selector.select(exchange.demand, progress.tried)
            if selection.overload is not None:
                return overload_problem(selection.overload)
            choice = selection.choice
            if choice is None or unreached > UNREACHED_ENDPOINTS:
                return no_endpoint_problem(exchange)
            if progress.sends and not self._may_send_again(exchange):
                return no_endpoint_problem(exchange)
            endpoint_id = choice.state.entry.endpoint_id
            connection = await self._connect(exchange, choice.state)
            if connection is None:
                unreached += 1
                progress.tried.add(endpoint_id)
                continue
            end = await self._attempt(exchange, choice, connection)
            if end is End.DELIVERED:
                return None
            self._parts.request_log.attempt_failed(exchange, endpoint_id, end)
            if not may_try_another(exchange):
                return problem_after(exchange, end)

    def _may_send_again(self, exchange: Exchange) -> bool:
        """Return whether route and budget allow another endpoint."""
        admitted = exchange.admitted
        if exchange.progress.endpoints_used >= admitted.route.max_endpoints:
            return False
        return self._parts.budget.try_repeat(admitted.service.name)

    async def _connect(self, exchange: Exchange, state: EndpointState) -> HttpConnection | None:
        """Return a connection to an endpoint, or None if there is none to be had."""
        admitted = exchange.admitted
        repeatable = is_repeatable(admitted)
        try:
            return await self._parts.pool.acquire(state.entry, admitted.service, repeatable)
        except ConnectFailedError as exc:
            self._parts.loads.unreached(state.entry.endpoint_id)
            self._parts.request_log.unreachable(exchange, state.entry.endpoint_id, str(exc))
        except EndpointBusyError:
            pass
        return None

    async def _attempt(self, exchange: Exchange, choice: Choice, connection: HttpConnection) -> End:
        """Send the request to one endpoint and pass on what it answers."""
        endpoint_id = choice.state.entry.endpoint_id
        exchange.progress.chosen.append(chosen_endpoint(choice, exchange.admitted))
        try:
            with self._parts.loads.attempt(choice, exchange.demand) as load:
                exchange.progress.load = load
                end = await self._send_and_relay(exchange, choice, connection)
        except BaseException:
            self._parts.pool.discard(endpoint_id, connection)
            raise
        self._note(choice.state, end)
        if end in (End.BROKEN, End.SILENT):
            self._parts.pool.discard(endpoint_id, connection)
        else:
            self._parts.pool.release(endpoint_id, connection)
        return end

    async def _send_and_relay(
        self, exchange: Exchange, choice: Choice, connection: HttpConnection
    ) -> End:
        """Send the request and pass on the answer; no await comes before the send."""
        entry = choice.state.entry
        source = choice.source.entry if choice.source else None
        admitted, progress = exchange.admitted, exchange.progress
        left_s = admitted.deadline_s - time.monotonic()
        if left_s < LEAST_LEFT_S:
            raise TimeoutError
        head_bytes = self._parts.codec.endpoint_request(
            exchange.request, admitted, entry, source, left_s, progress.last_event
        )
        ran_before = progress.may_have_run
        progress.sends += 1
        progress.may_have_run = True
        progress.tried.add(entry.endpoint_id)
        connection.send(head_bytes, exchange.request.body)
        try:
            reading = read_own_head(connection, self._parts.codec, admitted.arrival.request_id)
            head = await within(self._silence_limit_s(exchange, left_s), reading)
            verdict = self._parts.codec.verdict(head)
            if verdict.not_run:
                progress.may_have_run = ran_before
                await read_whole(connection, head)
                progress.misdirected += verdict.other_endpoint
                return End.OTHER_ENDPOINT if verdict.other_endpoint else End.TURNED_AWAY
            if head.status >= SERVER_ERROR and is_repeatable(admitted):
                progress.failure = HeldFailure(head, await read_whole(connection, head))
                return End.ENDPOINT_ERROR
            if admitted.route.streaming and head.status < 300:
                await relay_events(exchange, connection, head, self._parts.codec)
            else:
                await relay_plain(exchange, connection, head, self._parts.codec)
            return End.DELIVERED
        except AnswerBrokenError:
            return End.BROKEN
        except SilentError:
            return End.SILENT

    def _silence_limit_s(self, exchange: Exchange, left_s: float) -> float | None:
        """Return how long to wait for an endpoint's answer while another may still be asked."""
        admitted = exchange.admitted
        if admitted.route.streaming or not admitted.route.repeatable:
            return None
        if exchange.progress.endpoints_used >= admitted.route.max_endpoints:
            return None
        return left_s * SILENCE_SHARE

    def _note(self, state: EndpointState, end: End) -> None:
        """Take what an attempt showed into the belief on its endpoint."""
        registry = self._parts.registry
        if end is End.DELIVERED:
            registry.succeeded(state)
        elif end is End.OTHER_ENDPOINT:
            self._parts.loads.gone(state.entry.endpoint_id)
        elif end in (End.BROKEN, End.SILENT, End.ENDPOINT_ERROR) and registry.failed(state):
            self._parts.request_log.endpoint_ejected(state, end)
