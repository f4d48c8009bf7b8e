"""A caller as tests and measurements use it: asks for addresses, sends requests, checks answers."""

import asyncio
import secrets
from dataclasses import dataclass, field
from time import monotonic

import orjson
from springbridge.codes import Code
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from springbridge_standins.class_router.engine_stream import answer_tag, answer_text

REQUEST_TIMEOUT_S = 600.0
ADDRESS_TIMEOUT_S = 2.0
MAX_CLIENTS = 4000


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
      whole: Whether the answer is complete and belongs to the call.
      first_s: Time to the first token; 0 if none came.
      between_s: Mean time between tokens; 0 if fewer than two events came.
      received: Tokens that came.
    """

    code: Code | None = None
    fate: str = ""
    whole: bool = False
    first_s: float = 0.0
    between_s: float = 0.0
    total_s: float = 0.0
    received: int = 0
    retry_after_s: float = 0.0
    text: str = ""


@dataclass(frozen=True)
class Address:
    """An address that the system told a caller."""

    address: str
    failure_domain: str
    id_prefix: str


@dataclass
class _Reading:
    """A streamed answer as it arrives."""

    started_s: float
    reply: Reply = field(default_factory=Reply)
    last_s: float = 0.0
    events: int = 0
    done: bool = False
    rest: bytes = b""

    def feed(self, data: bytes) -> None:
        """Take in a piece of the body."""
        lines = (self.rest + data).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            if line == b"data: [DONE]":
                self.done = True
            elif line.startswith(b"data: "):
                self._event(orjson.loads(line[6:]))

    def _event(self, event: dict) -> None:
        reply = self.reply
        if "error" in event:
            _note_error(reply, event["error"])
            return
        now_s = monotonic()
        if not self.events:
            reply.first_s = now_s - self.started_s
        self.events += 1
        self.last_s = now_s
        reply.text += event["choices"][0]["delta"]["content"]
        reply.received += event["tokens"]
        if reply.received > 1:
            spent_s = self.last_s - self.started_s - reply.first_s
            reply.between_s = spent_s / (reply.received - 1)


def _note_error(reply: Reply, error: dict) -> None:
    reply.code = Code(error["code"])
    reply.fate = error["fate"]
    reply.retry_after_s = error["retry_after_s"] or 0.0


class Caller:
    """Sends calls and judges their answers."""

    def __init__(self) -> None:
        """Open a client."""
        self._client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def addresses(self, node: str, key: str, request_class: str) -> list[Address]:
        """Return the addresses that a node tells for a class; none if it does not answer."""
        request = HTTPRequest(
            f"http://{node}/v1/addresses?class={request_class}",
            headers={"Authorization": f"Bearer {key}"},
            request_timeout=ADDRESS_TIMEOUT_S,
            connect_timeout=ADDRESS_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request)
        except Exception:
            return []
        found = orjson.loads(response.body)["addresses"]
        return [Address(one["address"], one["place"], one["id_prefix"]) for one in found]

    async def send(self, address: str, call: Call) -> Reply:
        """Send a call to a node and return how it ended."""
        if call.service:
            return await self._send_service(address, call)
        reading = _Reading(monotonic())
        body = {
            "messages": [{"role": "user", "content": call.prompt}],
            "max_tokens": call.tokens,
            "stream": True,
        }
        request = self._request(address, "/v1/chat/completions", call, body)
        request.streaming_callback = reading.feed
        await self._fetch(request, reading)
        reply = reading.reply
        reply.total_s = monotonic() - reading.started_s
        wanted = answer_text(answer_tag(call.prompt), 0, call.tokens)
        reply.whole = reading.done and reply.text == wanted
        if reading.done and reply.code is None:
            reply.code = Code.OK
        return reply

    async def _fetch(self, request: HTTPRequest, reading: _Reading) -> None:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception:
            return
        if response.code != 200 and reading.rest:
            _read_error(reading.reply, reading.rest)

    async def _send_service(self, address: str, call: Call) -> Reply:
        reply = Reply()
        started_s = monotonic()
        path = f"/v1/services/{call.service}/run"
        request = self._request(address, path, call, {"prompt": call.prompt})
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception:
            return reply
        reply.total_s = reply.first_s = monotonic() - started_s
        if response.code == 200:
            reply.code = Code.OK
            answer = orjson.loads(response.body)
            reply.whole = answer["request"]["prompt"] == call.prompt
        elif response.body:
            _read_error(reply, response.body)
        return reply

    def _request(self, address: str, path: str, call: Call, body: dict) -> HTTPRequest:
        headers = {
            "Authorization": f"Bearer {call.key}",
            "Springbridge-Class": call.request_class,
        }
        if call.request_id:
            headers["Springbridge-Request-Id"] = call.request_id
        if call.affinity:
            headers["Springbridge-Affinity"] = call.affinity
        return HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            headers=headers,
            body=orjson.dumps(body),
            connect_timeout=ADDRESS_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )


def _read_error(reply: Reply, body: bytes) -> None:
    try:
        _note_error(reply, orjson.loads(body)["error"])
    except (ValueError, KeyError):
        return


def new_id(address: Address) -> str:
    """Return a request id whose home is the node at an address."""
    return address.id_prefix + secrets.token_hex(6)


async def control(client: AsyncHTTPClient, address: str, path: str, body: object = None) -> dict:
    """Read from a stand-in or switch its faults."""
    request = HTTPRequest(
        f"http://{address}{path}",
        method="GET" if body is None else "POST",
        body=None if body is None else orjson.dumps(body),
        request_timeout=5.0,
    )
    response = await client.fetch(request)
    return orjson.loads(response.body) if response.body else {}


async def until(condition, timeout_s: float, pause_s: float = 0.05) -> bool:
    """Wait until an asynchronous condition holds; return whether it did in time."""
    end_s = monotonic() + timeout_s
    while monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(pause_s)
    return False
