"""A caller as tests and the soak use it: asks for addresses, sends requests, checks answers."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import monotonic

import orjson
from springbridge.codes import Code

from springbridge_standins.class_router.engine import answer_tag, answer_text
from springbridge_standins.http_wire import RawAnswer, fetch

# Longer than any answer of a test; the nodes' own deadlines have to end a request.
REQUEST_TIMEOUT_S = 600.0
# A node that gives no addresses within this is passed over for another.
ADDRESS_TIMEOUT_S = 2.0
DATA = b"data: "
DONE = b"data: [DONE]"


@dataclass(frozen=True)
class Call:
    """One request of a caller; tokens is the true length of the answer, which no node looks at."""

    key: str
    request_class: str
    prompt: str
    tokens: int
    request_id: str = ""
    service: str = ""
    affinity: str = ""


@dataclass
class Reply:
    """How a call ended.

    Attributes:
      code: The result code; None where the connection broke without one.
      fate: What the answer says of the call's execution, such as "not run".
      whole: Whether the answer is complete and belongs to the call.
      total_s: Time to the end.
      retry_after_s: When to come back; 0 if nothing was said.
    """

    code: Code | None = None
    fate: str = ""
    whole: bool = False
    total_s: float = 0.0
    retry_after_s: float = 0.0
    text: str = ""

    def note_error(self, error: dict) -> None:
        """Take over what an error says."""
        self.code = Code(error["code"])
        self.fate = error["fate"]
        self.retry_after_s = error["retry_after_s"] or 0.0


@dataclass(frozen=True)
class Address:
    """An address that a node gives callers."""

    address: str
    failure_domain: str
    id_prefix: str


class Caller:
    """Sends calls and judges their answers."""

    async def addresses(self, node: str, key: str, request_class: str) -> list[Address]:
        """Return the addresses that a node gives for a class; none if it does not answer."""
        path = f"/v1/addresses?class={request_class}"
        bearer = f"Bearer {key}"
        try:
            got = await fetch(node, "GET", path, timeout_s=ADDRESS_TIMEOUT_S, Authorization=bearer)
        except OSError:
            return []
        if got.status != 200 or not got.is_complete:
            return []
        found = orjson.loads(got.body)["addresses"]
        return [Address(one["address"], one["place"], one["id_prefix"]) for one in found]

    async def send(self, address: str, call: Call) -> Reply:
        """Send a call to a node and return how it ended."""
        started_s = monotonic()
        path, body = _asked(call)
        headers = {
            "Authorization": f"Bearer {call.key}",
            "Springbridge_Class": call.request_class,
            "Springbridge_Request_Id": call.request_id,
            "Springbridge_Affinity": call.affinity,
        }
        reply = Reply()
        try:
            raw = orjson.dumps(body)
            got = await fetch(address, "POST", path, raw, REQUEST_TIMEOUT_S, **headers)
        except OSError:
            return reply
        if got.status != 200:
            _read_error(reply, got)
        elif call.service:
            _read_service(reply, got, call)
        else:
            _read_stream(reply, got, call)
        reply.total_s = monotonic() - started_s
        return reply


def _asked(call: Call) -> tuple[str, dict]:
    """Return the path and the body of a call."""
    if call.service:
        return f"/v1/services/{call.service}/run", {"prompt": call.prompt}
    messages = [{"role": "user", "content": call.prompt}]
    body = {"messages": messages, "max_tokens": call.tokens, "stream": True}
    return "/v1/chat/completions", body


def _read_error(reply: Reply, got: RawAnswer) -> None:
    """Take over the error of an answer; one that is cut or has none leaves the reply empty."""
    try:
        reply.note_error(orjson.loads(got.body)["error"])
    except (ValueError, KeyError):
        return


def _read_service(reply: Reply, got: RawAnswer, call: Call) -> None:
    """Take over a service's answer."""
    if got.is_complete:
        reply.code = Code.OK
        reply.whole = orjson.loads(got.body)["request"]["prompt"] == call.prompt


def _read_stream(reply: Reply, got: RawAnswer, call: Call) -> None:
    """Take over the events of a stream; what follows the last whole line is no event."""
    lines = got.body.split(b"\n")[:-1]
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
    """Return a request id whose home is the node at an address."""
    return address.id_prefix + secrets.token_hex(6)


async def control(address: str, path: str, body: object = None) -> dict:
    """Read from a stand-in or switch its faults.

    Raises:
      OSError: The stand-in is down.
      RuntimeError: It is up and does not do what is asked.
    """
    method, raw = ("GET", b"") if body is None else ("POST", orjson.dumps(body))
    try:
        got = await fetch(address, method, path, raw)
    except TimeoutError as exc:
        raise RuntimeError(f"{address} does not answer on {path}") from exc
    if got.status != 200:
        raise RuntimeError(f"{address} answers {path} with {got.status}")
    return orjson.loads(got.body)


async def until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float, pause_s: float = 0.05
) -> bool:
    """Wait until an asynchronous condition holds; return whether it did in time."""
    end_s = monotonic() + timeout_s
    while monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(pause_s)
    return False
