"""Streams at endpoints of several versions, with drawn breaks, rollouts and harms of the nodes.

Callers take a stream up at other nodes until it is whole. Counted are streams with events of two
versions, streams with missing or repeated events, and how many go on that could.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Iterator
from unittest import mock

import typer
from springbridge.routing.resumption import takes_up_stream
from springbridge.routing.shared_retry_budget import RetryBudgetLimits
from springbridge_node.gateway.gateway import Gateway
from springbridge_node.gateway.requests.request_log import RequestLog

from springbridge_standins.gateway.caller import request_bytes
from springbridge_standins.gateway.drawn_rollouts import (
    HARMS,
    VERSIONS,
    Outcomes,
    World,
    repeat,
    start_engine,
)
from springbridge_standins.gateway.fleet import MakeOutside, running_fleet, until
from springbridge_standins.gateway.platform_outside import platform_outside
from springbridge_standins.gateway.versioned import EVENT, LAST_EVENT, VersionedStream
from springbridge_standins.http_wire import CRLF, parse_head

NODES = 5
ENGINES = 8
# Streams under way at a time.
CALLERS = 16
# Requests of one caller for one stream, at most.
MAX_TRIES = 6
# Shares of callers that leave midway, and of those that name no Resumes.
LEAVE_SHARE, OLDER_SHARE = 0.1, 0.05
# Pause of a caller before it comes back, in seconds at most.
MAX_PAUSE_S = 0.1
# Longest time for an answer, in seconds.
MAX_ANSWER_S = 10.0
# So much that retries are never refused for it.
BUDGET = RetryBudgetLimits(ratio=5.0, slack=10_000, window_s=10.0)


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
        await start_engine(world, VERSIONS[number % 2])
    await until(lambda: all(len(n.registry.entries()) == ENGINES for n in fleet.nodes))
    harms = [asyncio.ensure_future(repeat(world, each)) for each in HARMS]
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


def main(seed: int = 1, streams: int = 10_000) -> None:
    """Play streams of drawn fates and print what became of them; exit with 1 if any is wrong."""
    outcomes = asyncio.run(play(platform_outside, seed, streams))
    for line in outcomes.lines():
        typer.echo(line)
    raise SystemExit(bool(outcomes.wrong))


if __name__ == "__main__":
    typer.run(main)
