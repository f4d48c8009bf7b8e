"""Sends a request to a selected endpoint, once that permits it, and records how the attempt ended.

The steps: acquire a permit and a place, draw on the retry budget, connect, send and relay
(`attempt`), record the outcome. What is acquired is held by the blocks around the send, so that
each way out of them gives it back.
"""

import contextlib
from collections.abc import Iterator
from functools import partial

from springbridge.problems import Problem
from springbridge.routing import giving_up, retries
from springbridge.routing.eligibility import is_of_version
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.retries import ENDPOINT_FAILURES, AttemptOutcome

from springbridge_node import clock
from springbridge_node.gateway.endpoints.end_verification import VerifiedEnd
from springbridge_node.gateway.endpoints.pool import EndpointBusyError
from springbridge_node.gateway.http.answer_end import AnswerEnd
from springbridge_node.gateway.http.http_connection import (
    ConnectFailedError,
    HttpConnection,
    NoDescriptorError,
)
from springbridge_node.gateway.requests.attempt import AttemptHooks, make_attempt
from springbridge_node.gateway.requests.exchange import ChosenEndpoint, Exchange
from springbridge_node.gateway.requests.place_gate import REJECTIONS
from springbridge_node.gateway.requests.request_faults import log_fault, recorder, recording
from springbridge_node.gateway.requests.router_parts import RouterParts
from springbridge_node.gateway.requests.stage import Stage


class EndpointSender:
    """Sends requests to endpoints; keeps no state between them."""

    def __init__(self, parts: RouterParts) -> None:
        """Keep the parts."""
        self._parts = parts

    async def send(
        self, exchange: Exchange, choice: Choice | None
    ) -> AttemptOutcome | Problem | None:
        """Send the request to the selected endpoint, once its rate limit permits it.

        Returns:
          How the attempt ended; a problem if the request may not be sent to any endpoint; None if
          nothing was sent because the endpoint does not accept the request now or could not be
          connected to.
        """
        if choice is None:
            return self._no_endpoint_problem(exchange)
        entry, progress = choice.state.entry, exchange.progress
        progress.stage = Stage.PERMIT
        if not await self._parts.rates.gate.acquire_permit(exchange, entry):
            return None
        with self._parts.rates.gate.hold_permit(exchange, entry):
            progress.stage = Stage.PLACE
            place = await self._parts.places.acquire(exchange, entry)
            if place is None:
                return None
            with self._parts.places.hold(exchange, entry, place):
                end = await self._send_permitted(exchange, choice)
                place.rejected = end in REJECTIONS
            return end

    def _no_endpoint_problem(self, exchange: Exchange) -> Problem:
        """Return why a request for which no endpoint was selected is given up."""
        route, attempts = exchange.route, exchange.attempts()
        exchange.progress.obstacles = self._parts.registry.exclusion_counts(exchange.demand.service)
        spent = self._parts.rates.gate.exhausted_rates(exchange)
        if spent is not None:
            return giving_up.when_rates_exhausted(route, attempts, spent)
        if exchange.progress.without_place:
            return giving_up.when_no_place(route, attempts, len(exchange.progress.without_place))
        version = exchange.progress.version
        if version is not None:
            is_listed = self._parts.registry.serves_version(exchange.demand.service, version)
            return giving_up.without_version(attempts, is_listed)
        rest = self._parts.rest_refusals.refuse(exchange.demand.service)
        if rest is not None:
            return giving_up.when_all_resting(route, attempts, rest)
        return giving_up.without_endpoint(route, attempts)

    async def _send_permitted(
        self, exchange: Exchange, choice: Choice
    ) -> AttemptOutcome | Problem | None:
        """Send the request to an endpoint that permits it; see send() for what is returned."""
        with self._budgeted_send(exchange) as may_send:
            if not may_send:
                return giving_up.without_endpoint(exchange.route, exchange.attempts())
            exchange.progress.stage = Stage.CONNECT
            connection = await self._connect(exchange, choice.state)
            if connection is None:
                return None
            exchange.progress.stage = Stage.SEND
            with self._discarding_on_error(choice.state, connection):
                if not self._may_still_get(exchange, choice.state):
                    self._parts.pool.release(choice.state.entry.incarnation, connection)
                    return None
                end = await self._attempt(exchange, choice, connection)
        with recording(exchange):
            if await self._parts.gate.record_end(exchange, choice.state, end):
                # No process listens there any more, so other requests need not try it.
                self._parts.loads.unreached(choice.state.entry)
        if self._was_path_lost(choice.state, connection, end):
            end = AttemptOutcome.PATH_LOST
            exchange.progress.paths_lost += 1
            # The endpoint itself is up, and may have the request again through a peer.
            exchange.progress.tried.discard(choice.state.entry.endpoint_id)
        with recording(exchange):
            self._record(exchange, choice.state, end)
        return end

    @contextlib.contextmanager
    def _discarding_on_error(
        self, state: EndpointState, connection: HttpConnection
    ) -> Iterator[None]:
        """Close a connection if the block, which returns it to the pool, ends with an error."""
        try:
            yield
        except BaseException:
            self._parts.pool.discard(state.entry.incarnation, connection)
            raise

    def _may_still_get(self, exchange: Exchange, state: EndpointState) -> bool:
        """Return whether a selected endpoint may get the request now.

        Since the selection it may have announced that it leaves or rests, or have been replaced.
        """
        progress = exchange.progress
        if not is_of_version(state.entry, progress.version):
            return False
        return self._parts.registry.may_get_request(state, progress.last_resort)

    def _was_path_lost(
        self, state: EndpointState, connection: HttpConnection, end: AttemptOutcome
    ) -> bool:
        """Return whether an attempt broke because this instance lost its path to the endpoint."""
        if end is not AttemptOutcome.BROKEN or connection.through:
            return False
        return self._parts.paths.is_lost(state.entry.incarnation)

    @contextlib.contextmanager
    def _budgeted_send(self, exchange: Exchange) -> Iterator[bool]:
        """Yield whether the request may be sent; refund the retry if the block sends nothing."""
        sends = exchange.progress.sends
        may_send = self._may_send(exchange)
        try:
            yield may_send
        finally:
            if may_send and sends and exchange.progress.sends == sends:
                self._parts.budget.refund(exchange.demand.service)

    def _may_send(self, exchange: Exchange) -> bool:
        """Return whether the request may go to one more endpoint; a retry draws on the budget."""
        attempts = exchange.attempts()
        if not retries.may_skip_another(attempts):
            return False
        if not attempts.sends:
            return True
        if not retries.has_endpoint_left(exchange.route, attempts):
            return False
        return self._parts.budget.try_retry(exchange.demand.service)

    async def _connect(self, exchange: Exchange, state: EndpointState) -> HttpConnection | None:
        """Return a connection to an endpoint, or None; then this request does not try it again."""
        repeatable = retries.is_repeatable(exchange.route)
        endpoint_id = state.entry.endpoint_id
        try:
            return await self._parts.pool.acquire(
                state.entry, exchange.admitted.service, repeatable
            )
        except NoDescriptorError as exc:
            exchange.progress.busy += 1
            self._parts.request_log.no_descriptor(exchange, endpoint_id, str(exc))
        except ConnectFailedError as exc:
            self._record_unreachable(state, exc)
            idle = self._parts.pool.idle_count(state.entry.incarnation)
            self._parts.request_log.unreachable(exchange, endpoint_id, str(exc), idle)
        except EndpointBusyError:
            # Not logged: this is common under load, and the end of the request is logged.
            exchange.progress.busy += 1
        except Exception as exc:
            # Nothing was sent, so another endpoint may get the request.
            log_fault(exchange, exc)
        exchange.progress.unreached += 1
        exchange.progress.tried.add(endpoint_id)
        return None

    def _record_unreachable(self, state: EndpointState, exc: ConnectFailedError) -> None:
        """Record that no connection came up, and tell peers of it if one of them agrees."""
        if exc.agreed:
            self._parts.loads.unreached(state.entry)
        else:
            self._parts.registry.mark_unreachable(state)

    async def _attempt(
        self, exchange: Exchange, choice: Choice, connection: HttpConnection
    ) -> AttemptOutcome:
        """Send the request to one endpoint, relay its answer, and record how that ended.

        There must be no await before the send; see `attempt._send`.
        """
        incarnation = choice.state.entry.incarnation
        through = connection.through
        chosen = ChosenEndpoint.from_choice(choice, exchange.demand, through, clock.now_s())
        exchange.progress.chosen.append(chosen)
        self._parts.registry.record_send(choice.state)
        count_run = partial(self._parts.usage.count_run, exchange.admitted)
        with self._parts.loads.attempt(choice, exchange.demand, count_run) as load:
            exchange.progress.load = load
            hooks = self._hooks(exchange, choice)
            repeatable = retries.is_repeatable(exchange.route)
            with self._parts.stalls.watching(choice.state.entry, connection, repeatable):
                end = await make_attempt(exchange, choice, connection, self._parts.codec, hooks)
        if end in (AttemptOutcome.BROKEN, AttemptOutcome.SILENT):
            self._parts.pool.discard(incarnation, connection)
        else:
            self._parts.pool.release(incarnation, connection)
        return end

    def _hooks(self, exchange: Exchange, choice: Choice) -> AttemptHooks:
        """Return what an attempt calls while its answer arrives."""
        entry = choice.state.entry

        async def verify_end() -> AnswerEnd:
            return await self._verify_end(exchange, choice.state)

        return AttemptHooks(
            on_answer_head=recorder(
                exchange, self._parts.rates.watch.record, entry, exchange.request_id
            ),
            on_first_event=recorder(exchange, self._parts.streams.first_event, exchange),
            verify_end=verify_end,
        )

    async def _verify_end(self, exchange: Exchange, state: EndpointState) -> AnswerEnd:
        """Return how an answer ended that only its connection marks the end of, and log it."""
        began_s = clock.now_s()
        try:
            found = await self._parts.ends.verify(state.entry, exchange.admitted.service)
        except Exception as exc:
            # Nothing is known of the end then, as if nobody had answered.
            log_fault(exchange, exc, Stage.VERIFY_END)
            found = VerifiedEnd(AnswerEnd.SILENT)
        with recording(exchange):
            self._parts.request_log.end_verified(exchange, state, found, began_s)
        return found.end

    def _record(self, exchange: Exchange, state: EndpointState, end: AttemptOutcome) -> None:
        """Record the outcome of an attempt for its endpoint, and log it unless it delivered."""
        self._parts.request_log.answer_ended(exchange)
        if end is AttemptOutcome.DELIVERED:
            self._parts.registry.record_success(state)
            return
        if end is AttemptOutcome.OTHER_ENDPOINT:
            self._parts.loads.gone(state.entry)
        elif end in ENDPOINT_FAILURES and self._parts.registry.record_failure(state):
            self._parts.request_log.endpoint_ejected(state, end)
        self._parts.request_log.attempt_failed(exchange, state.entry.endpoint_id, end)
