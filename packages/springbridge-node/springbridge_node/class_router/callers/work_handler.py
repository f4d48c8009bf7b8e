"""Requests that run at an endpoint: checked before their body is read, admitted, started."""

import asyncio
import secrets
import time
from collections.abc import Callable

from returns.result import Failure, Success
from springbridge.classes import request_ids
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.placement import allowed_endpoints
from springbridge.classes.request_ids import RequestId
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.web import stream_request_body

from springbridge_node.class_router import class_log
from springbridge_node.class_router.callers.caller_handler import CallerHandler
from springbridge_node.class_router.requests.answers import Answer
from springbridge_node.class_router.requests.attempts import Work
from springbridge_node.class_router.requests.class_admission import Admitted, admit
from springbridge_node.class_router.requests.limit_gate import finishing

DISCARD_S = 2.0


@stream_request_body
class WorkHandler(CallerHandler):
    """A request that runs at an endpoint; it is checked before its body is read."""

    def prepare(self) -> None:
        """Refuse what need not be read, and give the sender a time for the rest."""
        self.arrived_s = self.node.clock()
        self.body = bytearray()
        self.refused = False
        self.task: asyncio.Task | None = None
        self.repeatable = False
        self.admitted: Admitted | None = None
        self._timer = asyncio.get_running_loop().call_later(
            self.node.settings.body_timeout_s, self._too_slow
        )
        problem = self._problem_before_body()
        if problem is not None:
            self._refuse_unread(self.promised(problem))

    def _problem_before_body(self) -> Problem | None:
        """Return why the request is refused unread, if it is."""
        if self.request.method != "POST":
            return Problem(Code.UNKNOWN_PATH, "use POST", self.request.path[:100])
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.node.settings.max_body_bytes:
            limit = self.node.settings.max_body_bytes
            return Problem(Code.BODY_TOO_LARGE, f"at most {limit} bytes")
        match admit(self.node.config.table, self.request.headers):
            case Failure(problem) if self.node.config.table.version == 0:
                return self.node.closed() or problem
            case Failure(problem):
                return problem
            case Success(admitted):
                self.admitted = admitted
        return self._wrong_place(admitted) or self._wrong_kind(admitted) or self.node.closed()

    def _wrong_place(self, admitted: Admitted) -> Problem | None:
        """Return a problem where this node stands in a place that may not handle the data."""
        failure_domain = self.node.settings.failure_domain
        if failure_domain in admitted.failure_domains:
            return None
        return Problem(Code.WRONG_PLACE, source=failure_domain)

    def promised(self, problem: Problem) -> Problem:
        """Return what may be told of a request that is refused without being run here."""
        if self.admitted is None:
            return problem
        owner = self.admitted.owner
        return self.node.home.promised(self.admitted.request_id, owner, problem)

    def _wrong_kind(self, admitted: Admitted) -> Problem | None:
        """Return a problem where the class is for another kind of target."""
        return None

    def _refuse_unread(self, problem: Problem) -> None:
        """Answer at once, discard what still comes of the body for a moment, then close.

        Closing at once would reset the connection under a sender that has not read the answer.
        """
        self._timer.cancel()
        self.refused = True
        self.set_header("Connection", "close")
        body = self.prepare_refusal(problem)
        self.set_header("Content-Length", str(len(body)))
        self.write(body)
        self.flush()
        self._timer = asyncio.get_running_loop().call_later(DISCARD_S, self._end_refusal)

    def _end_refusal(self) -> None:
        if not self._finished:
            self.finish()

    def _too_slow(self) -> None:
        """Refuse a sender that does not finish its body in time."""
        if not self.refused:
            self._refuse_unread(self.promised(Problem(Code.SENDER_TOO_SLOW)))

    def data_received(self, chunk: bytes) -> None:
        """Take in a piece of the body."""
        if self.refused:
            return
        self.body += chunk
        if len(self.body) > self.node.settings.max_body_bytes:
            self._refuse_unread(self.promised(Problem(Code.BODY_TOO_LARGE)))

    def on_connection_close(self) -> None:
        """Stop work whose caller is gone, if it may be repeated."""
        self._timer.cancel()
        if self.task is not None and self.repeatable:
            self.task.cancel()

    async def post(self, *path: str) -> None:
        """Run the request."""
        self._timer.cancel()
        if self.refused or self.admitted is None:
            self._end_refusal()
            return
        match await self.node.limits.start(self.admitted.share):
            case Failure(problem):
                self.refuse(self.promised(problem))
            case Success(limit):
                with finishing(limit), self.node.in_flight():
                    await self._run(self.admitted)

    async def _run(self, admitted: Admitted) -> None:
        """Run an admitted request and write its answer."""
        raise NotImplementedError

    def start(self, admitted: Admitted, prompt_tokens: int, path: str) -> Answer | Problem:
        """Start the request's work and return its answer."""
        request_id = admitted.request_id or self._own_id()
        self.repeatable = admitted.repeatable
        request = Request(
            request_id=request_id.text,
            request_class=admitted.request_class,
            customer=admitted.customer.name,
            weight=admitted.share.weight,
            repeatable=admitted.repeatable,
            max_wait_s=admitted.max_wait_s,
            arrived_s=self.arrived_s,
            prompt_tokens=prompt_tokens,
            affinity=admitted.affinity,
        )
        bound = not admitted.repeatable
        work = Work(
            request, bytes(self.body), path, self._endpoints(admitted), bound, self.arrived_s
        )
        if bound:
            match self.node.home.serve(work, request_id, admitted.owner):
                case Failure(problem):
                    return problem
                case Success(answer):
                    return answer
        answer = Answer(request_id.text)
        running = self.node.home.run_repeatable(work, request_id, admitted.owner, answer)
        self.task = asyncio.create_task(running)
        return answer

    def _own_id(self) -> RequestId:
        """Return an id for a request that came without one; this node is its home."""
        me = self.node.membership.me.incarnation
        now_s = time.time()
        text = request_ids.prefix(me, now_s) + secrets.token_hex(8)
        return RequestId(text, me, int(now_s))

    def _endpoints(self, admitted: Admitted) -> Callable[[], tuple[Endpoint, ...]]:
        """Return what finds the endpoints that the request may use under the table in force."""

        def endpoints() -> tuple[Endpoint, ...]:
            table = self.node.config.table
            request_class = table.classes.get(admitted.request_class.name)
            customer = table.customers.get(admitted.customer.name)
            if request_class is None or customer is None:
                return ()
            failure_domains = request_class.failure_domains & customer.failure_domains
            return allowed_endpoints(table, request_class, failure_domains)

        return endpoints

    def note_end(self, admitted: Admitted, problem: Problem | None) -> None:
        """Log and count how the request ended."""
        code = Code.OK if problem is None else problem.code
        seconds = self.node.clock() - self.arrived_s
        class_log.ended(admitted.request_class.name, admitted.customer.name, code, seconds)
        self.node.metrics.timing(f"request.{admitted.request_class.name}", seconds * 1000)
