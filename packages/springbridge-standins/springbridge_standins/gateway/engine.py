"""Stand-in of an endpoint (engine): records its requests and answers them by a script."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from springbridge_standins.http_standin import HttpStandIn
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    event,
    stream_head,
    unframed_head,
)

Script = Callable[[RawRequest, Connection], Awaitable[None]]

# Path of the health checks of all engines.
HEALTH_PATH = "/healthz"


class EngineStandIn(HttpStandIn):
    """One run of an engine, with a replaceable script.

    Attributes:
      script: Answers each request; tests replace it.
      answer_check: Answers each health check; tests replace it.
      arrived: Requests in the order of their arrival, without health checks.
      checks: Number of health checks.
      is_leaving: Whether its health check says that it takes no more requests.
      abandoned: Ids of requests whose connection was closed before the script ended.
    """

    def __init__(self, endpoint_id: str, script: Script | None = None) -> None:
        """Set the endpoint's id and its script, plain_answer by default."""
        super().__init__()
        self.endpoint_id = endpoint_id
        self.script = script or plain_answer
        self.answer_check: Script = self._answer_check
        self.arrived: list[RawRequest] = []
        self.checks = 0
        self.is_leaving = False
        self.abandoned: list[str] = []

    def begin_to_leave(self) -> None:
        """Say from now on at health checks that it takes no more requests."""
        self.is_leaving = True

    async def _answer_check(self, request: RawRequest, connection: Connection) -> None:
        """Answer a health check as this run, which only the answer of a healthy one names."""
        if request.headers.get("expected-instance", self.endpoint_id) != self.endpoint_id:
            refusal = answer(request.request_id, b"", 421, signature="", Not_Executed="1")
            await connection.send(refusal)
        elif self.is_leaving:
            await connection.send(answer(request.request_id, b"", 503, signature=""))
        else:
            named = {"Instance_Id": self.endpoint_id}
            await connection.send(answer(request.request_id, b"", signature="", **named))

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Run the script, and cancel it when the client closes the connection."""
        if request.path == HEALTH_PATH:
            self.checks += 1
            await self.answer_check(request, connection)
            return
        self.arrived.append(request)
        work = asyncio.ensure_future(self.script(request, connection))
        gone = asyncio.ensure_future(connection.reader.read(1))
        await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        # A reset counts as a close, like the end of input that read() returns.
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await gone
        if not work.done():
            self.abandoned.append(request.request_id)
            work.cancel()
            raise ConnectionResetError
        work.result()


async def plain_answer(request: RawRequest, connection: Connection) -> None:
    """Answer 200 with a Content-Length."""
    await connection.send(answer(request.request_id, b"whole"))


async def not_executed(request: RawRequest, connection: Connection) -> None:
    """Answer 503 with Not-Executed: the request was not run."""
    await connection.send(answer(request.request_id, b"", 503, signature="", Not_Executed="1"))


async def other_endpoint(request: RawRequest, connection: Connection) -> None:
    """Answer 421: another engine has this address."""
    await connection.send(answer(request.request_id, b"", 421, signature=""))


async def engine_error(request: RawRequest, connection: Connection) -> None:
    """Answer 500."""
    await connection.send(answer(request.request_id, b"failed", 500))


async def reset_at_once(request: RawRequest, connection: Connection) -> None:
    """Reset the connection without an answer."""
    connection.reset()


async def silent(request: RawRequest, connection: Connection) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


def stream_of(first: int, last: int, signature: str = "sig") -> Script:
    """Return a script that streams the events first to last and completes."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id, signature))
        for number in range(first, last + 1):
            await connection.send(chunk(event(number)))
        await connection.send(chunk(b""))

    return script


def paced_stream(last: int, pause_s: float) -> Script:
    """Return a script that streams the events 1 to last with a pause before each of them."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id))
        for number in range(1, last + 1):
            await asyncio.sleep(pause_s)
            await connection.send(chunk(event(number)))
        await connection.send(chunk(b""))

    return script


def stream_then_reset(last: int) -> Script:
    """Return a script that streams events to last and part of the next, then resets."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id, "first"))
        for number in range(1, last + 1):
            await connection.send(chunk(event(number)))
        await connection.send(chunk(event(last + 1)[:7]))
        await asyncio.sleep(0.05)
        connection.reset()

    return script


def unframed(body: bytes) -> Script:
    """Return a script that answers without a length or chunks, and closes in order."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(unframed_head(request.request_id) + body)
        connection.close()

    return script


def unframed_stream(last: int, rest: bytes = b"") -> Script:
    """Return a script that streams like unframed(): from the event that is due to one, and rest."""

    async def script(request: RawRequest, connection: Connection) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = b"".join(event(number) for number in range(first, last + 1))
        await unframed(events + rest)(request, connection)

    return script


def stream_forever() -> Script:
    """Return a script that streams an event every 20 ms without end."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id))
        number = 0
        while True:
            number += 1
            await connection.send(chunk(event(number)))
            await asyncio.sleep(0.02)

    return script


def raw_bytes(data: bytes, then_close: bool = False, then_reset: bool = False) -> Script:
    """Return a script that sends bytes unchanged, except that ID becomes the request's id."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(data.replace(b"ID", request.request_id.encode()))
        if then_reset:
            await asyncio.sleep(0.05)
            connection.reset()
        if then_close:
            connection.writer.close()

    return script


def scripted(
    desk: Script | None = None, model: Script | None = None
) -> dict[str, tuple[str, Script]]:
    """Return scripts for a fleet of two engines per service, both with the same script."""
    scripts: dict[str, tuple[str, Script]] = {}
    for service, script in (("desk", desk), ("model", model)):
        for number in (1, 2):
            if script is not None:
                scripts[f"i-{service}-{number}"] = (service, script)
    return scripts


def failing_first(first: Script, then: Script) -> Script:
    """Return a script, shared by two engines, that treats the first request differently."""
    seen: list[RawRequest] = []

    async def script(request: RawRequest, connection: Connection) -> None:
        seen.append(request)
        await (first if len(seen) == 1 else then)(request, connection)

    return script
