"""The fleet and the engines of streams with drawn fates: rollouts over several versions, and harms.

Nodes end without notice, are cut off from their peers, or keep an old list; the store goes back;
and engines are replaced by others of drawn versions, at times under an id or address used before.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

from springbridge_node.gateway.gateway import Gateway

from springbridge_standins.gateway.engine import EngineStandIn, Script, other_endpoint
from springbridge_standins.gateway.fleet import Fleet, MakeOutside, add_node, until
from springbridge_standins.gateway.versioned import LAST_EVENT, versioned_stream
from springbridge_standins.http_wire import Connection, RawRequest

VERSIONS = ("v1", "v1.1", "v1.2", "v2", "")
# How an event names the version whose text is empty.
NO_TEXT = "-"
# Share of runs that break.
BREAK_SHARE = 0.45
# Shares of new engines that take the id of an earlier one, or the address of the one before.
SAME_ID_SHARE, SAME_ADDRESS_SHARE = 0.15, 0.5
# Seconds after which an id may be used again. Above the age of any list that a node uses, since
# nothing tells a node of a process that has taken over an id before its list does.
REUSE_AFTER_S = 4.0
# Longest time for which a node is harmed, and between two harms, in seconds.
MAX_HARM_S, MAX_CALM_S = 2.0, 6.0
# Share of the engines that drain before they end, and for how long they serve on, in seconds.
DRAIN_SHARE, DRAIN_S = 0.7, 0.6
# Seconds after a harm of a node, or its start, in which it is not in touch.
CONTACT_S = 3.0
# Seconds in which engines write their entries again after the store went back.
REWRITE_S = 0.5
# Longest time for a node to start, on a busy machine, in seconds.
MAX_START_S = 30.0


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
        until_s = now_s() + seconds + CONTACT_S
        known_s = self.in_touch_from_s.get(node.settings.name, 0.0)
        self.in_touch_from_s[node.settings.name] = max(known_s, until_s)

    def is_in_touch(self, node: Gateway) -> bool:
        """Return whether a node counts as in touch."""
        return now_s() >= self.in_touch_from_s.get(node.settings.name, 0.0)

    def new_id(self) -> str:
        """Return an id for a new engine, at times one that was used long enough ago."""
        self.born += 1
        if self.free_ids and self.rng.random() < SAME_ID_SHARE:
            free_from_s, used = self.free_ids[0]
            if now_s() >= free_from_s:
                self.free_ids.pop(0)
                return used
        return f"i-model-{self.born}"

    def serving(self, version: str) -> int:
        """Return how many engines of a version serve and stay."""
        return sum(each.version == version and not each.drains for each in self.engines)


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


async def start_engine(world: World, version: str, before: Engine | None = None) -> None:
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


async def repeat(world: World, harm: Callable[[World], Awaitable[None]]) -> None:
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
        await start_engine(world, version)
        await _end_engine(world, engine)
    else:
        await _end_engine(world, engine)
        await start_engine(world, version, engine)


async def _end_engine(world: World, engine: Engine) -> None:
    """End an engine after it has drained, or at once."""
    if world.rng.random() < DRAIN_SHARE:
        engine.drains = True
        await _list(world, engine)
        await asyncio.sleep(DRAIN_S)
    world.engines.remove(engine)
    engine.stand_in.stop()
    await world.fleet.store.remove("servers", engine.endpoint_id)
    world.free_ids.append((now_s() + REUSE_AFTER_S, engine.endpoint_id))


async def _end_node(world: World) -> None:
    """End a node without notice to its peers, and start another one."""
    node = world.rng.choice(world.live_nodes())
    world.ended.add(node.settings.name)
    node.datagrams.close()
    node.refuse_new()
    await node.end()
    new = await add_node(world.fleet, world.make_outside)
    world.harm(new, 0.0)
    await until(new.is_ready, MAX_START_S)


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


def now_s() -> float:
    """Return the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()
