"""Streams at endpoints of several versions, with drawn breaks, rollouts and harms of the nodes.

Callers take a stream up at other nodes until it is whole. Counted are streams with events of two
versions, streams with missing or repeated events, and how many go on that could.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from unittest import mock

import typer
from springbridge.routing.resumption import takes_up_stream
from springbridge.routing.shared_retry_budget import RetryBudgetLimits
from springbridge_node.gateway.gateway import Gateway
from springbridge_node.gateway.outside import PlatformPorts
from springbridge_node.gateway.requests.request_log import RequestLog

from springbridge_standins.gateway.caller import request_bytes
from springbridge_standins.gateway.engine import EngineStandIn, Script, other_endpoint
from springbridge_standins.gateway.fleet import Fleet, MakeOutside, add_node, running_fleet, until
from springbridge_standins.gateway.versioned import (
    EVENT,
    LAST_EVENT,
    VersionedStream,
    versioned_stream,
)
from springbridge_standins.http_wire import CRLF, Connection, RawRequest, parse_head

NODES = 5
ENGINES = 8
VERSIONS = ("v1", "v1.1", "v1.2", "v2", "")
# How an event names the version whose text is empty.
NO_TEXT = "-"
# Streams under way at a time.
CALLERS = 16
# Requests of one caller for one stream, at most.
MAX_TRIES = 6
# Shares of runs that break, of callers that leave midway, and of those that name no Resumes.
BREAK_SHARE, LEAVE_SHARE, OLDER_SHARE = 0.45, 0.1, 0.05
# Shares of new engines that take the id of an earlier one, or the address of the one before.
SAME_ID_SHARE, SAME_ADDRESS_SHARE = 0.15, 0.5
# Seconds after which an id may be used again. Above the age of any list that a node uses, since
# nothing tells a node of a process that has taken over an id before its list does.
REUSE_AFTER_S = 4.0
# Pause of a caller before it comes back, in seconds at most.
MAX_PAUSE_S = 0.1
# Longest time for which a node is harmed, and between two harms, in seconds.
MAX_HARM_S, MAX_CALM_S = 2.0, 6.0
# Time for which an engine serves on after its entry says that it drains, in seconds.
DRAIN_S = 0.6
# Longest time for an answer, in seconds.
MAX_ANSWER_S = 10.0
# Seconds after a harm of a node, or its start, in which it is not in touch.
CONTACT_S = 3.0
# Seconds in which engines write their entries again after the store went back.
REWRITE_S = 0.5
# So much that retries are never refused for it.
BUDGET = RetryBudgetLimits(ratio=5.0, slack=10_000, window_s=10.0)


@dataclass
class Outcomes:
    """What became of the streams.

    Attributes:
      counts: Events of the play, by name.
      wrong: Descriptions of streams with events of two versions, or missing or repeated ones.
      fates: What the nodes decided on each request that took up a stream or was sent to engines.
    """

    counts: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    fates: dict[str, str] = field(default_factory=dict)

    def share(self, part: str, whole: str) -> float:
        """Return the share of one count in another, 1 if that is 0."""
        return self.counts[part] / self.counts[whole] if self.counts[whole] else 1.0

    def lines(self) -> Iterator[str]:
        """Yield the lines of a report."""
        for name, count in sorted(self.counts.items()):
            yield f"{count:7} {name}"
        yield f"{self.share('begun', 'begun or not'):7.3f} of new streams begin"
        yield f"{self.share('went on', 'could go on'):7.3f} of streams that could go on do"
        yield from self.wrong[:60]


@dataclass
class Engine:
    """An engine as it runs now."""

    stand_in: EngineStandIn
    endpoint_id: str
    version: str
    born: int
    drains: bool = False


@dataclass
class World:
    """A fleet under draws."""

    fleet: Fleet
    make_outside: MakeOutside
    rng: random.Random
    outcomes: Outcomes
    engines: list[Engine] = field(default_factory=list)
    in_touch_from_s: dict[str, float] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)
    free_ids: list[tuple[float, str]] = field(default_factory=list)
    born: int = 0

    def live_nodes(self) -> list[Gateway]:
        """Return the nodes that have not ended."""
        return [node for node in self.fleet.nodes if node.settings.name not in self.ended]

    def harm(self, node: Gateway, seconds: float) -> None:
        """Record that a node is harmed for some seconds from now on, and then not in touch yet."""
        until_s = _now_s() + seconds + CONTACT_S
        known_s = self.in_touch_from_s.get(node.settings.name, 0.0)
        self.in_touch_from_s[node.settings.name] = max(known_s, until_s)

    def is_in_touch(self, node: Gateway) -> bool:
        """Return whether a node counts as in touch."""
        return _now_s() >= self.in_touch_from_s.get(node.settings.name, 0.0)

    def new_id(self) -> str:
        """Return an id for a new engine, at times one that was used long enough ago."""
        self.born += 1
        if self.free_ids and self.rng.random() < SAME_ID_SHARE:
            free_from_s, used = self.free_ids[0]
            if _now_s() >= free_from_s:
                self.free_ids.pop(0)
                return used
        return f"i-model-{self.born}"

    def serving(self, version: str) -> int:
        """Return how many engines of a version serve and stay."""
        return sum(each.version == version and not each.drains for each in self.engines)


async def play(make_outside: MakeOutside, seed: int, streams: int) -> Outcomes:
    """Play streams of drawn fates, and return what became of them."""
    rng = random.Random(seed)
    outcomes = Outcomes()
    with _recorded_fates(outcomes):
        async with running_fleet(make_outside, {}, NODES, budget=BUDGET) as fleet:
            await _play(World(fleet, make_outside, rng, outcomes), seed, streams)
    return outcomes


async def _play(world: World, seed: int, streams: int) -> None:
    """Play streams at a running fleet; its added nodes and its engines are stopped then."""
    fleet = world.fleet
    for number in range(ENGINES):
        await _start_engine(world, VERSIONS[number % 2])
    await until(lambda: all(len(n.registry.entries()) == ENGINES for n in fleet.nodes))
    harms = [asyncio.ensure_future(_repeat(world, each)) for each in HARMS]
    numbers = iter(range(streams))
    try:
        await asyncio.gather(*(_call(world, seed, numbers) for _ in range(CALLERS)))
        for task in harms:
            if task.done():
                task.result()
    finally:
        for task in harms:
            task.cancel()
        await asyncio.gather(*harms, return_exceptions=True)
        for node in fleet.nodes[NODES:]:
            await node.end()
        for engine in world.engines:
            engine.stand_in.stop()


# Callers


async def _call(world: World, seed: int, numbers: Iterator[int]) -> None:
    """Play streams one after another, as one caller."""
    for number in numbers:
        await _play_stream(world, f"s{seed}-{number}")


async def _play_stream(world: World, name: str) -> None:
    """Play one stream until it is whole, or the caller gives it up."""
    counts, rng = world.outcomes.counts, world.rng
    stream, first_id = VersionedStream((), ()), ""
    older = rng.random() < OLDER_SHARE
    could_go_on = went_on = False
    tries = [f"{name}-{attempt}" for attempt in range(MAX_TRIES)]
    for request_id in tries:
        node = rng.choice(world.live_nodes())
        headers = {"Request_Id": request_id}
        if stream.numbers:
            headers["Last_Event_Id"] = str(stream.numbers[-1])
            headers["Resumes"] = "" if older else first_id
            serves = world.is_in_touch(node) and world.serving(stream.versions[0]) >= 2
            could_go_on = could_go_on or (serves and not older)
        got, is_complete = await _ask(world, node, headers)
        if not stream.numbers and got.numbers:
            first_id = request_id
        if not stream.numbers and world.is_in_touch(node):
            counts["begun or not"] += 1
            counts["begun"] += bool(got.numbers or is_complete)
        went_on = went_on or bool(stream.numbers and (got.numbers or is_complete))
        counts["taken up"] += bool(stream.numbers)
        stream = stream + got
        if is_complete:
            break
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
    counts["could go on"] += could_go_on
    counts["went on"] += could_go_on and went_on
    _judge(world.outcomes, tries, stream)


async def _ask(world: World, node: Gateway, headers: dict) -> tuple[VersionedStream, bool]:
    """Send a request; return the events that came, and whether the answer was a whole stream.

    A caller that leaves midway, or whose node ends, has what came until then.
    """
    host, _, port = node.settings.addresses.callers.rpartition(":")
    leaves_after = world.rng.randint(1, 4) if world.rng.random() < LEAVE_SHARE else LAST_EVENT + 1
    got = bytearray()
    try:
        async with asyncio.timeout(MAX_ANSWER_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(request_bytes("/stream/x", method="POST", body=b"b", **headers))
                status, fields = parse_head(await reader.readuntil(CRLF + CRLF))
                world.outcomes.counts[f"answers {status.split()[1]}"] += 1
                if fields.get("transfer-encoding") != "chunked":
                    return VersionedStream((), ()), False
                async for piece in _chunks(reader):
                    got += piece
                    has_ended = node.settings.name in world.ended
                    if has_ended or len(EVENT.findall(got)) >= leaves_after:
                        return VersionedStream.from_body(bytes(got)), False
                return VersionedStream.from_body(bytes(got)), True
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return VersionedStream.from_body(bytes(got)), False


async def _chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body up to the last one.

    Raises:
      asyncio.IncompleteReadError: The connection ended before the last chunk.
    """
    while length := int((await reader.readuntil(CRLF)).strip(), 16):
        yield (await reader.readexactly(length + len(CRLF)))[: -len(CRLF)]


def _judge(outcomes: Outcomes, tries: list[str], stream: VersionedStream) -> None:
    """Count a stream, and note it if its events do not fit together.

    Args:
      tries: Ids of its requests.
    """
    outcomes.counts["streams"] += 1
    outcomes.counts["whole"] += stream.is_whole
    is_in_order = stream.numbers == tuple(range(1, len(stream.numbers) + 1))
    if stream.is_mixed or not is_in_order:
        fates = [outcomes.fates[each] for each in tries if each in outcomes.fates]
        events = list(zip(stream.numbers, stream.versions, strict=True))
        outcomes.wrong.append(f"{tries[0]}: {events}, {fates}")


@contextlib.contextmanager
def _recorded_fates(outcomes: Outcomes) -> Iterator[None]:
    """Record the end of each request, as the nodes log it, during the block."""
    ended = RequestLog.ended

    def record(self, exchange, outcome, list_age_s):
        progress = exchange.progress
        sent = [f"{each.endpoint}:{each.version}" for each in progress.chosen]
        source = progress.version_source.value
        fate = f"{source} {progress.version} {sent} {outcome.result} {outcome.reason}"
        outcomes.fates[exchange.request_id] = fate
        if takes_up_stream(exchange.route, exchange.admitted.arrival):
            reason = outcome.reason.partition(" for ")[0]
            outcomes.counts[f"taken up: {source or 'left'}, {outcome.result} {reason}"] += 1
        ended(self, exchange, outcome, list_age_s)

    with mock.patch.object(RequestLog, "ended", record):
        yield


# Engines


def _breaking(world: World) -> Callable[[RawRequest], int | None]:
    """Return a function that draws after how many events a run breaks, None for whole ones."""

    def breaks_after(request: RawRequest) -> int | None:
        if world.rng.random() >= BREAK_SHARE:
            return None
        return world.rng.randrange(LAST_EVENT)

    return breaks_after


def _script(world: World, endpoint_id: str, version: str) -> Script:
    """Return the script of an engine, which rejects requests that are meant for another one."""
    stream = versioned_stream(version or NO_TEXT, _breaking(world))

    async def script(request: RawRequest, connection: Connection) -> None:
        is_meant = request.headers.get("expected-instance") == endpoint_id
        await (stream if is_meant else other_endpoint)(request, connection)

    return script


async def _start_engine(world: World, version: str, before: Engine | None = None) -> None:
    """Start and list an engine, at times under the id or at the address of the one before."""
    endpoint_id = world.new_id()
    keeps_address = before is not None and world.rng.random() < SAME_ADDRESS_SHARE
    stand_in = EngineStandIn(endpoint_id, _script(world, endpoint_id, version))
    if keeps_address:
        before.stand_in.stop()
        stand_in.address = before.stand_in.address
    await stand_in.start("127.0.0.1")
    engine = Engine(stand_in, endpoint_id, version or NO_TEXT, world.born)
    world.engines.append(engine)
    await _list(world, engine)


async def _list(world: World, engine: Engine) -> None:
    """Write the entry of an engine."""
    world.fleet.engines[engine.endpoint_id] = engine.stand_in
    await world.fleet.list_engine(
        engine.endpoint_id,
        "model",
        "draining" if engine.drains else "ready",
        version="" if engine.version == NO_TEXT else engine.version,
        born=engine.born,
    )


# Harms, each of which is repeated


async def _repeat(world: World, harm: Callable[[World], Awaitable[None]]) -> None:
    """Repeat a harm after drawn pauses until cancelled."""
    while True:
        await asyncio.sleep(world.rng.random() * MAX_CALM_S)
        await harm(world)
        world.outcomes.counts[harm.__name__.strip("_").replace("_", " ")] += 1


async def _replace_engine(world: World) -> None:
    """Replace an engine by one of a drawn version, the new one first or the old one first."""
    engine = world.rng.choice(world.engines)
    version = world.rng.choice(VERSIONS)
    if world.rng.random() < 0.5:
        await _start_engine(world, version)
        await _end_engine(world, engine)
    else:
        await _end_engine(world, engine)
        await _start_engine(world, version, engine)


async def _end_engine(world: World, engine: Engine) -> None:
    """End an engine after it has drained, or at once."""
    if world.rng.random() < 0.7:
        engine.drains = True
        await _list(world, engine)
        await asyncio.sleep(DRAIN_S)
    world.engines.remove(engine)
    engine.stand_in.stop()
    await world.fleet.store.remove("servers", engine.endpoint_id)
    world.free_ids.append((_now_s() + REUSE_AFTER_S, engine.endpoint_id))


async def _end_node(world: World) -> None:
    """End a node without notice to its peers, and start another one."""
    node = world.rng.choice(world.live_nodes())
    world.ended.add(node.settings.name)
    node.datagrams.close()
    node.refuse_new()
    await node.end()
    new = await add_node(world.fleet, world.make_outside)
    world.harm(new, 0.0)
    await until(new.is_ready, 30.0)


async def _cut_datagrams(world: World) -> None:
    """Cut a node off from its peers for a time."""
    node = world.rng.choice(world.live_nodes())
    seconds = world.rng.random() * MAX_HARM_S
    world.harm(node, seconds)
    datagrams = node.datagrams
    with contextlib.ExitStack() as stack:
        for name in ("send", "datagram_received"):
            original = getattr(datagrams, name)
            setattr(datagrams, name, lambda *args: None)
            stack.callback(setattr, datagrams, name, original)
        await asyncio.sleep(seconds)


async def _hold_list(world: World) -> None:
    """Keep a node from learning of changes of the list for a time."""
    node = world.rng.choice(world.live_nodes())
    seconds = world.rng.random() * MAX_HARM_S
    world.harm(node, seconds)
    follower = node.endpoints
    original = follower.step
    follower.step = lambda: asyncio.sleep(0.05)
    await asyncio.sleep(seconds)
    follower.step = original


async def _restore_store(world: World) -> None:
    """Restore the store from an older copy; engines then write their entries again."""
    world.fleet.store.take_copy()
    await asyncio.sleep(world.rng.random() * MAX_HARM_S)
    for node in world.live_nodes():
        world.harm(node, REWRITE_S)
    lost = await world.fleet.store.restore_older_copy()
    await asyncio.sleep(world.rng.random() * REWRITE_S)
    for engine in list(world.engines):
        await _list(world, engine)
    ids = {engine.endpoint_id for engine in world.engines}
    for row in lost:
        if row.table == "servers" and row.key not in ids:
            await world.fleet.store.remove("servers", row.key)


HARMS = (_replace_engine, _end_node, _cut_datagrams, _hold_list, _restore_store)


def _now_s() -> float:
    """Return the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()


def main(seed: int = 1, streams: int = 10_000) -> None:
    """Play streams of drawn fates and print what became of them; exit with 1 if any is wrong."""
    # Imported here, since only this run needs the platform.
    from springbridge_platform.documents import read_configuration
    from springbridge_platform.handlers import directory_handlers, ready_handlers
    from springbridge_platform.store import HttpPlatformStore
    from springbridge_platform.wire_format import PlatformRequestCodec

    def outside(address: str) -> PlatformPorts:
        return PlatformPorts(
            store=HttpPlatformStore(address),
            read_configuration=read_configuration,
            codec=PlatformRequestCodec(),
            ready_handlers=ready_handlers,
            directory_handlers=directory_handlers,
        )

    outcomes = asyncio.run(play(outside, seed, streams))
    for line in outcomes.lines():
        typer.echo(line)
    raise SystemExit(bool(outcomes.wrong))


if __name__ == "__main__":
    typer.run(main)
