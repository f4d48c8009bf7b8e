"""Engines of the soak that leave or crash while they stream, and whose streams state no length.

Each run has an id of its own, as on the platform, and ends by closing all of its connections in
order. The engines have a service and a route of their own, and all draws come from a generator of
their own, so that the other faults of a seed stay as they are.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum, auto

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.engine import EngineStandIn, Script, other_endpoint
from springbridge_standins.gateway.fleet import list_engine
from springbridge_standins.gateway.soak.checks import check_body, check_no_answer
from springbridge_standins.gateway.soak.engine import EVENT_PAUSE_S, digest, stream_event
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.http_wire import Connection, RawRequest, unframed_head

SERVICE, PATH = "leaver", "/leave/x"
ENGINES = 5
CALLERS = 8
# Shortest and longest stream, in events. Longer than the others of the soak, so that departures
# strike within streams.
MIN_EVENTS, MAX_EVENTS = 10, 70
# Longest pause of a caller between two streams, in seconds.
MAX_PAUSE_S = 0.1
# Longest pause between two departures, and longest time for which an engine serves on that has
# announced its own, in seconds: some end as planned, some are killed before.
MAX_CALM_S, MAX_SERVING_S = 0.6, 1.2
# Share of the engines whose next run has the same address at once.
SAME_ADDRESS_SHARE = 0.5
# Interval at which engines write their entries, in seconds.
HEARTBEAT_S = 0.5
# Names of the counts.
DEPARTURES, CUT, WHOLE = "harm departure", "streams that a departure cut", f"{PATH} 200 whole"


class Notice(Enum):
    """How an engine announces its end: by its entry, in its answers, by no entry, not at all."""

    ENTRY = auto()
    WORD = auto()
    NO_ENTRY = auto()
    NONE = auto()


@dataclass(eq=False)
class Run:
    """A run of an engine.

    Attributes:
      notice: How it has announced its end; None before.
      streaming: Ids of the requests whose streams it is sending.
    """

    name: str
    stand_in: EngineStandIn
    notice: Notice | None = None
    streaming: set[str] = field(default_factory=set)


@dataclass
class Departures:
    """The runs of the engines.

    Attributes:
      ended: Names of runs whose entries must not be listed, which an older copy may bring back.
    """

    soak: Soak
    rng: random.Random
    runs: list[Run] = field(default_factory=list)
    ended: set[str] = field(default_factory=set)
    started: int = 0


@contextlib.asynccontextmanager
async def running_departures(soak: Soak, rng: random.Random) -> AsyncIterator[Departures]:
    """Run the engines; all end with the block."""
    departures = Departures(soak, rng)
    try:
        for _ in range(ENGINES):
            await _start_run(departures)
        yield departures
    finally:
        for run in departures.runs:
            run.stand_in.stop()


async def depart_forever(departures: Departures) -> None:
    """Let one engine after another end, some at the same time, until cancelled."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_write_entries_forever(departures))
        while True:
            await asyncio.sleep(departures.rng.random() * MAX_CALM_S)
            staying = [run for run in departures.runs if run.notice is None]
            if len(staying) > ENGINES // 2:
                group.create_task(_depart(departures, departures.rng.choice(staying)))


async def ask_forever(departures: Departures, number: int) -> None:
    """Ask for one stream after another, as one caller, at random nodes, until cancelled."""
    count = 0
    while True:
        count += 1
        await _ask(departures, f"l{number}-{count}")
        await asyncio.sleep(departures.rng.random() * MAX_PAUSE_S)


async def _depart(departures: Departures, run: Run) -> None:
    """Let a run announce its end or not, and end; another run takes its place."""
    soak, rng = departures.soak, departures.rng
    soak.counts[DEPARTURES] += 1
    run.notice = rng.choice(list(Notice))
    soak.stamp("departs", run=run.name, notice=run.notice.name)
    if run.notice is not Notice.NONE:
        run.stand_in.begin_to_leave()
        await _write_entry(departures, run)
        await asyncio.sleep(rng.random() * MAX_SERVING_S)
    soak.counts[CUT] += len(run.streaming)
    soak.stamp("departed", run=run.name, streaming=sorted(run.streaming))
    run.stand_in.stop(Connection.close)
    departures.runs.remove(run)
    departures.ended.add(run.name)
    address = run.stand_in.address if rng.random() < SAME_ADDRESS_SHARE else ""
    await _start_run(departures, address)


async def _start_run(departures: Departures, address: str = "") -> None:
    """Start a run under a new id, at an address or at any, and list it."""
    departures.started += 1
    name = f"i-{SERVICE}-{departures.started}"
    run = Run(name, EngineStandIn(name))
    run.stand_in.script = _streaming(run)
    run.stand_in.address = address
    try:
        await run.stand_in.start("127.0.0.1")
    except OSError:
        # Another connection has taken the port meanwhile.
        run.stand_in.address = ""
        await run.stand_in.start("127.0.0.1")
    departures.runs.append(run)
    await _write_entry(departures, run)


def _streaming(run: Run) -> Script:
    """Return the script of a run: the events that are due, without a length."""

    async def script(request: RawRequest, connection: Connection) -> None:
        if request.headers.get("expected-instance") != run.name:
            await other_endpoint(request, connection)
            return
        run.streaming.add(request.request_id)
        try:
            await _stream(run, request, connection)
        finally:
            run.streaming.discard(request.request_id)

    return script


async def _stream(run: Run, request: RawRequest, connection: Connection) -> None:
    """Send the events that are due, and close the connection."""
    says = {"Server_Leaving": "1"} if run.notice is Notice.WORD else {}
    await connection.send(unframed_head(request.request_id, **says))
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, _last_event(request.request_id) + 1):
        await connection.send(stream_event(request.request_id, number))
        await asyncio.sleep(EVENT_PAUSE_S)
    connection.close()


def _last_event(request_id: str) -> int:
    """Return the number of the last event of a request's stream, the same at every engine."""
    return MIN_EVENTS + int(digest(request_id.encode()), 16) % (MAX_EVENTS - MIN_EVENTS + 1)


async def _write_entries_forever(departures: Departures) -> None:
    """Write the entries of runs, and remove those of ended ones, until cancelled."""
    store = departures.soak.store
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for run in list(departures.runs):
            await _write_entry(departures, run)
        for name in departures.ended:
            if store.value_of("servers", name) is not None:
                await store.remove("servers", name)


async def _write_entry(departures: Departures, run: Run) -> None:
    """Write the entry of a run into the list, or remove it."""
    store = departures.soak.store
    if run.notice is Notice.NO_ENTRY:
        await store.remove("servers", run.name)
        return
    state = "draining" if run.notice is Notice.ENTRY else "ready"
    await list_engine(store, run.name, SERVICE, run.stand_in.address, state, slots=8)


async def _ask(departures: Departures, request_id: str) -> None:
    """Ask for one stream and check what came; the node may be killed meanwhile."""
    soak = departures.soak
    node = departures.rng.choice(soak.nodes)
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
        last = _last_event(request_id)
        whole = b"".join(stream_event(request_id, number) for number in range(1, last + 1))
        check_body(soak, PATH, request_id, whole, got)
