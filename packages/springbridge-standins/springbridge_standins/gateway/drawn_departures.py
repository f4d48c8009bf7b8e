"""Answers whose engines depart within them or behind them, as drawn: what their callers get.

Each answer has a drawn framing and line ends, and its run a drawn way to depart: how it announces
that, where in the answer it ends, whether another run has its address by then, whether the kernel
closes its connections late, and whether the path of the node hangs meanwhile, as if it stood still.
All of that is forced by the order of events. Both ways of being wrong are counted: half an answer
that its caller has to take for whole, and a whole one of a run that goes on which fails.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial

import typer
from springbridge.routing.shared_retry_budget import RetryBudgetLimits

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.cuts import CutKind, PathCuts, cuttable_paths
from springbridge_standins.gateway.drawn_bodies import draw_body, draw_events, draw_pieces
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.fleet import (
    Fleet,
    MakeOutside,
    list_engine,
    running_fleet,
    until,
)
from springbridge_standins.gateway.platform_outside import platform_outside
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    answer,
    chunk,
    stream_head,
    unframed_head,
)

PATHS = ("/safe/x", "/once/x", "/stream/x", "/single/x")
STREAM_PATHS = frozenset({"/stream/x", "/single/x"})
ONCE_PATHS = frozenset({"/once/x", "/single/x"})
SERVICES = ("desk", "model")
# Engines of each service, callers, and engines of a service that serve when a caller asks.
ENGINES, CALLERS, MIN_SERVING = 8, 6, 4
# Longest wait for these, in seconds.
MAX_WAIT_S = 20.0
# Shares of answers without length or chunks, and of later ones that come so.
UNFRAMED_SHARE, LATER_UNFRAMED_SHARE = 0.85, 0.4
# Shares of runs that go on behind a whole answer, and of answers that are whole.
GOES_ON_SHARE, WHOLE_SHARE = 0.5, 0.6
# Share of the runs that have served on for long once they depart, so that all nodes know.
KNOWN_SHARE = 0.5
# Shares of departures under which another run has the address, some connections close late, and the
# path of the node hangs.
NEXT_RUN_SHARE, LATE_SHARE, HANG_SHARE = 0.4, 0.3, 0.3
# Time by which connections close late, and shortest and longest time for which a path hangs, in
# seconds.
LATE_S, HANG_S = 0.02, (0.05, 0.6)
# Longest pause between two pieces of an answer, in seconds.
MAX_PAUSE_S = 0.002
# Longest time until all nodes know that a run departs, in seconds.
MAX_KNOWN_S = 3.0
# So much that retries are never refused for it.
BUDGET = RetryBudgetLimits(ratio=5.0, slack=10_000, window_s=10.0)


class Notice(Enum):
    """How a run announces that it departs: by its entry, in its answer, by no entry, not at all."""

    ENTRY = auto()
    WORD = auto()
    NO_ENTRY = auto()
    NONE = auto()


@dataclass(frozen=True)
class Case:
    """An answer to be given, and the departure of the run that gives it.

    Attributes:
      parts: Its events, or its body.
      stop: Number of bytes that are sent.
      goes_on: Whether the run goes on behind the answer, which is whole then.
      is_known: Whether all nodes know of the notice before the end.
    """

    path: str
    parts: tuple[bytes, ...]
    stop: int
    is_unframed: bool
    goes_on: bool
    notice: Notice
    is_known: bool
    has_next_run: bool
    closes_late: bool
    hangs: bool
    seed: int

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)

    @property
    def is_whole(self) -> bool:
        """Return whether all of it is sent."""
        return self.stop == len(self.body)


def draw_case(rng: random.Random) -> Case:
    """Draw an answer and a departure."""
    path = rng.choice(PATHS)
    parts = draw_events(rng) if path in STREAM_PATHS else (draw_body(rng),)
    stop = sum(map(len, parts))
    if rng.random() >= WHOLE_SHARE:
        stop = _stop_within(rng, path, parts)
    is_whole = stop == sum(map(len, parts))
    return Case(
        path=path,
        parts=parts,
        stop=stop,
        is_unframed=rng.random() < UNFRAMED_SHARE,
        goes_on=is_whole and rng.random() < GOES_ON_SHARE,
        notice=rng.choice(list(Notice)),
        is_known=rng.random() < KNOWN_SHARE,
        has_next_run=rng.random() < NEXT_RUN_SHARE,
        closes_late=rng.random() < LATE_SHARE,
        hangs=rng.random() < HANG_SHARE,
        seed=rng.randrange(1 << 30),
    )


def _stop_within(rng: random.Random, path: str, parts: tuple[bytes, ...]) -> int:
    """Return a number of bytes: those before an event, most often, or any."""
    if path not in STREAM_PATHS or rng.random() < 0.1:
        return rng.randrange(sum(map(len, parts)) + 1)
    return sum(map(len, parts[: rng.randrange(len(parts))]))


@dataclass
class Outcomes:
    """What became of the answers.

    Attributes:
      wrong: Descriptions of the answers that were taken for what they are not.
    """

    counts: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> Iterator[str]:
        """Yield the lines of a report."""
        for name, count in sorted(self.counts.items()):
            yield f"{count:7} {name}"
        yield from self.wrong[:40]


@dataclass
class Play:
    """The runs of the engines, and the answers that they give.

    Attributes:
      runs: How often each request has run.
      whole_at: Id of the run that sent the first answer to a request whole and went on, by the
        request's id.
      departed: Ids of the runs that have departed.
    """

    fleet: Fleet
    cuts: PathCuts
    cases: dict[str, Case]
    runs: Counter = field(default_factory=Counter)
    whole_at: dict[str, str] = field(default_factory=dict)
    departed: set[str] = field(default_factory=set)
    started: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start_run(self, service: str, address: str = "", listed: bool = True) -> None:
        """Start a run under a new id, at an address or at any."""
        self.started[service] += 1
        name = f"i-{service}-{self.started[service]}"
        engine = EngineStandIn(name)
        engine.script = lambda request, connection: self.respond(engine, request, connection)
        engine.address = address
        await engine.start()
        self.fleet.engines[name] = engine
        if listed:
            await list_engine(self.fleet.store, name, service, engine.address, "ready", slots=64)

    async def respond(
        self, engine: EngineStandIn, request: RawRequest, connection: Connection
    ) -> None:
        """Answer a request at a run."""
        if request.headers.get("expected-instance") != engine.endpoint_id:
            await connection.send(answer(request.request_id, b"", 421, signature=""))
            return
        case = self.cases[request.request_id]
        self.runs[request.request_id] += 1
        if self.runs[request.request_id] > 1:
            await _send_rest(case, request, connection)
            return
        await self._send_first(engine, case, request, connection)

    async def _send_first(
        self, engine: EngineStandIn, case: Case, request: RawRequest, connection: Connection
    ) -> None:
        """Give the first answer to a request, up to where its run departs."""
        rng = random.Random(case.seed)
        says = {"Server_Leaving": "1"} if case.notice is Notice.WORD else {}
        await connection.send(_head(request, case, says))
        await self._announce(engine, case)
        is_chunked = not case.is_unframed and case.path in STREAM_PATHS
        for piece in draw_pieces(rng, case.body[: case.stop]):
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
            await connection.send(chunk(piece) if is_chunked else piece)
        if case.is_whole and is_chunked:
            await connection.send(chunk(b""))
        if not case.goes_on:
            # In a task of its own, as it ends the connection of this one.
            self._later(self._depart(engine, case, rng))
            return
        self.whole_at[request.request_id] = engine.endpoint_id
        if case.is_unframed:
            connection.close()
        if case.notice is not Notice.NONE:
            self._later(self._replace(engine))

    async def _announce(self, engine: EngineStandIn, case: Case) -> None:
        """Announce that a run departs, and wait until all nodes know if they are to."""
        name, store = engine.endpoint_id, self.fleet.store
        if case.notice is Notice.NONE:
            return
        engine.begin_to_leave()
        if case.notice is Notice.ENTRY:
            await list_engine(store, name, name.split("-")[1], engine.address, "draining")
        elif case.notice is Notice.NO_ENTRY:
            await store.remove("servers", name)
        # The word in the head of an answer is heard by the node that reads it.
        nodes = self.fleet.nodes[:1] if case.notice is Notice.WORD else self.fleet.nodes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_KNOWN_S if case.is_known else 0):
                while not all(_knows(node, name) for node in nodes):
                    await asyncio.sleep(0.01)

    async def _depart(self, engine: EngineStandIn, case: Case, rng: random.Random) -> None:
        """End a run, and start another one in its place."""
        service = engine.endpoint_id.split("-")[1]
        ip = self.fleet.nodes[0].settings.ip
        if engine.endpoint_id in self.departed:
            # Another answer has ended the run.
            return
        self.departed.add(engine.endpoint_id)
        if case.hangs:
            self.cuts.cut(ip, [engine.address], CutKind.HANG)
        engine._server.close()
        if case.has_next_run:
            await self.start_run(service, engine.address)
        kept = set(list(engine._open)[1::2]) if case.closes_late else set()
        for each in engine._open - kept:
            each.close()
        if kept:
            await asyncio.sleep(LATE_S)
        for each in list(engine._open):
            each.close()
        if case.hangs:
            await asyncio.sleep(rng.uniform(*HANG_S))
            self.cuts.mend(ip)
        self._later(self._replace(engine, starts=not case.has_next_run))

    async def _replace(self, engine: EngineStandIn, starts: bool = True) -> None:
        """Remove the entry of a run that has departed or departs, and start another one."""
        name = engine.endpoint_id
        await self.fleet.store.remove("servers", name)
        self.fleet.engines.pop(name, None)
        if starts:
            await self.start_run(name.split("-")[1])

    def serves(self, path: str) -> bool:
        """Return whether the first node has enough runs for a request, most of which stay."""
        service = SERVICES[path in STREAM_PATHS]
        staying = [
            name
            for name in self.fleet.engines.keys() - self.departed
            if name.split("-")[1] == service and _uses(self.fleet.nodes[0], name)
        ]
        return len(staying) >= MIN_SERVING

    def _later(self, work) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _uses(node, name: str) -> bool:
    """Return whether a node may send requests to a run."""
    state = node.registry.find(name)
    return state is not None and state.is_listed and state.reachable and not state.is_leaving


def _knows(node, name: str) -> bool:
    """Return whether a node knows that a run departs."""
    state = node.registry.find(name)
    return state is None or state.has_departed or state.is_leaving


def _head(request: RawRequest, case: Case, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    if case.is_unframed:
        return unframed_head(request.request_id, **headers)
    if case.path in STREAM_PATHS:
        return stream_head(request.request_id, **headers)
    return answer(request.request_id, b"", Content_Length=str(len(case.body)), **headers)


async def _send_rest(case: Case, request: RawRequest, connection: Connection) -> None:
    """Give a later answer to a request: what is due of it, whole."""
    first = int(request.headers.get("last-event-id", "0"))
    data = b"".join(case.parts[first:]) if case.path in STREAM_PATHS else case.body
    if random.Random(case.seed + 1).random() < LATER_UNFRAMED_SHARE:
        await connection.send(unframed_head(request.request_id) + data)
        connection.close()
    elif case.path in STREAM_PATHS:
        framed = (chunk(data) if data else b"") + chunk(b"")
        await connection.send(stream_head(request.request_id) + framed)
    else:
        await connection.send(answer(request.request_id, data))


async def play(
    make_outside: MakeOutside, seed: int, count: int, through_peers: bool = False
) -> Outcomes:
    """Ask for drawn answers, and return what became of them.

    Args:
      through_peers: Whether the node that is asked has lost its paths to all engines.
    """
    rng = random.Random(seed)
    cases = {f"d{number}": draw_case(rng) for number in range(count)}
    outcomes = Outcomes()
    async with _playing(make_outside, cases, through_peers) as played:
        left = iter(cases.items())
        await asyncio.gather(*(_call(played, left, outcomes) for _ in range(CALLERS)))
    return outcomes


@contextlib.asynccontextmanager
async def _playing(
    make_outside: MakeOutside, cases: dict[str, Case], through_peers: bool
) -> AsyncIterator[Play]:
    """Run a fleet with the engines that give drawn answers."""
    nodes = 3 if through_peers else 1
    with cuttable_paths() as cuts:
        async with running_fleet(make_outside, {}, nodes, budget=BUDGET) as fleet:
            played = Play(fleet, cuts, cases)
            for service in SERVICES * ENGINES:
                await played.start_run(service)
            if through_peers:
                fleet.nodes[0].path_parts.paths.is_lost = lambda incarnation: True
            try:
                yield played
            finally:
                await asyncio.gather(*played.tasks)
                for engine in fleet.engines.values():
                    engine.stop()


async def _call(played: Play, left: Iterator[tuple[str, Case]], outcomes: Outcomes) -> None:
    """Ask for one answer after another, each on a new connection."""
    for request_id, case in left:
        await until(partial(played.serves, case.path), MAX_WAIT_S)
        caller = await CallerConnection.open(played.fleet.caller_address(0))
        try:
            body = request_id.encode()
            got = await caller.ask(case.path, method="POST", body=body, Request_Id=request_id)
        except (OSError, asyncio.IncompleteReadError):
            outcomes.counts["no answer"] += 1
            continue
        finally:
            caller.close()
        _count(played, request_id, got, outcomes)


def _count(played: Play, request_id: str, got, outcomes: Outcomes) -> None:
    """Count what a caller got for an answer."""
    case, runs = played.cases[request_id], played.runs[request_id]
    looks_whole = got.status == 200 and got.is_complete
    seen = "whole" if looks_whole else "broken" if runs else f"refused {got.status}"
    sent = "half" if not case.is_whole else "whole, goes on" if case.goes_on else "whole, departs"
    framing = "unmarked" if case.is_unframed else "marked"
    outcomes.counts[f"{case.path} {framing} {sent}: seen as {seen}, runs {min(runs, 2)}"] += 1
    if looks_whole and got.body != case.body:
        outcomes.counts["WRONG half as whole"] += 1
        outcomes.wrong.append(f"half as whole: {request_id} {len(got.body)} of {case}"[:400])
    if case.path in ONCE_PATHS and runs > 1:
        outcomes.counts["WRONG ran twice"] += 1
        outcomes.wrong.append(f"ran {runs} times: {request_id} {case}"[:400])
    if played.whole_at.get(request_id, "") in played.departed | {""}:
        return
    outcomes.counts["whole of a run that goes on"] += 1
    outcomes.counts["doubted of these"] += runs > 1
    if not looks_whole:
        outcomes.counts["lost of these"] += 1
        outcomes.wrong.append(f"whole as broken: {request_id} {got.status} {case}"[:400])


def main(seed: int = 1, count: int = 10_000, through_peers: bool = False) -> None:
    """Play drawn departures and print what became of them; exit with 1 if any was taken wrongly."""
    outcomes = asyncio.run(play(platform_outside, seed, count, through_peers))
    for line in outcomes.lines():
        typer.echo(line)
    raise SystemExit(bool(outcomes.wrong))


if __name__ == "__main__":
    typer.run(main)
