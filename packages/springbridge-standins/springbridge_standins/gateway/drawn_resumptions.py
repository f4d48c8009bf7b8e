"""Streams that endpoints are asked to go on with: how many reach their callers as what they are.

Each stream has a drawn length, and a drawn point where its first endpoint breaks off; what the
second one sends is the rest, or one of the answers that are not (`unfit`). A third one goes on.
Counted are answers that look whole and are not, bytes in an answer that are no event of its stream,
and streams that are cut off though an endpoint was left that goes on.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import typer
from springbridge.routing.shared_retry_budget import RetryBudgetLimits

from springbridge_standins.gateway.caller import OLDER_VERSION, CallerConnection
from springbridge_standins.gateway.cuts import CutKind, cuttable_paths
from springbridge_standins.gateway.fleet import (
    Fleet,
    MakeOutside,
    configuration,
    route,
    running_fleet,
    until,
)
from springbridge_standins.gateway.platform_outside import platform_outside
from springbridge_standins.gateway.unfit import UNFIT, UNFIT_BY_HEAD
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    stream_head,
    unframed_head,
)

ENGINES, CALLERS = 6, 12
MAX_EVENTS = 8
# Share of streams whose callers speak HTTP/1.0, and of second answers that are the rest.
OLDER_SHARE, FIT_SHARE = 0.15, 0.3
# Shares of first answers by what they have sent when they break off: comments alone; events.
BLANK_SHARE = 0.15
COMMENT = b": hello\n\n"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# Attempts of the route: two answers that are not the rest, and one that is.
MAX_ATTEMPTS = 3
# So much that retries are never refused for it.
BUDGET = RetryBudgetLimits(ratio=5.0, slack=100_000, window_s=10.0)
# Seconds after which bytes have surely arrived.
ARRIVED_S = 0.02
# What a second endpoint sends that goes on with the stream.
FIT = ("rest in chunks", "rest of a length", "rest without a length", "all of it", "marked rest")


@dataclass(frozen=True)
class Case:
    """A stream to be given.

    Attributes:
      sent: Events that the first endpoint sends before it breaks off; 0 for a comment alone.
      second: Kind of the second answer.
    """

    version: str
    events: tuple[bytes, ...]
    sent: int
    second: str

    @property
    def body(self) -> bytes:
        """Return the whole stream."""
        return b"".join(self.events)


@dataclass
class Outcomes:
    """What became of the streams, by what the second endpoint sent.

    Attributes:
      counts: Streams by kind and by how they were seen.
      wrong: Descriptions of those that were taken for what they are not.
    """

    counts: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    def whole_share(self) -> float:
        """Return the share of streams that reached their callers whole."""
        whole = sum(count for name, count in self.counts.items() if name.endswith(" whole"))
        return whole / max(1, sum(self.counts.values()))

    def lines(self) -> Iterator[str]:
        """Yield the lines of a report."""
        for name, count in sorted(self.counts.items()):
            yield f"{count:7} {name}"
        yield f"{self.whole_share():7.4f} of all whole"
        yield from self.wrong[:60]


def draw_case(rng: random.Random) -> Case:
    """Draw a stream."""
    events = [
        b"id: %d\ndata: piece-%d-%d\n\n" % (number, number, rng.randrange(1000))
        for number in range(1, rng.randint(4, MAX_EVENTS) + 1)
    ]
    # Two events are left at least, so that one that is missing shows.
    sent = 0 if rng.random() < BLANK_SHARE else rng.randint(1, len(events) - 2)
    unfit = UNFIT if sent else UNFIT_BY_HEAD
    second = rng.choice(FIT) if rng.random() < FIT_SHARE else rng.choice(list(unfit))
    version = OLDER_VERSION if rng.random() < OLDER_SHARE else "HTTP/1.1"
    return Case(version, tuple(events), sent, second)


class DrawnStreams:
    """Gives drawn streams, by request id and by how often each was asked for."""

    def __init__(self, cases: dict[str, Case]) -> None:
        """Keep the streams."""
        self._cases = cases
        self._runs: Counter = Counter()

    async def __call__(self, request: RawRequest, connection: Connection) -> None:
        """Give the answer that is due to a request."""
        request_id = request.request_id
        case = self._cases.get(request_id)
        if case is None:
            await connection.send(answer(request_id, b""))
            return
        self._runs[request_id] += 1
        rest = case.events[int(request.headers.get("last-event-id", "0")) :]
        if self._runs[request_id] == 1:
            await _break_off(request_id, connection, case)
        elif self._runs[request_id] == 2:
            await _send_second(request_id, connection, case, rest)
        else:
            await connection.send(_streamed(request_id, rest))


async def _break_off(request_id: str, connection: Connection, case: Case) -> None:
    """Send the beginning of a stream, and a part of the next event."""
    begun = b"".join(case.events[: case.sent]) or COMMENT
    torn = case.events[case.sent][:7]
    await connection.send(stream_head(request_id, "first") + chunk(begun) + chunk(torn))
    await asyncio.sleep(ARRIVED_S)
    connection.reset()


async def _send_second(
    request_id: str, connection: Connection, case: Case, rest: tuple[bytes, ...]
) -> None:
    """Send the second answer."""
    body = b"".join(rest)
    if case.second == "rest in chunks":
        data = _streamed(request_id, rest)
    elif case.second == "rest of a length":
        data = answer(request_id, body)
    elif case.second == "all of it":
        data = _streamed(request_id, case.events)
    elif case.second == "marked rest":
        data = answer(request_id, BYTE_ORDER_MARK + body)
    elif case.second == "rest without a length":
        data = unframed_head(request_id) + body
    else:
        data = UNFIT[case.second](request_id, rest)
    await connection.send(data)
    if "without a length" in case.second:
        connection.close()


def _streamed(request_id: str, events: tuple[bytes, ...]) -> bytes:
    """Return a stream in chunks."""
    return stream_head(request_id) + b"".join(map(chunk, events)) + chunk(b"")


async def play(
    make_outside: MakeOutside, seed: int, count: int, through_peers: bool = False
) -> Outcomes:
    """Ask for drawn streams, and return what became of them.

    Args:
      through_peers: Whether the node that is asked has lost its paths to the engines.
    """
    rng = random.Random(seed)
    cases = {f"d{number}": draw_case(rng) for number in range(count)}
    script, outcomes = DrawnStreams(cases), Outcomes()
    engines = {f"i-model-{number}": ("model", script) for number in range(ENGINES)}
    with cuttable_paths() as cuts:
        nodes = 3 if through_peers else 1
        async with running_fleet(make_outside, engines, nodes, budget=BUDGET) as fleet:
            routes = [
                route("stream", "streaming", "model", resumable=True, maxAttempts=MAX_ATTEMPTS)
            ]
            await fleet.store.put("op", "config", configuration(2, routes=routes))
            await until(lambda: all(node.configuration.version == 2 for node in fleet.nodes))
            if through_peers:
                addresses = [engine.address for engine in fleet.engines.values()]
                cuts.cut(fleet.nodes[0].settings.ip, addresses, CutKind.RESET)
            left = iter(cases.items())
            await asyncio.gather(*(_call(fleet, left, outcomes) for _ in range(CALLERS)))
    return outcomes


async def _call(fleet: Fleet, left: Iterator[tuple[str, Case]], outcomes: Outcomes) -> None:
    """Ask for one stream after another, each on a new connection."""
    for request_id, case in left:
        caller = await CallerConnection.open(fleet.caller_address(0))
        try:
            got = await caller.ask(
                "/stream/x", case.version, method="POST", body=b"b", Request_Id=request_id
            )
        except (OSError, asyncio.IncompleteReadError):
            outcomes.counts[f"{case.second} no answer"] += 1
            continue
        finally:
            caller.close()
        events = got.body.replace(COMMENT, b"")
        looks_whole = got.status == 200 and got.is_complete
        seen = "whole" if looks_whole else f"cut off or {got.status}"
        outcomes.counts[f"{case.second} {seen}"] += 1
        if looks_whole and events != case.body:
            outcomes.wrong.append(f"half as whole: {request_id} {events} of {case}"[:300])
        if got.status == 200 and not case.body.startswith(events):
            outcomes.wrong.append(f"no event of its stream: {request_id} {events} {case}"[:300])


def main(seed: int = 1, count: int = 10_000, through_peers: bool = False) -> None:
    """Play drawn streams and print what became of them; exit with 1 if any was taken wrongly."""
    outcomes = asyncio.run(play(platform_outside, seed, count, through_peers))
    for line in outcomes.lines():
        typer.echo(line)
    raise SystemExit(bool(outcomes.wrong))


if __name__ == "__main__":
    typer.run(main)
