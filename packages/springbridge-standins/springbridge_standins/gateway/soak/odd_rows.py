"""Odd rows by another writer, in each table that nodes read, beside engines that join and leave.

The engines have a service and a route of their own, and all draws come from a generator of their
own, so that the other faults of a seed stay as they are.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from springbridge_standins.gateway.caller import ask
from springbridge_standins.gateway.engine import EngineStandIn, other_endpoint, plain_answer
from springbridge_standins.gateway.fleet import list_engine
from springbridge_standins.gateway.odd_rows.contents import ODD_ENTRIES, Surroundings
from springbridge_standins.gateway.soak.state import MAX_LIST_AGE_S, Soak
from springbridge_standins.http_wire import Connection, RawRequest

SERVICE, PATH = "rows", "/rows/x"
ENGINES, CALLERS = 3, 4
# Longest pause of a caller between two requests, in seconds.
MAX_PAUSE_S = 0.1
# Longest pause between two odd rows, and longest time for which one stays, in seconds.
MAX_CALM_S, MAX_STAY_S = 0.5, 30.0
# Time between two engines that leave, in seconds.
BETWEEN_S = 4.0
# Time for which a node sends to an engine that leaves, in seconds: by an old list while the store
# is out, with a rewritten entry after the store went back, and frozen meanwhile.
MAX_LATE_S = MAX_LIST_AGE_S + 8.0
TABLES = (
    "springbridge-nodes",
    "springbridge-crashes",
    "springbridge-leases",
    "springbridge-versions",
    "op",
)
# Names of the counts.
ODD, LEFT_LONG_AGO = "harm odd row", "engines beside odd rows that left long ago"


@dataclass(eq=False)
class _Engine:
    """An engine, and since when it leaves, on the monotonic clock; None if it does not."""

    name: str
    stand_in: EngineStandIn
    joined_s: float
    leaves_s: float | None = None


@dataclass
class OddRows:
    """The engines beside odd rows."""

    soak: Soak
    rng: random.Random
    engines: list[_Engine] = field(default_factory=list)


@contextlib.asynccontextmanager
async def running_odd_rows(soak: Soak, rng: random.Random) -> AsyncIterator[OddRows]:
    """Run the engines; all end with the block."""
    rows = OddRows(soak, rng)
    try:
        for _ in range(ENGINES):
            await _join(rows)
        yield rows
    finally:
        for engine in rows.engines:
            engine.stand_in.stop()


async def leave_odd_rows_forever(rows: OddRows) -> None:
    """Leave one odd row after another until cancelled."""
    async with asyncio.TaskGroup() as group:
        for number in range(1_000_000):
            group.create_task(_leave_odd_row(rows, number))
            await asyncio.sleep(rows.rng.random() * MAX_CALM_S)


async def exchange_engines_forever(rows: OddRows) -> None:
    """Let one engine after another leave, and others join, until cancelled."""
    while True:
        await asyncio.sleep(BETWEEN_S)
        await _join(rows)
        engine = next(each for each in rows.engines if each.leaves_s is None)
        await _list(rows, engine, "draining")
        engine.leaves_s = time.monotonic()


async def ask_forever(rows: OddRows) -> None:
    """Send one request after another to random nodes until cancelled."""
    while True:
        address = rows.rng.choice(rows.soak.nodes).caller_address
        try:
            got = await ask(address, PATH)
            rows.soak.counts[f"{PATH} {got.status}"] += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            # The node is killed or frozen; what it owes is for the other callers to check.
            rows.soak.counts[f"{PATH} no answer"] += 1
        await asyncio.sleep(rows.rng.random() * MAX_PAUSE_S)


async def _leave_odd_row(rows: OddRows, number: int) -> None:
    """Leave a row in a table, and remove it after a while."""
    soak, rng = rows.soak, rows.rng
    engine = rows.engines[0]
    around = Surroundings(engine.name, engine.stand_in.address, soak.nodes[0].caller_address)
    table = "servers" if rng.random() < 0.5 else rng.choice(TABLES)
    content = rng.choice(list(ODD_ENTRIES.values()))(around)
    key = f"odd-{number}"
    soak.counts[ODD] += 1
    soak.stamp("odd row", table=table, key=key)
    await soak.store.put_content(table, key, content)
    await asyncio.sleep(rng.random() * MAX_STAY_S)
    await soak.store.remove(table, key)


async def _join(rows: OddRows) -> None:
    """Start an engine and list it."""
    name = f"i-{SERVICE}-{len(rows.engines) + 1}"
    engine = _Engine(name, EngineStandIn(name), time.monotonic())

    async def answer(request: RawRequest, connection: Connection) -> None:
        if request.headers.get("expected-instance") != engine.name:
            # For a run that had this address before.
            await other_endpoint(request, connection)
            return
        _check_arrival(rows, engine)
        await plain_answer(request, connection)

    engine.stand_in.script = answer
    await engine.stand_in.start("127.0.0.1")
    rows.engines.append(engine)
    await _list(rows, engine, "ready")


async def _list(rows: OddRows, engine: _Engine, state: str) -> None:
    """Write the entry of an engine."""
    rows.soak.stamp("beside odd rows", engine=engine.name, state=state)
    await list_engine(rows.soak.store, engine.name, SERVICE, engine.stand_in.address, state)


def _check_arrival(rows: OddRows, engine: _Engine) -> None:
    """Check that an engine which gets a request has not left long ago."""
    if engine.leaves_s is None:
        return
    late_s = time.monotonic() - engine.leaves_s
    if late_s > MAX_LATE_S:
        detail = f"{engine.name} got a request {late_s:.1f} s after its word"
        rows.soak.violated("an engine that leaves gets no requests", detail)


def check_odd_rows(rows: OddRows) -> None:
    """Check that each engine was used that joined long enough ago."""
    now_s = time.monotonic()
    for engine in rows.engines:
        left_long_ago = engine.leaves_s is not None and now_s - engine.leaves_s > MAX_LATE_S
        rows.soak.counts[LEFT_LONG_AGO] += left_long_ago
        if now_s - engine.joined_s > MAX_LATE_S and not engine.stand_in.arrived:
            detail = f"{engine.name} joined {now_s - engine.joined_s:.1f} s ago"
            rows.soak.violated("an engine that joins is used", detail)
