"""Base of handlers whose requests run at an endpoint: checks headers, reads the body, admits, runs.

A handler serves one request. Its state: whether the request was refused, its body so far, the timer
that limits the reading of the body, and the task of work that may be cancelled.
"""

import asyncio
import secrets
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success
from springbridge.classes import request_ids
from springbridge.classes.entities import Endpoint, Request
from springbridge.classes.placement import allowed_endpoints
from springbridge.classes.request_ids import RequestId
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.web import stream_request_body

from springbridge_node.class_router import class_log
from springbridge_node.class_router.callers.caller_handler import CallerHandler
from springbridge_node.class_router.requests.class_admission import Admitted, admit
from springbridge_node.class_router.requests.growing_answers import Answer
from springbridge_node.class_router.requests.limit_gate import hold_until_done
from springbridge_node.class_router.requests.work import Work

# How long the rest of a refused body is read and discarded before the connection is closed. If it
# were closed at once, the sender would get a reset in place of the answer.
DISCARD_S = 2.0


@stream_request_body
class WorkHandler(CallerHandler):
    """A request that runs at an endpoint.

    Attributes:
      arrived_s: When its headers were read, on the node's monotonic clock.
      refused: Whether it was answered before its body was read; the rest of the body is discarded.
      task: The work of a repeatable request; it is cancelled when the caller disconnects.
      admitted: The result of checking its headers, None before that.
    """

    def prepare(self) -> None:
        """Start the timer for the body, and refuse the request if its headers are a reason to."""
        self.arrived_s = self.node.clock()
        self.body = bytearray()
        self.refused = False
        self.task: asyncio.Task | None = None
        self.repeatable = False
        self.admitted: Admitted | None = None
        self._timer = asyncio.get_running_loop().call_later(
            self.node.settings.body_timeout_s, self._refuse_slow_sender
        )
        problem = self._problem_before_body()
        if problem is not None:
            self._refuse_unread(self.refusal_for(problem))

    def _problem_before_body(self) -> Problem | None:
        """Return why the request is refused by its headers, or None."""
        if self.request.method != "POST":
            return Problem(Code.UNKNOWN_PATH, "use POST", self.request.path[:100])
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.node.settings.max_body_bytes:
            limit = self.node.settings.max_body_bytes
            return Problem(Code.BODY_TOO_LARGE, f"at most {limit} bytes")
        match admit(self.node.config.table, self.request.headers):
            case Failure(problem) if self.node.config.table.version == 0:
                return self.node.refusal_reason() or problem
            case Failure(problem):
                return problem
            case Success(admitted):
                self.admitted = admitted
        return (
            self._wrong_failure_domain(admitted)
            or self._wrong_target(admitted)
            or self.node.refusal_reason()
        )

    def _wrong_failure_domain(self, admitted: Admitted) -> Problem | None:
        """Return a problem if the data may not be handled in this node's failure domain."""
        failure_domain = self.node.settings.failure_domain
        if failure_domain in admitted.failure_domains:
            return None
        return Problem(Code.WRONG_PLACE, source=failure_domain)

    def refusal_for(self, problem: Problem) -> Problem:
        """Return the problem to answer with; it says NOT_RUN only if this node can promise that."""
        if self.admitted is None:
            return problem
        owner = self.admitted.owner
        return self.node.at_most_once.refusal_for(self.admitted.request_id, owner, problem)

    def _wrong_target(self, admitted: Admitted) -> Problem | None:
        """Return a problem if the path doesn't match the class's target; for subclasses."""
        return None

    def _refuse_unread(self, problem: Problem) -> None:
        """Answer at once, discard the rest of the body for DISCARD_S, then close.

        Closing at once would reset the connection before the sender has read the answer.
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

    def _refuse_slow_sender(self) -> None:
        """Refuse a sender that does not finish its body in time."""
        if not self.refused:
            self._refuse_unread(self.refusal_for(Problem(Code.SENDER_TOO_SLOW)))

    def data_received(self, chunk: bytes) -> None:
        """Append received bytes to the body; refuse it above max_body_bytes."""
        if self.refused:
            return
        self.body += chunk
        if len(self.body) > self.node.settings.max_body_bytes:
            self._refuse_unread(self.refusal_for(Problem(Code.BODY_TOO_LARGE)))

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that has disconnected, if it may be repeated."""
        self._timer.cancel()
        if self.task is not None and self.repeatable:
            self.task.cancel()

    async def post(self, *path: str) -> None:
        """Run the request under its limit, or refuse it."""
        self._timer.cancel()
        if self.refused or self.admitted is None:
            self._end_refusal()
            return
        match await self.node.limits.start(self.admitted.share):
            case Failure(problem):
                self.refuse(self.refusal_for(problem))
            case Success(limit):
                with hold_until_done(limit, self.node.clock), self.node.in_flight():
                    await self._run(self.admitted)

    async def _run(self, admitted: Admitted) -> None:
        """Run an admitted request and write its answer."""
        raise NotImplementedError

    def start(self, admitted: Admitted, prompt_tokens: int, path: str) -> Result[Answer, Problem]:
        """Start the request's work, or find that of an earlier attempt, and return its answer."""
        request_id = admitted.request_id or self._new_request_id()
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
        work = Work(request, bytes(self.body), path, self._endpoints(admitted), self.arrived_s)
        if not request.repeatable:
            return self.node.at_most_once.serve(work, request_id, admitted.owner)
        answer = Answer(request_id.text)
        running = self.node.at_most_once.run_repeatable(work, request_id, admitted.owner, answer)
        self.task = asyncio.create_task(running)
        return Success(answer)

    def _new_request_id(self) -> RequestId:
        """Return a new id for a request without one, with this node as its home."""
        me = self.node.membership.me.incarnation
        now_s = time.time()
        text = request_ids.prefix(me, now_s) + secrets.token_hex(8)
        return RequestId(text, me, int(now_s))

    def _endpoints(self, admitted: Admitted) -> Callable[[], tuple[Endpoint, ...]]:
        """Return a function that returns the endpoints allowed by the table in force.

        It is called for each attempt, since the table may change while the request waits.
        """

        def endpoints() -> tuple[Endpoint, ...]:
            table = self.node.config.table
            request_class = table.classes.get(admitted.request_class.name)
            customer = table.customers.get(admitted.customer.name)
            if request_class is None or customer is None:
                return ()
            failure_domains = request_class.failure_domains & customer.failure_domains
            return allowed_endpoints(table, request_class, failure_domains)

        return endpoints

    def record_end(self, admitted: Admitted, problem: Problem | None) -> None:
        """Log and count how the request ended."""
        code = Code.OK if problem is None else problem.code
        seconds = self.node.clock() - self.arrived_s
        class_log.ended(admitted.request_class.name, admitted.customer.name, code, seconds)
        self.node.metrics.timing(f"request.{admitted.request_class.name}", seconds * 1000)
