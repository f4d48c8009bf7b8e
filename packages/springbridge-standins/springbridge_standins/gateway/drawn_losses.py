"""Drawn histories of one instance that loses its peers while endpoints fall silent or refuse.

An instance serves callers that keep their connections. In each history its peers end, freeze, lose
their datagrams or run well, a drawn time before or after some or all endpoints turn silent, refuse
or reset connections or take them late; then both come back, or not before the next history. The
peers run in this process, so what they suffer is done to what the instance sends and hears.

Checked: each request gets an answer and it is true, the connection stays open unless an answer was
cut off, and no part meets an unforeseen exception.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from unittest import mock

import typer
from springbridge.routing.shared_retry_budget import RetryBudgetLimits
from springbridge_node import logs
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from tornado.iostream import IOStream

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.cuts import CutKind, PathCuts, cuttable_paths
from springbridge_standins.gateway.engine import Script, engine_error, plain_answer, stream_of
from springbridge_standins.gateway.fleet import Fleet, MakeOutside, running_fleet
from springbridge_standins.gateway.platform_outside import platform_outside
from springbridge_standins.http_wire import Connection, RawRequest, event

PATHS = ("/safe/x", "/once/x", "/stream/x", "/single/x")
ONCE_PATHS = frozenset({"/once/x", "/single/x"})
# Statuses that promise that the request did not run.
NOT_RUN = frozenset({408, 421, 429, 503})
# Events of each stream, and the body that they make.
EVENTS = 3
STREAM_BODY = b"".join(event(number) for number in range(1, EVENTS + 1))
# Share of the requests to the plain service that an engine fails by itself.
ERROR_SHARE = 0.14
# Longest time for which an engine works on a request, in seconds.
MAX_WORK_S = 0.03
# Engines of each of the two services.
ENGINES = 3
CALLERS = 8
# Longest pause of a caller between two requests, in seconds.
MAX_PAUSE_S = 0.06
# Shortest and longest time of a history, in seconds: from less than the time after which peers are
# asked for connections to about that after which silent ones count as gone.
HISTORY_S = (0.1, 0.8)
# Longest time between what the peers and what the endpoints suffer, in seconds.
MAX_LEAD_S = 0.4
# Share of the histories after which what was harmed stays so into the next one.
CARRIED_OVER_SHARE = 0.3
# Seconds by which a slow endpoint takes connections late: below and above the time for one.
LATE_S = (0.05, 0.6)
# Seconds after the last history in which all requests end: their deadline, and a margin.
SETTLE_S = 5.0
# So much that retries are never refused for it.
BUDGET = RetryBudgetLimits(ratio=5.0, slack=10_000, window_s=10.0)


class PeerHarm(Enum):
    """What all peers of the instance suffer.

    WELL: Nothing. KILLED: They are silent and refuse connections. FROZEN: They are silent and leave
    connections hanging. PARTED: No datagram arrives, and connections come up.
    """

    WELL = auto()
    KILLED = auto()
    FROZEN = auto()
    PARTED = auto()


class EndpointHarm(Enum):
    """What endpoints suffer: see CutKind, and LATE, which takes connections late."""

    WELL = auto()
    DARK = auto()
    REFUSING = auto()
    RESETTING = auto()
    LATE = auto()


CUT_KINDS = {
    EndpointHarm.DARK: CutKind.HANG,
    EndpointHarm.REFUSING: CutKind.REFUSED,
    EndpointHarm.RESETTING: CutKind.RESET,
}


@dataclass(frozen=True)
class Draws:
    """What is drawn.

    Attributes:
      seed: Of all draws.
      histories: Number of histories.
      peers: Peers of the instance.
    """

    seed: int
    histories: int
    peers: int


@dataclass
class Findings:
    """What was found.

    Attributes:
      counts: Answers by path and status, and histories by what was harmed.
      wrong: Descriptions of answers that were missing or untrue, and of unforeseen exceptions.
      runs: How often each request ran.
      once: Requests that may run once at the most.
      not_run: Requests whose callers were told that they did not run.
    """

    counts: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    runs: Counter = field(default_factory=Counter)
    once: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)


@dataclass
class Silence:
    """Whether datagrams between the instance and its peers are lost."""

    is_on: bool = False


async def play(make_outside: MakeOutside, draws: Draws) -> Findings:
    """Play histories on a new fleet, one after the other, and return what was found."""
    findings, rng = Findings(), random.Random(draws.seed)
    with (
        cuttable_paths() as cuts,
        _silencing() as silence,
        _late_streams() as late,
        _noting_faults(findings),
    ):
        async with running_fleet(
            make_outside, _scripts(findings, rng), draws.peers + 1, budget=BUDGET
        ) as fleet:
            async with _calling(fleet, findings, draws.seed):
                for _ in range(draws.histories):
                    await _play_one(fleet, rng, findings, Harms(cuts, silence, late))
                _mend(fleet, Harms(cuts, silence, late))
            await asyncio.sleep(0)
    _check_runs(findings)
    return findings


@dataclass(frozen=True)
class Harms:
    """What harms the fleet: cuts of paths, silence of peers, and addresses that connect late."""

    cuts: PathCuts
    silence: Silence
    late: dict[str, float]


async def _play_one(fleet: Fleet, rng: random.Random, findings: Findings, harms: Harms) -> None:
    """Play one history."""
    peers = rng.choice(list(PeerHarm)) if len(fleet.nodes) > 1 else PeerHarm.WELL
    endpoints = rng.choice(list(EndpointHarm))
    findings.counts[f"history {peers.name} {endpoints.name}"] += 1
    addresses = [engine.address for engine in fleet.engines.values()]
    harmed = addresses if rng.random() < 0.3 else rng.sample(addresses, rng.randint(1, ENGINES))
    steps = [
        lambda: _harm_peers(fleet, harms, peers),
        lambda: _harm_endpoints(fleet, rng, harms, endpoints, harmed),
    ]
    rng.shuffle(steps)
    steps[0]()
    await asyncio.sleep(rng.random() * MAX_LEAD_S)
    steps[1]()
    await asyncio.sleep(rng.uniform(*HISTORY_S))
    if rng.random() >= CARRIED_OVER_SHARE:
        _mend(fleet, harms)


def _harm_peers(fleet: Fleet, harms: Harms, harm: PeerHarm) -> None:
    """Let the peers of the first instance suffer."""
    harms.silence.is_on = harm is not PeerHarm.WELL
    kind = {PeerHarm.KILLED: CutKind.REFUSED, PeerHarm.FROZEN: CutKind.HANG}.get(harm)
    addresses = [node.settings.addresses.peers for node in fleet.nodes[1:]]
    if kind is not None:
        harms.cuts.cut(fleet.nodes[0].settings.ip, addresses, kind)


def _harm_endpoints(
    fleet: Fleet, rng: random.Random, harms: Harms, harm: EndpointHarm, addresses: list[str]
) -> None:
    """Let endpoints suffer, as all instances see it."""
    if harm is EndpointHarm.LATE:
        harms.late.update({address: rng.uniform(*LATE_S) for address in addresses})
    elif harm in CUT_KINDS:
        for node in fleet.nodes:
            harms.cuts.cut(node.settings.ip, addresses, CUT_KINDS[harm])


def _mend(fleet: Fleet, harms: Harms) -> None:
    """End all harms."""
    harms.silence.is_on = False
    harms.late.clear()
    for node in fleet.nodes:
        harms.cuts.mend(node.settings.ip)


@contextlib.contextmanager
def _silencing() -> Iterator[Silence]:
    """Make the datagrams of all nodes in this process losable during the block."""
    silence, plain = Silence(), PeerDatagrams.send

    def send(self: PeerDatagrams, *args: object) -> None:
        if not silence.is_on:
            plain(self, *args)

    with mock.patch.object(PeerDatagrams, "send", send):
        yield silence


@contextlib.contextmanager
def _late_streams() -> Iterator[dict[str, float]]:
    """Yield the seconds by which connections to some addresses come up late during the block."""
    late: dict[str, float] = {}
    plain = IOStream.connect

    async def connect(self: IOStream, address: tuple[str, int], *args: object) -> IOStream:
        await asyncio.sleep(late.get(f"{address[0]}:{address[1]}", 0.0))
        return await plain(self, address, *args)

    with mock.patch.object(IOStream, "connect", connect):
        yield late


@contextlib.contextmanager
def _noting_faults(findings: Findings) -> Iterator[None]:
    """Note each unforeseen exception that a node logs during the block."""
    plain = logs.event

    def note(name: str, **fields: object) -> None:
        if name == "fault":
            findings.wrong.append(f"fault: {fields}")
        plain(name, **fields)

    def note_from_loop(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        findings.wrong.append(f"fault in a callback or task: {context}")

    asyncio.get_running_loop().set_exception_handler(note_from_loop)
    with mock.patch.object(logs, "event", note):
        yield


def _scripts(findings: Findings, rng: random.Random) -> dict[str, tuple[str, Script]]:
    """Return the scripts of the engines, which count what they run."""

    def counting(script: Script, error_share: float) -> Script:
        async def run(request: RawRequest, connection: Connection) -> None:
            findings.runs[request.request_id] += 1
            await asyncio.sleep(rng.random() * MAX_WORK_S)
            chosen = engine_error if rng.random() < error_share else script
            await chosen(request, connection)

        return run

    numbers = range(ENGINES)
    return {
        f"i-desk-{number}": ("desk", counting(plain_answer, ERROR_SHARE)) for number in numbers
    } | {f"i-model-{number}": ("model", counting(_stream, 0.0)) for number in numbers}


async def _stream(request: RawRequest, connection: Connection) -> None:
    """Stream the events after the last one that the caller has."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    await stream_of(first, EVENTS)(request, connection)


@contextlib.asynccontextmanager
async def _calling(fleet: Fleet, findings: Findings, seed: int) -> AsyncIterator[None]:
    """Let callers send requests to the first instance during the block; await the last answers."""
    ended = asyncio.Event()
    callers = [
        asyncio.ensure_future(
            _call_until(
                ended,
                fleet.caller_address(),
                findings,
                f"c{number}",
                random.Random(f"{seed} {number}"),
            )
        )
        for number in range(CALLERS)
    ]
    try:
        yield
        ended.set()
        await asyncio.wait(callers, timeout=SETTLE_S)
    finally:
        for caller in callers:
            caller.cancel()
    for result in await asyncio.gather(*callers, return_exceptions=True):
        if result is not None:
            findings.wrong.append(f"a caller ended with {result!r}")


async def _call_until(
    ended: asyncio.Event, address: str, findings: Findings, name: str, rng: random.Random
) -> None:
    """Send requests on kept connections until it is set, and check each answer."""
    conn: CallerConnection | None = None
    count = 0
    while not ended.is_set():
        count += 1
        conn = conn or await CallerConnection.open(address)
        path = rng.choice(PATHS)
        conn = await _call(conn, findings, path, f"{name}-{count}")
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
    if conn is not None:
        conn.close()


async def _call(
    conn: CallerConnection, findings: Findings, path: str, request_id: str
) -> CallerConnection | None:
    """Send one request and check its answer; return the connection if it is kept."""
    if path in ONCE_PATHS:
        findings.once.add(request_id)
    try:
        got = await conn.ask(path, Request_Id=request_id)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        findings.wrong.append(f"{request_id} {path} got no answer: {exc!r}")
        conn.close()
        return None
    findings.counts[f"{path} {got.status}{'' if got.is_complete else ' cut off'}"] += 1
    expected = STREAM_BODY if path in ("/stream/x", "/single/x") else b"whole"
    if got.status == 200 and got.is_complete and got.body != expected:
        findings.wrong.append(f"{request_id} {path} got {got.body!r}")
    if got.status in NOT_RUN:
        findings.not_run.add(request_id)
        if "retry-after" not in got.headers:
            findings.wrong.append(f"{request_id} {path} got {got.status} without Retry-After")
    if conn.may_be_kept:
        return conn
    if got.is_complete:
        findings.wrong.append(f"{request_id} {path} got {got.status} and a closed connection")
    conn.close()
    return None


def _check_runs(findings: Findings) -> None:
    """Check what ran against what callers were told and what their routes allow."""
    for request_id in findings.not_run:
        if findings.runs[request_id]:
            findings.wrong.append(f"{request_id} was called not run and ran")
    for request_id in findings.once:
        if findings.runs[request_id] > 1:
            findings.wrong.append(f"{request_id} ran {findings.runs[request_id]} times")


def main(seed: int = 1, histories: int = 10_000, peers: int = 3) -> None:
    """Play histories and print what was found; exit with 1 if anything was wrong."""
    findings = asyncio.run(play(platform_outside, Draws(seed, histories, peers)))
    typer.echo(f"seed {seed}, {peers} peers, {histories} histories: {len(findings.wrong)} wrong")
    for line in findings.wrong[:20]:
        typer.echo(f"  WRONG {line}")
    for name, count in sorted(findings.counts.items()):
        typer.echo(f"  {count:6} {name}")
    raise SystemExit(bool(findings.wrong))


if __name__ == "__main__":
    typer.run(main)
