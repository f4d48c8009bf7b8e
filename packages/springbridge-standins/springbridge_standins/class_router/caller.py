"""Client of the class router for tests and the soak: sends requests and checks the answers."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import monotonic

import orjson
from springbridge.codes import Code

from springbridge_standins.class_router.engine import answer_tag, answer_text
from springbridge_standins.http_wire import RawAnswer, fetch

# Longer than any answer of a test, so that requests end by the deadlines of the nodes.
REQUEST_TIMEOUT_S = 600.0
# After this time the caller asks another node for addresses.
ADDRESS_TIMEOUT_S = 2.0
DATA = b"data: "
DONE = b"data: [DONE]"


@dataclass(frozen=True)
class Call:
    """One request of a caller.

    Attributes:
      tokens: Length of the whole answer; nodes do not read it.
    """

    key: str
    request_class: str
    prompt: str
    tokens: int
    request_id: str = ""
    service: str = ""
    affinity: str = ""


@dataclass
class Reply:
    """The result of a call.

    Attributes:
      code: The result code; None if the connection broke before one arrived.
      fate: Whether the request was executed, according to the answer, such as "not run".
      whole: Whether the answer is complete and belongs to the call.
      total_s: Time from sending the call to its end.
      retry_after_s: Time after which to retry; 0 if the answer names none.
    """

    code: Code | None = None
    fate: str = ""
    whole: bool = False
    total_s: float = 0.0
    retry_after_s: float = 0.0
    text: str = ""

    def note_error(self, error: dict) -> None:
        """Copy the code, fate and retry time of an error object."""
        self.code = Code(error["code"])
        self.fate = error["fate"]
        self.retry_after_s = error["retry_after_s"] or 0.0


@dataclass(frozen=True)
class Address:
    """An address for callers, as listed by a node; request ids made for it begin with id_prefix."""

    address: str
    failure_domain: str
    id_prefix: str


class Caller:
    """Sends calls and checks that their answers are complete."""

    async def addresses(self, node: str, key: str, request_class: str) -> list[Address]:
        """Return the addresses that a node lists for a class; none if it does not answer."""
        path = f"/v1/addresses?class={request_class}"
        bearer = f"Bearer {key}"
        try:
            answer = await fetch(
                node, "GET", path, timeout_s=ADDRESS_TIMEOUT_S, Authorization=bearer
            )
        except OSError:
            return []
        if answer.status != 200 or not answer.is_complete:
            return []
        found = orjson.loads(answer.body)["addresses"]
        return [Address(one["address"], one["place"], one["id_prefix"]) for one in found]

    async def send(self, address: str, call: Call) -> Reply:
        """Send a call to a node and return the result."""
        started_s = monotonic()
        path, body = _request_parts(call)
        headers = {
            "Authorization": f"Bearer {call.key}",
            "Springbridge_Class": call.request_class,
            "Springbridge_Request_Id": call.request_id,
            "Springbridge_Affinity": call.affinity,
        }
        reply = Reply()
        try:
            raw = orjson.dumps(body)
            answer = await fetch(address, "POST", path, raw, REQUEST_TIMEOUT_S, **headers)
        except OSError:
            return reply
        if answer.status != 200:
            _read_error(reply, answer)
        elif call.service:
            _read_service(reply, answer, call)
        else:
            _read_stream(reply, answer, call)
        reply.total_s = monotonic() - started_s
        return reply


def _request_parts(call: Call) -> tuple[str, dict]:
    """Return the path and the body of a call's HTTP request."""
    if call.service:
        return f"/v1/services/{call.service}/run", {"prompt": call.prompt}
    messages = [{"role": "user", "content": call.prompt}]
    body = {"messages": messages, "max_tokens": call.tokens, "stream": True}
    return "/v1/chat/completions", body


def _read_error(reply: Reply, answer: RawAnswer) -> None:
    """Copy the error of an answer; a truncated answer or one without an error changes nothing."""
    try:
        reply.note_error(orjson.loads(answer.body)["error"])
    except (ValueError, KeyError):
        return


def _read_service(reply: Reply, answer: RawAnswer, call: Call) -> None:
    """Copy the result of a service's answer."""
    if answer.is_complete:
        reply.code = Code.OK
        reply.whole = orjson.loads(answer.body)["request"]["prompt"] == call.prompt


def _read_stream(reply: Reply, answer: RawAnswer, call: Call) -> None:
    """Copy the events of a stream; an incomplete last line is ignored."""
    lines = answer.body.split(b"\n")[:-1]
    for line in lines:
        if line.startswith(DATA) and line != DONE:
            event = orjson.loads(line.removeprefix(DATA))
            if "error" in event:
                reply.note_error(event["error"])
            else:
                reply.text += event["choices"][0]["delta"]["content"]
    done = DONE in lines
    reply.whole = done and reply.text == answer_text(answer_tag(call.prompt), 0, call.tokens)
    if done and reply.code is None:
        reply.code = Code.OK


def new_id(address: Address) -> str:
    """Return a new request id whose home is the node at an address."""
    return address.id_prefix + secrets.token_hex(6)


async def call_standin(address: str, path: str, body: object = None) -> dict:
    """Read counters from a stand-in, or post a JSON body such as its faults.

    Raises:
      OSError: The stand-in is down.
      RuntimeError: The stand-in is up, but timed out or answered with an error status.
    """
    method, raw = ("GET", b"") if body is None else ("POST", orjson.dumps(body))
    try:
        answer = await fetch(address, method, path, raw)
    except TimeoutError as exc:
        raise RuntimeError(f"{address} does not answer on {path}") from exc
    if answer.status != 200:
        raise RuntimeError(f"{address} answers {path} with {answer.status}")
    return orjson.loads(answer.body)


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float, pause_s: float = 0.05
) -> bool:
    """Poll an asynchronous condition; return whether it held before the timeout."""
    end_s = monotonic() + timeout_s
    while monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(pause_s)
    return False
