"""Rollouts of the soak: engines of several versions, and callers that take their streams up again.

These engines have a service and a route of their own, and all draws come from a generator of their
own, so that the other faults of a seed stay as they are. Callers come back at any node, and a
stream must have events of one version only. Of the streams that can go on, as two engines of their
version serve, at least half as many have to as of the new ones begin.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.engine import EngineStandIn, other_endpoint
from springbridge_standins.gateway.fleet import list_engine
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.versioned import LAST_EVENT, VersionedStream, versioned_stream
from springbridge_standins.http_wire import Connection, RawRequest

SERVICE, PATH = "reader", "/read/x"
VERSIONS = ("v1", "v1.1", "v1.2")
ENGINES = 6
CALLERS = 4
# Requests of one caller for one stream at most, and the longest pause between two, in seconds.
MAX_TRIES, MAX_PAUSE_S = 5, 0.3
# Share of the runs that break.
BREAK_SHARE = 0.4
# Share of the engines that end without draining, and the time for which the others do, in seconds.
CRASH_SHARE, DRAIN_S = 0.3, 2.5
# Longest pause between two replacements of an engine, in seconds.
MAX_ROLLOUT_PAUSE_S = 1.5
# Interval at which engines write their entries, in seconds.
HEARTBEAT_S = 0.5
# Streams below which their share says nothing, and the share of that of new ones that breaks the
# users' rule.
MIN_STREAMS, MIN_SHARE = 12, 0.5


@dataclass
class VersionedEngine:
    """An engine of a version."""

    name: str
    version: str
    stand_in: EngineStandIn
    drains: bool = False
    is_being_replaced: bool = False


@dataclass
class Rollouts:
    """The engines of several versions, and what became of their streams.

    Attributes:
      ended: Names of the engines that have ended, whose entries an older copy may bring back.
      begun, not_begun: New streams whose caller got an event, and that got none.
      went_on, stopped: The same for streams that were taken up while two engines of their version
        served.
    """

    soak: Soak
    rng: random.Random
    engines: list[VersionedEngine] = field(default_factory=list)
    ended: set[str] = field(default_factory=set)
    started: int = 0
    begun: int = 0
    not_begun: int = 0
    went_on: int = 0
    stopped: int = 0

    def serving(self, version: str) -> int:
        """Return how many engines of a version serve and stay."""
        return sum(each.version == version and not each.drains for each in self.engines)


@contextlib.asynccontextmanager
async def running_rollouts(soak: Soak, rng: random.Random) -> AsyncIterator[Rollouts]:
    """Run engines of two versions; all engines end with the block."""
    rollouts = Rollouts(soak, rng)
    try:
        for number in range(ENGINES):
            await _start_engine(rollouts, VERSIONS[number % 2])
        yield rollouts
    finally:
        for engine in rollouts.engines:
            engine.stand_in.stop()


async def roll_out_forever(rollouts: Rollouts) -> None:
    """Replace engines by others of drawn versions until cancelled; replacements overlap."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_write_entries_forever(rollouts))
        while True:
            await asyncio.sleep(rollouts.rng.random() * MAX_ROLLOUT_PAUSE_S)
            rollouts.soak.counts["harm replace_engine"] += 1
            group.create_task(_replace_engine(rollouts))


async def stream_forever(rollouts: Rollouts, number: int) -> None:
    """Play streams one after another, as one caller, until cancelled."""
    count = 0
    while True:
        count += 1
        await _play_stream(rollouts, f"v{number}-{count}")


def check_versions(rollouts: Rollouts) -> None:
    """Check that streams that could go on did, compared to new ones that began."""
    counts, taken_up = rollouts.soak.counts, rollouts.went_on + rollouts.stopped
    new = rollouts.begun + rollouts.not_begun
    counts["versions: new streams"], counts["versions: begun"] = new, rollouts.begun
    counts["versions: taken up"], counts["versions: went on"] = taken_up, rollouts.went_on
    if taken_up < MIN_STREAMS or not new:
        return
    if rollouts.went_on / taken_up < MIN_SHARE * rollouts.begun / new:
        detail = f"{rollouts.went_on} of {taken_up}, new ones {rollouts.begun} of {new}"
        rollouts.soak.violated("streams go on at their version", detail)


async def _play_stream(rollouts: Rollouts, name: str) -> None:
    """Play one stream until it is whole or its caller gives it up, and check its events."""
    soak, rng = rollouts.soak, rollouts.rng
    stream, first_id = VersionedStream((), ()), ""
    for attempt in range(MAX_TRIES):
        request_id = f"{name}-{attempt}"
        headers = {"Request_Id": request_id}
        can_go_on = False
        if stream.numbers:
            headers |= {"Last_Event_Id": str(stream.numbers[-1]), "Resumes": first_id}
            can_go_on = rollouts.serving(stream.versions[0]) >= 2
        got, is_complete = await _ask(soak, rng, headers)
        has_begun = bool(got.numbers) or is_complete
        if not stream.numbers:
            first_id = request_id
            rollouts.begun += has_begun
            rollouts.not_begun += not has_begun
        elif can_go_on:
            rollouts.went_on += has_begun
            rollouts.stopped += not has_begun
        stream = stream + got
        if is_complete:
            break
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
    if stream.is_mixed:
        soak.violated("events of one version", f"{name} {stream.versions}")
    if stream.numbers != tuple(range(1, len(stream.numbers) + 1)):
        soak.violated("each event once", f"{name} {stream.numbers}")


async def _ask(
    soak: Soak, rng: random.Random, headers: dict[str, str]
) -> tuple[VersionedStream, bool]:
    """Send a request to a random node; return its events, and whether the stream was complete."""
    address = rng.choice(soak.nodes).caller_address
    try:
        connection = await CallerConnection.open(address)
        with contextlib.closing(connection):
            got = await connection.ask(PATH, method="POST", body=b"b", **headers)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return VersionedStream((), ()), False
    soak.counts[f"{PATH} {got.status}"] += 1
    if got.status != 200:
        return VersionedStream((), ()), False
    return VersionedStream.from_body(got.body), got.is_complete


async def _replace_engine(rollouts: Rollouts) -> None:
    """Start an engine of a drawn version and end another one, which may drain before."""
    rng = rollouts.rng
    staying = [each for each in rollouts.engines if not each.is_being_replaced]
    if len(staying) < ENGINES // 2:
        return
    engine = rng.choice(staying)
    # At once: while the other one starts, another replacement may draw an engine.
    engine.is_being_replaced = True
    await _start_engine(rollouts, rng.choice(VERSIONS))
    engine.drains = True
    if rng.random() >= CRASH_SHARE:
        await _write_entry(rollouts, engine)
        await asyncio.sleep(DRAIN_S)
    engine.stand_in.stop()
    rollouts.engines.remove(engine)
    rollouts.ended.add(engine.name)


async def _start_engine(rollouts: Rollouts, version: str) -> None:
    """Start and list an engine under a new id."""
    rollouts.started += 1
    name = f"i-{SERVICE}-{rollouts.started}"
    stream = versioned_stream(version, lambda request: _break(rollouts.rng))

    async def script(request: RawRequest, connection: Connection) -> None:
        is_meant = request.headers.get("expected-instance") == name
        await (stream if is_meant else other_endpoint)(request, connection)

    engine = VersionedEngine(name, version, EngineStandIn(name, script))
    await engine.stand_in.start("127.0.0.1")
    rollouts.engines.append(engine)
    await _write_entry(rollouts, engine)


def _break(rng: random.Random) -> int | None:
    """Return after how many events a run breaks, None if it is whole."""
    return rng.randrange(LAST_EVENT) if rng.random() < BREAK_SHARE else None


async def _write_entries_forever(rollouts: Rollouts) -> None:
    """Write the entries of engines, and remove those of ended ones, until cancelled."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for engine in list(rollouts.engines):
            await _write_entry(rollouts, engine)
        for name in rollouts.ended:
            if rollouts.soak.store.value_of("servers", name) is not None:
                await rollouts.soak.store.remove("servers", name)


async def _write_entry(rollouts: Rollouts, engine: VersionedEngine) -> None:
    """Write the entry of an engine into the list."""
    state = "draining" if engine.drains else "ready"
    await list_engine(
        rollouts.soak.store,
        engine.name,
        SERVICE,
        engine.stand_in.address,
        state,
        version=engine.version,
    )
