"""Streams of the soak that break off, and endpoints that answer with something else than the rest.

These endpoints have a service and a route of their own and state nothing about themselves, so that
a stream that breaks off nearly always has another endpoint that it may go on at. All draws come
from a generator of their own, so that the other faults of a seed stay as they are.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.engine import EngineStandIn, Script, other_endpoint
from springbridge_standins.gateway.fleet import list_engine
from springbridge_standins.gateway.soak.checks import check_body, check_no_answer
from springbridge_standins.gateway.soak.engine import (
    EVENT_PAUSE_S,
    event_count,
    full_stream,
    stream_event,
)
from springbridge_standins.gateway.soak.odd_answers import OddAnswers
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.http_wire import Connection, RawRequest, chunk, stream_head

SERVICE, PATH = "writer", "/write/x"
# Endpoints that may be asked for parts of one stream.
MAX_ATTEMPTS = 3
ENGINES = 4
CALLERS = 3
# Longest pause of a caller between two streams, in seconds.
MAX_PAUSE_S = 0.2
# Share of the runs that break.
BREAK_SHARE = 0.5


@dataclass(frozen=True)
class ContinuedStreams:
    """The parts of the endpoints and callers of such streams."""

    soak: Soak
    rng: random.Random
    odd_answers: OddAnswers


@contextlib.asynccontextmanager
async def running_continued_streams(streams: ContinuedStreams) -> AsyncIterator[None]:
    """Run and list the endpoints; all end with the block."""
    async with contextlib.AsyncExitStack() as stack:
        for number in range(ENGINES):
            name = f"i-{SERVICE}-{number + 1}"
            engine = EngineStandIn(name, _script(streams, name))
            await engine.start("127.0.0.1")
            stack.callback(engine.stop)
            await list_engine(streams.soak.store, name, SERVICE, engine.address, "ready", slots=8)
        yield


def _script(streams: ContinuedStreams, name: str) -> Script:
    """Return the script of an endpoint with a name."""

    async def script(request: RawRequest, connection: Connection) -> None:
        if request.headers.get("expected-instance") != name:
            await other_endpoint(request, connection)
            return
        unfit = streams.odd_answers.draw_unfit(request)
        if unfit is not None:
            await connection.send(unfit)
            connection.close()
            return
        await _send_rest(streams.rng, request, connection)

    return script


async def _send_rest(rng: random.Random, request: RawRequest, connection: Connection) -> None:
    """Send the events after Last-Event-Id, or break off behind one of them."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    last = event_count(request.request_id)
    stop = rng.randint(first, last) if first <= last and rng.random() < BREAK_SHARE else None
    await connection.send(stream_head(request.request_id))
    for number in range(first, last + 1):
        await connection.send(chunk(stream_event(request.request_id, number)))
        await asyncio.sleep(EVENT_PAUSE_S)
        if number == stop:
            connection.reset()
            return
    await connection.send(chunk(b""))


async def ask_forever(streams: ContinuedStreams, number: int) -> None:
    """Ask for one stream after another, as one caller, at random nodes, until cancelled."""
    count = 0
    while True:
        count += 1
        await _ask(streams, f"w{number}-{count}")
        await asyncio.sleep(streams.rng.random() * MAX_PAUSE_S)


async def _ask(streams: ContinuedStreams, request_id: str) -> None:
    """Ask for one stream and check what came; the node may be killed meanwhile."""
    soak = streams.soak
    node = streams.rng.choice(soak.nodes)
    kills_before = node.kills
    try:
        connection = await CallerConnection.open(node.caller_address)
        with contextlib.closing(connection):
            got = await connection.ask(PATH, method="POST", body=b"b", Request_Id=request_id)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as exc:
        soak.counts[f"{PATH} no answer"] += 1
        check_no_answer(soak, PATH, request_id, node.kills > kills_before, exc)
        return
    end = "whole" if got.is_complete else "cut off"
    soak.counts[f"{PATH} {got.status} {end}"] += 1
    if got.status == 200:
        check_body(soak, PATH, request_id, full_stream(request_id), got)
