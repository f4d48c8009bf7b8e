"""HTTP interface for callers: chat completions, calls to plain services, addresses of nodes.

Parses request bodies, and writes answers while they arrive from the endpoints.
"""

import time
from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success
from springbridge.classes import request_ids
from springbridge.classes.stream import Chunk
from springbridge.codes import Code, Fate
from springbridge.problems import Problem
from tornado.iostream import StreamClosedError

from springbridge_node.class_router.callers.caller_handler import JSON, CallerHandler, describe
from springbridge_node.class_router.callers.work_handler import WorkHandler
from springbridge_node.class_router.requests.class_admission import (
    CLASS_HEADER,
    Admitted,
    permit_of,
)
from springbridge_node.class_router.requests.growing_answers import Answer

# Characters of a prompt per token, to estimate its memory at an endpoint. A rule of thumb for
# English text.
CHARS_PER_TOKEN = 4
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True)
class ChatCall:
    """The fields of a chat completion that the node uses; the engine gets the body unchanged."""

    stream: bool
    prompt_tokens: int


class AddressesHandler(CallerHandler):
    """Tells callers which nodes they may use for a class, and how long the answer is valid."""

    def get(self) -> None:
        """Answer with the live nodes in allowed failure domains, each with a request id prefix."""
        table = self.node.config.table
        name = self.get_query_argument("class", self.request.headers.get(CLASS_HEADER, ""))
        match permit_of(table, self.request.headers, name):
            case Failure(problem):
                self.refuse(problem)
            case Success(permit):
                self.finish(self._addresses(permit.failure_domains))

    def _addresses(self, failure_domains: frozenset[str]) -> dict[str, object]:
        members = [
            member
            for member in self.node.membership.live()
            if member.failure_domain in failure_domains
        ]
        return {
            "addresses": [
                {
                    "address": member.caller_address,
                    "place": member.failure_domain,
                    "incarnation": member.incarnation,
                    "id_prefix": request_ids.prefix(member.incarnation, time.time()),
                }
                for member in members
            ],
            "keep_s": self.node.settings.keep_addresses_s,
        }


class ChatHandler(WorkHandler):
    """OpenAI-style chat completions, streamed or in one piece."""

    async def _run(self, admitted: Admitted) -> None:
        match read_chat(bytes(self.body)):
            case Failure(problem):
                self.refuse(self.refusal_for(problem))
            case Success(call):
                await self._complete(admitted, call)

    async def _complete(self, admitted: Admitted, call: ChatCall) -> None:
        """Run a chat completion and write its answer, streamed or in one piece."""
        match self.start(admitted, call.prompt_tokens, ""):
            case Failure(problem):
                self.refuse(problem)
                return
            case Success(answer):
                pass
        if call.stream:
            await self._send_stream(admitted, answer)
        else:
            await self._send_complete(admitted, answer)
        self.record_end(admitted, answer.problem)

    async def _send_complete(self, admitted: Admitted, answer: Answer) -> None:
        """Write the answer in one piece when it is complete."""
        await answer.wait_ended()
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

    async def _send_stream(self, admitted: Admitted, answer: Answer) -> None:
        """Write the answer as server-sent events; the status is sent with the first chunk."""
        started = False
        try:
            async for chunk in answer.follow():
                if not started:
                    started = True
                    self._begin_stream(admitted)
                self.write(event(answer.request_id, chunk))
                await self.flush()
        except StreamClosedError:
            # The caller has disconnected; how the request ended is logged by _complete().
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
        """Write the end marker, or an error event in its place.

        Part of the answer has been sent, so the error event never says that the request did not
        run.
        """
        if problem is None:
            self.finish(b"data: [DONE]\n\n")
            self.node.metrics.incr("answers.OK")
            return
        if problem.info.fate is Fate.NOT_RUN:
            problem = Problem(Code.ENGINE_FAILED, problem.code.name)
        self.node.metrics.incr(f"answers.{problem.code.name}")
        self.finish(b"event: error\ndata: " + orjson.dumps({"error": describe(problem)}) + b"\n\n")


class ServiceHandler(WorkHandler):
    """Calls to plain services, below /v1/services/NAME/."""

    def _wrong_target(self, admitted: Admitted) -> Problem | None:
        name = self.path_args[0]
        if admitted.request_class.target != name:
            return Problem(Code.UNKNOWN_SERVICE, f"the class is for another target than {name}")
        return None

    async def _run(self, admitted: Admitted) -> None:
        path = "/" + self.path_args[1]
        match self.start(admitted, 0, path):
            case Failure(problem):
                self.refuse(problem)
                return
            case Success(answer):
                pass
        await answer.wait_ended()
        if answer.problem is not None:
            self.refuse(answer.problem)
        else:
            self.set_header("Content-Type", JSON)
            self.finish(answer.text().encode(errors="surrogateescape"))
            self.node.metrics.incr("answers.OK")
        self.record_end(admitted, answer.problem)


def event(request_id: str, chunk: Chunk) -> bytes:
    """Return a chunk of an answer as a server-sent event."""
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


def read_chat(body: bytes) -> Result[ChatCall, Problem]:
    """Return the fields of a chat completion that the node uses, or BODY_MALFORMED."""
    try:
        raw = orjson.loads(body)
        messages = raw["messages"]
        chars = sum(len(message["content"]) for message in messages)
        stream = raw.get("stream", False)
    except (ValueError, KeyError, TypeError, AttributeError):
        return _malformed("messages with role and content are needed")
    if not messages or not isinstance(stream, bool):
        return _malformed("messages must not be empty, stream is true or false")
    return Success(ChatCall(stream, 1 + chars // CHARS_PER_TOKEN))


def _malformed(detail: str) -> Result[ChatCall, Problem]:
    return Failure(Problem(Code.BODY_MALFORMED, detail))
