"""Callers' interface: chat completions, plain services, addresses, health."""

import asyncio
import secrets
import time
from dataclasses import dataclass

import orjson
from returns.result import Failure, Success
from springbridge import request_ids
from springbridge.codes import Code, Fate
from springbridge.placement import allowed_engines, allowed_places
from springbridge.problems import Problem
from springbridge.records import EngineKind, Request
from springbridge.request_ids import RequestId
from springbridge.stream import Chunk
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from springbridge_node import logs
from springbridge_node.admission import CLASS_HEADER, Admitted, admit, find_class, identify
from springbridge_node.answers import Answer
from springbridge_node.limit_gate import finishing
from springbridge_node.runner import Work
from springbridge_node.services import Services

CHARS_PER_TOKEN = 4
DISCARD_S = 2.0
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


@dataclass(frozen=True)
class ChatCall:
    """What the node reads of a chat completion's body."""

    stream: bool
    prompt_tokens: int


class CallerHandler(RequestHandler):
    """What all handlers of callers share: answers to problems."""

    node: Services

    def initialize(self, node: Services) -> None:
        """Keep the node's parts."""
        self.node = node

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem, at once."""
        self.finish(self.prepare_refusal(problem))

    def prepare_refusal(self, problem: Problem) -> bytes:
        """Set status and headers for a problem and return the body."""
        self.node.metrics.incr(f"answers.{problem.code.name}")
        self.set_status(problem.info.http_status)
        self.set_header("Content-Type", JSON)
        if problem.retry_after_s is not None:
            self.set_header("Retry-After", f"{problem.retry_after_s:.2f}")
        body: dict[str, object] = {"error": describe(problem)}
        if problem.code in (Code.NODE_LEAVING, Code.WRONG_PLACE, Code.CONFIG_NOT_FRESH):
            body["addresses"] = [member.caller_address for member in self.node.other_live()]
        return orjson.dumps(body)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer a fault of this program, or a path that does not exist, without a traceback."""
        code = Code.UNKNOWN_PATH if status_code in (404, 405) else Code.INTERNAL
        self.refuse(Problem(code))

    def log_exception(self, kind, value, trace) -> None:
        """Log an unexpected exception by its type only, as its text may hold content."""
        if kind is not StreamClosedError:
            logs.fault(value, type(self).__name__)


def describe(problem: Problem) -> dict[str, object]:
    """Return a problem as callers see it."""
    return {
        "code": int(problem.code),
        "name": problem.code.name,
        "fate": problem.info.fate.value,
        "message": problem.sentence(),
        "retry_after_s": problem.retry_after_s,
    }


class NotFoundHandler(CallerHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Answer at once."""
        self.refuse(Problem(Code.UNKNOWN_PATH, source=self.request.path[:100]))


class HealthHandler(CallerHandler):
    """Health: the process answers."""

    def get(self) -> None:
        """Answer."""
        self.finish({"alive": True})


class ReadyHandler(CallerHandler):
    """Readiness: the node takes new requests."""

    def get(self) -> None:
        """Answer, or say why not."""
        problem = self.node.closed()
        if problem is not None:
            self.refuse(problem)
        else:
            self.finish({"ready": True, "version": self.node.config.table.version})


class AddressesHandler(CallerHandler):
    """Tells callers which nodes to use for a class, and for how long to keep the answer."""

    def get(self) -> None:
        """Answer with live nodes in allowed places, each with its prefix for request ids."""
        table = self.node.config.table
        name = self.get_query_argument("class", self.request.headers.get(CLASS_HEADER, ""))
        found = identify(table, self.request.headers).bind(
            lambda customer: find_class(table, customer, name).bind(
                lambda pair: allowed_places(pair[0], customer)
            )
        )
        match found:
            case Failure(problem):
                self.refuse(problem)
            case Success(places):
                self.finish(self._addresses(places))

    def _addresses(self, places: frozenset[str]) -> dict[str, object]:
        members = [member for member in self.node.membership.live() if member.place in places]
        return {
            "addresses": [
                {
                    "address": member.caller_address,
                    "place": member.place,
                    "incarnation": member.incarnation,
                    "id_prefix": request_ids.prefix(member.incarnation, time.time()),
                }
                for member in members
            ],
            "keep_s": self.node.settings.keep_addresses_s,
        }


@stream_request_body
class WorkHandler(CallerHandler):
    """A request that runs at an engine; it is checked before its body is read."""

    kind = EngineKind.MODEL

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
        place = self.node.settings.place
        if place in admitted.places:
            return None
        return Problem(Code.WRONG_PLACE, source=place)

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
        work = Work(request, bytes(self.body), path, self._engines(admitted), bound, self.arrived_s)
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

    def _engines(self, admitted: Admitted):
        """Return what finds the engines that the request may use under the table in force."""

        def engines():
            table = self.node.config.table
            request_class = table.classes.get(admitted.request_class.name)
            customer = table.customers.get(admitted.customer.name)
            if request_class is None or customer is None:
                return ()
            places = request_class.places & customer.places
            return allowed_engines(table, request_class, places)

        return engines

    def note_end(self, admitted: Admitted, problem: Problem | None) -> None:
        """Log and count how the request ended."""
        code = Code.OK if problem is None else problem.code
        seconds = self.node.clock() - self.arrived_s
        logs.ended(admitted.request_class.name, admitted.customer.name, code, seconds)
        self.node.metrics.timing(f"request.{admitted.request_class.name}", seconds * 1000)


class ChatHandler(WorkHandler):
    """OpenAI-style chat completions, streamed or whole."""

    async def _run(self, admitted: Admitted) -> None:
        call = read_chat(bytes(self.body))
        if isinstance(call, Problem):
            self.refuse(self.promised(call))
            return
        answer = self.start(admitted, call.prompt_tokens, "")
        if isinstance(answer, Problem):
            self.refuse(answer)
            return
        if call.stream:
            await self._stream(admitted, answer)
        else:
            await self._whole(admitted, answer)
        self.note_end(admitted, answer.problem)

    async def _whole(self, admitted: Admitted, answer: Answer) -> None:
        """Write the answer in one piece."""
        await answer.whole()
        if answer.problem is not None:
            self.refuse(answer.problem)
            return
        message = {"role": "assistant", "content": answer.text()}
        body = {
            "id": answer.request_id,
            "object": "chat.completion",
            "model": admitted.request_class.target,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": answer.offset},
        }
        self.set_header("Content-Type", JSON)
        self.finish(orjson.dumps(body))
        self.node.metrics.incr("answers.OK")

    async def _stream(self, admitted: Admitted, answer: Answer) -> None:
        """Write the answer as server-sent events, the first of which decides the status."""
        started = False
        try:
            async for chunk in answer.follow():
                if not started:
                    started = True
                    self._begin_stream(admitted)
                self.write(event(answer.request_id, chunk))
                await self.flush()
        except StreamClosedError:
            return
        if answer.problem is not None and not started:
            self.refuse(answer.problem)
            return
        self._end_stream(answer.problem)

    def _begin_stream(self, admitted: Admitted) -> None:
        self.set_header("Content-Type", EVENT_STREAM)
        self.set_header("Cache-Control", "no-store")
        self.node.metrics.timing(
            f"first_token.{admitted.request_class.name}",
            (self.node.clock() - self.arrived_s) * 1000,
        )

    def _end_stream(self, problem: Problem | None) -> None:
        """Write the end marker, or an error event in its place."""
        if problem is None:
            self.finish(b"data: [DONE]\n\n")
            self.node.metrics.incr("answers.OK")
            return
        told = problem
        if problem.info.fate is Fate.NOT_RUN:
            told = Problem(Code.ENGINE_FAILED, problem.code.name)
        self.node.metrics.incr(f"answers.{told.code.name}")
        self.finish(b"event: error\ndata: " + orjson.dumps({"error": describe(told)}) + b"\n\n")


class ServiceHandler(WorkHandler):
    """Calls to plain services, below /v1/services/NAME/."""

    kind = EngineKind.SERVICE

    def _wrong_kind(self, admitted: Admitted) -> Problem | None:
        name = self.path_args[0]
        if admitted.request_class.target != name:
            return Problem(Code.UNKNOWN_SERVICE, f"the class is for another target than {name}")
        return None

    async def _run(self, admitted: Admitted) -> None:
        path = "/" + self.path_args[1]
        answer = self.start(admitted, 0, path)
        if isinstance(answer, Problem):
            self.refuse(answer)
            return
        await answer.whole()
        if answer.problem is not None:
            self.refuse(answer.problem)
        else:
            self.set_header("Content-Type", JSON)
            self.finish(answer.text().encode(errors="surrogateescape"))
            self.node.metrics.incr("answers.OK")
        self.note_end(admitted, answer.problem)


def event(request_id: str, chunk: Chunk) -> bytes:
    """Return a piece as a server-sent event."""
    choice = {
        "index": 0,
        "delta": {"content": chunk.text},
        "finish_reason": "stop" if chunk.last else None,
    }
    body = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "offset": chunk.offset,
        "tokens": chunk.tokens,
        "choices": [choice],
    }
    return b"data: " + orjson.dumps(body) + b"\n\n"


def read_chat(body: bytes) -> ChatCall | Problem:
    """Return what matters of a chat completion's body, or BODY_MALFORMED."""
    try:
        raw = orjson.loads(body)
        messages = raw["messages"]
        chars = sum(len(message["content"]) for message in messages)
        stream = raw.get("stream", False)
    except (ValueError, KeyError, TypeError, AttributeError):
        return Problem(Code.BODY_MALFORMED, "messages with role and content are needed")
    if not messages or not isinstance(stream, bool):
        return Problem(Code.BODY_MALFORMED, "messages must not be empty, stream is true or false")
    return ChatCall(stream, 1 + chars // CHARS_PER_TOKEN)
