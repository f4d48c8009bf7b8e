"""The listener for callers: each request is served by the task of its connection.

That task is cancelled when its caller closes the connection, so that no endpoint goes on working
for a caller that has disconnected.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from springbridge.codes import Code
from springbridge.instance_limits import ListenerKind
from springbridge.problems import Problem
from springbridge.routing.records import CallerLimits
from tornado.httputil import HTTPHeaders

from springbridge_node import logs
from springbridge_node.gateway.callers.answer import CallerAnswer, CallerGoneError
from springbridge_node.gateway.inbound.connection import InboundConnection
from springbridge_node.gateway.inbound.intake import Intake
from springbridge_node.gateway.inbound.listener import Listener
from springbridge_node.gateway.inbound.refusals import RefusalKind
from springbridge_node.gateway.inbound.request_head import RequestHead

# For a request of which nobody knows how far it got.
FAULT_MET = Problem(Code.OUTCOME_UNKNOWN, "fault")


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it arrived: start line, headers and whole body.

    Attributes:
      target: Path and query.
      body: Empty while only the head has arrived.
      arrived_s: When its head was read, on the monotonic clock.
    """

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes | memoryview
    arrived_s: float

    @classmethod
    def from_head(cls, head: RequestHead) -> "IncomingRequest":
        """Return a request of which only the head has arrived."""
        return cls(head.method, head.target, head.headers, b"", head.arrived_s)


Serve = Callable[[IncomingRequest, CallerAnswer], Awaitable[None]]
Refuse = Callable[[IncomingRequest, CallerAnswer, Problem], Awaitable[None]]
Decide = Callable[[IncomingRequest], Problem | float]
ReadId = Callable[[IncomingRequest], str]


async def _refuse(request: IncomingRequest, answer: CallerAnswer, problem: Problem) -> None:
    """Refuse a request without a log line."""
    await answer.refuse(problem)


@dataclass(frozen=True)
class CallerHandlers:
    """What is done with callers' requests.

    Attributes:
      serve: Serves one request and ends its answer.
      refuse: Refuses one and ends its answer.
      decide: Returns why a request is refused by its head, or until when its body may arrive, on
        the monotonic clock.
      read_id: Returns the id of a request, "" if it has none.
    """

    serve: Serve
    refuse: Refuse = _refuse
    decide: Decide = lambda request: float("inf")
    read_id: ReadId = lambda request: ""


class CallerListener:
    """Serves the requests of callers.

    Attributes:
      in_progress: Tasks of the requests that are not answered yet.
      limits: What a caller may send, from the next request of each connection on.
    """

    def __init__(self, handlers: CallerHandlers, intake: Intake) -> None:
        """Start without a socket."""
        self.limits = CallerLimits()
        self.in_progress: set[asyncio.Task] = set()
        self._handlers = handlers
        self._intake = intake
        self._listener = Listener(ListenerKind.CALLERS, self, intake)

    def listen(self, address: str, limits: CallerLimits) -> None:
        """Accept connections at an address, an IP number and port."""
        self.limits = limits
        self._listener.listen(address)

    def apply(self, limits: CallerLimits) -> None:
        """Apply new limits from the next request of each connection on."""
        self.limits = limits

    def close_after_answers(self) -> None:
        """Close each connection with its next answer."""
        self._listener.close_after_answers()

    def stop_accepting(self) -> None:
        """Accept no further connections; open ones stay open."""
        self._listener.stop_accepting()

    def decide(self, head: RequestHead) -> Problem | float:
        """Return why a request is refused by its head, or until when its body may arrive."""
        return self._handlers.decide(IncomingRequest.from_head(head))

    async def serve(
        self, conn: InboundConnection, head: RequestHead, body: bytes | memoryview
    ) -> None:
        """Serve a request that was read completely; see connection_loop.RequestService."""
        request = replace(IncomingRequest.from_head(head), body=body)
        answer = self._answer(conn, head, request)
        task = asyncio.current_task()
        self.in_progress.add(task)
        conn.on_gone = lambda: _cancel_unanswered(answer, task)
        conn.watch()
        try:
            await self._serve_guarded(request, answer)
        finally:
            conn.on_gone = None
            self.in_progress.discard(task)

    async def refuse(
        self, conn: InboundConnection, head: RequestHead | None, problem: Problem
    ) -> None:
        """Answer a request that was not read completely; see connection_loop.RequestService."""
        try:
            if head is None:
                answer = CallerAnswer(conn, None)
                await answer.refuse(problem)
            else:
                request = IncomingRequest.from_head(head)
                answer = self._answer(conn, head, request)
                await self._handlers.refuse(request, answer, problem)
            await answer.wait_sent()
        except CallerGoneError:
            # There is no caller left to answer, and nothing was sent on.
            pass

    def _answer(
        self, conn: InboundConnection, head: RequestHead, request: IncomingRequest
    ) -> CallerAnswer:
        """Return the answer to a request, before its beginning."""
        return CallerAnswer(conn, head, self._handlers.read_id(request), self.limits.idle_timeout_s)

    def report(self, conn: InboundConnection, head: RequestHead | None, kind: RefusalKind) -> None:
        """Count and log that a request was not read to its end."""
        request_id = ""
        if head is not None:
            request_id = self._handlers.read_id(IncomingRequest.from_head(head))
        self._intake.report(ListenerKind.CALLERS, kind, conn.remote_ip, request_id)

    async def _serve_guarded(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request; close its connection if its answer cannot be ended otherwise."""
        try:
            await self._serve_to_end(request, answer)
            await answer.wait_sent()
        except CallerGoneError:
            # The router has logged the end of the request; there is no caller left to answer.
            pass
        except Exception as exc:
            logs.fault(exc, "answer")
        finally:
            if not answer.ended:
                answer.abort()

    async def _serve_to_end(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request; where that meets an unforeseen exception, promise nothing of its run.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        try:
            await self._handlers.serve(request, answer)
        except CallerGoneError:
            raise
        except Exception as exc:
            logs.fault(exc, "serve")
            if not answer.started:
                await answer.refuse(FAULT_MET)


def _cancel_unanswered(answer: CallerAnswer, task: asyncio.Task) -> None:
    """Cancel the task of a request whose caller closed the connection before its answer ended."""
    if not answer.ended:
        task.cancel()
