"""Answers whose ends are drawn: how many reach their callers as what they are.

Each answer has a drawn length, framing, line ends, pieces and end. Both ways of being wrong are
counted: half an answer that its caller has to take for whole, and a whole one that fails.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import astuple, dataclass, field
from enum import Enum, auto
from pathlib import Path
from unittest import mock

import typer
from springbridge.routing.shared_retry_budget import RetryBudgetLimits
from springbridge_node.gateway.endpoints.end_verification import EndVerification
from springbridge_node.gateway.requests.request_log import RequestLog

from springbridge_standins.free_addresses import free_ports
from springbridge_standins.gateway.caller import OLDER_VERSION, CallerConnection
from springbridge_standins.gateway.cuts import CutKind, cuttable_paths
from springbridge_standins.gateway.drawn_bodies import draw_body, draw_events, draw_pieces
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
# Shares of answers: through a peer, to callers of HTTP/1.0, without length or chunks.
OLDER_SHARE, UNFRAMED_SHARE = 0.15, 0.7
# Longest time for the process of an engine to start, on a busy machine.
MAX_START_S = 60.0
# Longest pause between two pieces of an answer, in seconds.
MAX_PAUSE_S = 0.004
CALLERS = 12
# Engines of each of the two services.
ENGINES = 6
# So much that retries are never refused for it.
BUDGET = RetryBudgetLimits(ratio=5.0, slack=10_000, window_s=10.0)
# Seconds for which an engine is down whose process has ended.
DOWN_S = 0.15
# Ending of the names of files of requests whose answers were interrupted.
INTERRUPTED = ".interrupted"
# Percentiles of the time that the end of an answer waited.
PERCENTILES = (0.5, 0.99)


class Ending(Enum):
    """How an answer ends; see UnframedAnswers of the soak for the names."""

    WHOLE = auto()
    RESET = auto()
    CLOSED = auto()
    PROCESS = auto()


@dataclass(frozen=True)
class Case:
    """An answer to be given.

    Attributes:
      parts: Its events, or its body.
      stop: Number of bytes that are sent.
    """

    path: str
    version: str
    parts: tuple[bytes, ...]
    is_unframed: bool
    ending: Ending
    stop: int
    seed: int

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)


@dataclass
class Outcomes:
    """What became of the answers.

    Attributes:
      counts: Answers by how they ended and what their callers saw.
      wrong: Descriptions of the answers that were taken for what they are not.
      verified: How each end that nothing marks was verified, and how many seconds it took.
      ends: How the last answer to each request ended, as the nodes logged it.
    """

    counts: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    verified: list[tuple[str, float]] = field(default_factory=list)
    ends: dict[str, str] = field(default_factory=dict)

    def lines(self) -> Iterator[str]:
        """Yield the lines of a report."""
        for name, count in sorted(self.counts.items()):
            yield f"{count:7} {name}"
        for name, count in sorted(Counter(end for end, _ in self.verified).items()):
            yield f"{count:7} verified: {name}"
        took_ms = sorted(1000 * seconds for _, seconds in self.verified)
        for share in PERCENTILES if took_ms else ():
            yield f"{took_ms[int(share * (len(took_ms) - 1))]:7.2f} ms at p{100 * share:g}"
        yield from self.wrong[:60]


def draw_case(rng: random.Random, broken: float, by_process: float) -> Case:
    """Draw an answer.

    Args:
      broken: Share of answers that are broken off.
      by_process: Share of these that end with the process of their engine.
    """
    path = rng.choice(PATHS)
    is_stream = path in STREAM_PATHS
    parts = draw_events(rng) if is_stream else (draw_body(rng),)
    is_unframed = rng.random() < UNFRAMED_SHARE
    version = OLDER_VERSION if rng.random() < OLDER_SHARE else "HTTP/1.1"
    length = sum(map(len, parts))
    ending, stop = Ending.WHOLE, length
    if rng.random() < broken and length:
        ending = (
            Ending.PROCESS
            if rng.random() < by_process
            else rng.choice([Ending.RESET, Ending.CLOSED])
        )
        stop = rng.randrange(length)
        if ending is Ending.CLOSED and is_unframed:
            ending, stop = _closed_unframed(rng, parts, is_stream)
    return Case(path, version, parts, is_unframed, ending, stop, rng.randrange(1 << 30))


def _closed_unframed(
    rng: random.Random, parts: tuple[bytes, ...], is_stream: bool
) -> tuple[Ending, int]:
    """Return an end that can be told: inside an event of a stream, else a reset."""
    events = [number for number, part in enumerate(parts) if part.lstrip(b":retybe 9\r\n")]
    if not is_stream or not events:
        return Ending.RESET, rng.randrange(sum(map(len, parts)))
    torn = rng.choice(events)
    return Ending.CLOSED, sum(map(len, parts[:torn])) + rng.randint(1, len(parts[torn]) - 1)


class RunRecord:
    """Runs of requests at engines in several processes, kept as files in one folder.

    A file is named for a request and grows by a byte with each run.
    """

    def __init__(self, folder: Path) -> None:
        """Keep the folder."""
        self._folder = folder

    def begin(self, request_id: str) -> int:
        """Record a run; return how many there are now."""
        with (self._folder / request_id).open("ab") as file:
            file.write(b".")
        return self.count(request_id)

    def count(self, request_id: str) -> int:
        """Return how often a request was run."""
        file = self._folder / request_id
        return file.stat().st_size if file.exists() else 0

    def interrupt(self, request_ids: Iterable[str]) -> None:
        """Record requests whose answers were being sent when the process of their engine ended."""
        for each in request_ids:
            (self._folder / f"{each}{INTERRUPTED}").touch()

    def is_interrupted(self, request_id: str) -> bool:
        """Return whether an answer to a request was interrupted so."""
        return (self._folder / f"{request_id}{INTERRUPTED}").exists()


class DrawnAnswers:
    """Gives drawn answers, by request id."""

    def __init__(self, cases: dict[str, Case], record: RunRecord) -> None:
        """Keep the answers and the record of runs."""
        self._cases = cases
        self._record = record
        self._sending: set[str] = set()

    async def __call__(self, request: RawRequest, connection: Connection) -> None:
        """Give the answer to a request; a later run of it is whole, and goes on where it is due."""
        case = self._cases[request.request_id]
        runs = self._record.begin(request.request_id)
        self._sending.add(request.request_id)
        try:
            if runs == 1:
                await self._send(request, connection, case)
            else:
                first = int(request.headers.get("last-event-id", "0"))
                await _send_whole(request, connection, b"".join(case.parts[first:]))
        finally:
            self._sending.discard(request.request_id)

    async def _send(self, request: RawRequest, connection: Connection, case: Case) -> None:
        """Give the first answer to a request, up to its end."""
        rng = random.Random(case.seed)
        is_chunked = not case.is_unframed and case.path in STREAM_PATHS
        await connection.send(_head(request.request_id, case, is_chunked))
        for piece in draw_pieces(rng, case.body[: case.stop]):
            # Not after a piece: the answer may be whole with it, and its connection used again.
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
            await connection.send(chunk(piece) if is_chunked else piece)
        if case.ending is Ending.WHOLE:
            await connection.send(chunk(b"") if is_chunked else b"")
            if case.is_unframed:
                connection.close()
        elif case.ending is Ending.CLOSED:
            connection.close()
        elif case.ending is Ending.RESET:
            connection.reset()
        else:
            self._record.interrupt(self._sending - {request.request_id})
            os.kill(os.getpid(), signal.SIGKILL)


def _head(request_id: str, case: Case, is_chunked: bool) -> bytes:
    """Return the head of an answer."""
    if case.is_unframed:
        return unframed_head(request_id)
    if is_chunked:
        return stream_head(request_id)
    return answer(request_id, b"", Content_Length=str(len(case.body)))


async def _send_whole(request: RawRequest, connection: Connection, data: bytes) -> None:
    """Give a whole answer: in one chunk to a stream, else with a length."""
    if request.path in STREAM_PATHS:
        framed = (chunk(data) if data else b"") + chunk(b"")
        await connection.send(stream_head(request.request_id) + framed)
    else:
        await connection.send(answer(request.request_id, data))


@dataclass(frozen=True)
class Draws:
    """What is drawn: a number of answers from a seed.

    Attributes:
      broken: Share of answers that are broken off.
      by_process: Share of these that end with the process of their engine.
    """

    seed: int = 1
    count: int = 10_000
    broken: float = 0.5
    by_process: float = 0.0

    def cases(self) -> dict[str, Case]:
        """Return the answers by request id, the same ones each time."""
        rng = random.Random(self.seed)
        return {
            f"d{number}": draw_case(rng, self.broken, self.by_process)
            for number in range(self.count)
        }


async def play(make_outside: MakeOutside, draws: Draws, through_peers: bool = False) -> Outcomes:
    """Ask for drawn answers, and return what became of them.

    Args:
      through_peers: Whether the node that is asked has lost its paths to the engines.
    """
    outcomes, cases = Outcomes(), draws.cases()
    nodes = 3 if through_peers else 1
    with (
        tempfile.TemporaryDirectory() as folder,
        cuttable_paths() as cuts,
        _timed_verification(outcomes),
    ):
        record = RunRecord(Path(folder))
        async with (
            running_fleet(make_outside, {}, nodes, budget=BUDGET) as fleet,
            _engine_processes(draws, folder) as addresses,
        ):
            await _list_engines(fleet, addresses)
            if through_peers:
                for address in addresses.values():
                    cuts.cut(fleet.nodes[0].settings.ip, [address], CutKind.RESET)
            left = iter(cases.items())
            await asyncio.gather(*(_call(fleet, left, record, outcomes) for _ in range(CALLERS)))
    return outcomes


async def _list_engines(fleet: Fleet, addresses: dict[str, str]) -> None:
    """Write engines into the list, and wait until all nodes have them."""
    for name, address in addresses.items():
        service = name.split("-")[1]
        await list_engine(fleet.store, name, service, address, "ready", slots=CALLERS)
    await until(lambda: all(len(n.registry.entries()) == len(addresses) for n in fleet.nodes))


@asynccontextmanager
async def _engine_processes(draws: Draws, folder: str) -> AsyncIterator[dict[str, str]]:
    """Run engines as processes, which are started again when they end; yield their addresses."""
    names = [f"i-{kind}-{number}" for kind in ("desk", "model") for number in range(ENGINES)]
    ports = free_ports(len(names))
    addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
    keepers = [
        asyncio.ensure_future(_keep_running(draws, folder, name, address))
        for name, address in addresses.items()
    ]
    try:
        for address in addresses.values():
            await until(lambda address=address: _accepts(address), MAX_START_S)
        yield addresses
    finally:
        for keeper in keepers:
            keeper.cancel()
        await asyncio.gather(*keepers, return_exceptions=True)


async def _keep_running(draws: Draws, folder: str, name: str, address: str) -> None:
    """Run the process of an engine, and start it again DOWN_S after its end, until cancelled."""
    arguments = [name, address, folder, *map(str, astuple(draws))]
    while True:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "springbridge_standins.gateway.drawn_engine", *arguments
        )
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.sleep(DOWN_S)


def _accepts(address: str) -> bool:
    """Return whether a process listens at an address."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


async def _call(
    fleet: Fleet, left: Iterator[tuple[str, Case]], record: RunRecord, outcomes: Outcomes
) -> None:
    """Ask for one answer after another, each on a new connection."""
    for request_id, case in left:
        caller = await CallerConnection.open(fleet.caller_address(0))
        try:
            got = await caller.ask(
                case.path, case.version, method="POST", body=b"b", Request_Id=request_id
            )
        except (OSError, asyncio.IncompleteReadError):
            outcomes.counts["no answer"] += 1
            continue
        finally:
            caller.close()
        looks_whole = got.status == 200 and got.is_complete
        _count(request_id, case, looks_whole, got.body, got.status, record, outcomes)


def _count(
    request_id: str,
    case: Case,
    looks_whole: bool,
    body: bytes,
    status: int,
    record: RunRecord,
    outcomes: Outcomes,
) -> None:
    """Count what a caller got for an answer."""
    runs = record.count(request_id)
    seen = "whole" if looks_whole else "broken" if runs else f"refused {status}"
    framing = "unmarked" if case.is_unframed else "marked"
    outcomes.counts[f"{case.path} {framing} {case.ending.name} seen as {seen}"] += 1
    if case.path in ONCE_PATHS and runs > 1:
        outcomes.wrong.append(f"ran {runs} times: {request_id} {case}"[:300])
        outcomes.counts["WRONG ran twice"] += 1
    if looks_whole and body != case.body:
        end = outcomes.ends.get(request_id)
        outcomes.wrong.append(f"half as whole ({end}): {request_id} {len(body)} of {case}"[:300])
        outcomes.counts[f"WRONG half as whole, {_where(case, len(body))}"] += 1
    was_whole = case.ending is Ending.WHOLE and not record.is_interrupted(request_id)
    if not looks_whole and was_whole and runs:
        end = outcomes.ends.get(request_id)
        outcomes.wrong.append(f"whole as broken ({end}): {request_id} {status} {case}"[:300])
        outcomes.counts["WRONG whole as broken"] += 1


def _where(case: Case, length: int) -> str:
    """Return where in an answer its first bytes end."""
    if case.path not in STREAM_PATHS:
        return "in a plain body"
    ends = [sum(map(len, case.parts[:number])) for number in range(len(case.parts) + 1)]
    return "between events" if length in ends else "inside an event"


@contextmanager
def _timed_verification(outcomes: Outcomes) -> Iterator[None]:
    """Record each verification of an end, and each end that is logged, during the block."""
    verify, ended = EndVerification.verify, RequestLog.ended

    async def timed(self, *args):
        began_s = time.monotonic()
        found = await verify(self, *args)
        outcomes.verified.append((found.end.value, time.monotonic() - began_s))
        return found

    def record_end(self, exchange, *args):
        end = exchange.progress.answer_end
        outcomes.ends[exchange.request_id] = "" if end is None else end.value
        ended(self, exchange, *args)

    with (
        mock.patch.object(EndVerification, "verify", timed),
        mock.patch.object(RequestLog, "ended", record_end),
    ):
        yield


def main(
    seed: int = 1,
    count: int = 10_000,
    broken: float = 0.5,
    by_process: float = 0.0,
    through_peers: bool = False,
) -> None:
    """Play drawn answers and print what became of them; exit with 1 if any was taken wrongly."""
    draws = Draws(seed, count, broken, by_process)
    outcomes = asyncio.run(play(platform_outside, draws, through_peers))
    for line in outcomes.lines():
        typer.echo(line)
    raise SystemExit(bool(outcomes.wrong))


if __name__ == "__main__":
    typer.run(main)
