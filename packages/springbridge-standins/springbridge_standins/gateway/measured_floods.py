"""Measures what endpoints whose answers do not end take from an instance, and from its callers.

One instance, callers of a sound service, and callers of another service of whose three endpoints
one, two or all send without end. Instance and endpoints are processes of their own. For each kind
of answer the memory of the instance, the latency of the sound service and the time that requests
of the other one took past their deadline are printed.
"""

import asyncio
import contextlib
import json
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

import typer
from springbridge_node import clock
from springbridge_node.gateway.requests.request_log import RequestLog

from springbridge_standins.free_addresses import free_ports
from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.endless import ENDLESS, Script
from springbridge_standins.gateway.engine import EngineStandIn, plain_answer
from springbridge_standins.gateway.fleet import configuration, list_engine, route, running_fleet
from springbridge_standins.gateway.platform_outside import platform_outside
from springbridge_standins.http_wire import Connection, RawRequest, answer, chunk, stream_head

SOUND_CALLERS, OTHER_CALLERS = 20, 12
OTHER_PATHS = ("/stream/x", "/single/x", "/other-safe/x", "/other-once/x")
# Endpoints of the other service, in the order in which they begin to send without end.
FLOODING = ("model-1", "model-2", "model-3")
DEADLINE_MS = 2000
# Pause of a caller of the sound service between two requests, in seconds.
PAUSE_S = 0.1
SAMPLE_S = 0.02
# Seconds for which processes may take to start, on a busy machine.
START_S = 20.0
PAGE_BYTES = 4096
LARGE_BYTES = 100 << 20
MB = 1e6


def large_body(size: int) -> Script:
    """Return a script that answers with a body of some bytes and its length."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(answer(request.request_id, b"", Content_Length=str(size)))
        for _ in range(size >> 16):
            await connection.send(b"x" * (1 << 16))

    return script


def large_event(size: int) -> Script:
    """Return a script that streams one event of some bytes."""

    async def script(request: RawRequest, connection: Connection) -> None:
        await connection.send(stream_head(request.request_id) + chunk(b"id: 1\ndata: "))
        for _ in range(size >> 16):
            await connection.send(chunk(b"x" * (1 << 16)))
        await connection.send(chunk(b"\n\n") + chunk(b""))

    return script


SCRIPTS: dict[str, Script] = {
    "nothing": plain_answer,
    **ENDLESS,
    "sound: a body of 100 MB": large_body(LARGE_BYTES),
    "sound: an event of 1 MB": large_event(1 << 20),
    "sound: an event of 10 MB": large_event(10 << 20),
    "sound: an event of 30 MB": large_event(30 << 20),
}


@dataclass
class Seen:
    """What callers saw.

    Attributes:
      latencies_s: Of the requests of the sound service, in seconds.
      sound: Statuses of that service.
      other: Statuses of the other service, and whether the answer was whole.
    """

    latencies_s: list[float] = field(default_factory=list)
    sound: Counter = field(default_factory=Counter)
    other: Counter = field(default_factory=Counter)


async def serve_node(addresses: dict[str, str]) -> None:
    """Run an instance and its store until standard input ends; then print its memory."""
    routes = [
        *configuration(1)["routes"],
        route("other-safe", "safe", "model"),
        route("other-once", "unsafe", "model", maxAttempts=1),
    ]
    async with running_fleet(platform_outside, {}) as fleet:
        await fleet.store.put("op", "config", configuration(2, routes=routes))
        for name, address in addresses.items():
            service = name.partition("-")[0]
            await list_engine(fleet.store, name, service, address, "ready", slots=100)
        node = fleet.nodes[0]
        while node.configuration.version < 2 or len(node.registry.entries()) < len(addresses):
            await asyncio.sleep(SAMPLE_S)
        typer.echo(fleet.caller_address())
        samples: list[int] = []
        threading.Thread(target=_sample_memory, args=[samples], daemon=True).start()
        with _recorded_lateness() as late_s:
            await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
        typer.echo(json.dumps([samples[0], max(samples), max(late_s, default=0.0)]))


@contextlib.contextmanager
def _recorded_lateness() -> Iterator[list[float]]:
    """Yield a list that gets how long after its deadline each request ended, in seconds."""
    found: list[float] = []
    ended = RequestLog.ended

    def record(self, exchange, *args):
        found.append(clock.now_s() - exchange.admitted.deadline_s)
        ended(self, exchange, *args)

    with mock.patch.object(RequestLog, "ended", record):
        yield found


def _sample_memory(samples: list[int]) -> None:
    """Append the resident memory of this process in bytes, again and again."""
    while True:
        samples.append(int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES)
        time.sleep(SAMPLE_S)


def serve_engine(address: str, kind: str) -> None:
    """Serve answers of a kind at an address, until killed."""
    engine = EngineStandIn("measured", SCRIPTS[kind])
    engine.address = address
    asyncio.run(engine.run())


@contextlib.contextmanager
def program(*arguments: str) -> Iterator[subprocess.Popen]:
    """Run this module as another process until the block ends."""
    command = [sys.executable, "-m", "springbridge_standins.gateway.measured_floods", *arguments]
    with subprocess.Popen(command, text=True, stdin=-1, stdout=-1) as process:
        try:
            yield process
        finally:
            process.kill()


async def _call_sound(address: str, end_s: float, seen: Seen) -> None:
    """Ask the sound service again and again."""
    conn = await CallerConnection.open(address)
    while time.monotonic() < end_s:
        began_s = time.monotonic()
        try:
            got = await conn.ask("/safe/x", Deadline_Ms=str(DEADLINE_MS))
            seen.sound[got.status] += 1
        except (OSError, asyncio.IncompleteReadError):
            seen.sound["none"] += 1
            conn = await CallerConnection.open(address)
        seen.latencies_s.append(time.monotonic() - began_s)
        await asyncio.sleep(PAUSE_S)
    conn.close()


async def _call_other(address: str, path: str, end_s: float, seen: Seen) -> None:
    """Ask the other service again and again, each time on a new connection; read all that comes."""
    host, _, port = address.rpartition(":")
    while time.monotonic() < end_s:
        conn = await CallerConnection.open(f"{host}:{port}")
        try:
            got = await conn.ask(path, method="POST", body=b"b", Deadline_Ms=str(DEADLINE_MS))
            seen.other[f"{got.status} {'whole' if got.is_complete else 'cut'}"] += 1
        except (OSError, asyncio.IncompleteReadError):
            seen.other["none"] += 1
        conn.close()
        await asyncio.sleep(PAUSE_S)


async def call_sound(address: str, seconds: float) -> Seen:
    """Ask the sound service for some seconds, and return what its callers saw."""
    seen, end_s = Seen(), time.monotonic() + seconds
    await asyncio.gather(*(_call_sound(address, end_s, seen) for _ in range(SOUND_CALLERS)))
    return seen


async def call_other(address: str, seconds: float, callers: int) -> Seen:
    """Ask the other service for some seconds, and return what its callers saw."""
    seen, end_s = Seen(), time.monotonic() + seconds
    paths = [OTHER_PATHS[number % len(OTHER_PATHS)] for number in range(callers)]
    await asyncio.gather(*(_call_other(address, path, end_s, seen) for path in paths))
    return seen


def measure(kind: str, seconds: float, callers: int, flooding: int) -> str:
    """Measure a kind of answers, and return a line of the report.

    Args:
      flooding: How many endpoints of the other service give answers of that kind.
    """
    ports = free_ports(6)
    names = ("desk-1", "desk-2", "desk-3", *FLOODING)
    addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
    with contextlib.ExitStack() as stack:
        for name, address in addresses.items():
            which = kind if name in FLOODING[:flooding] else "nothing"
            stack.enter_context(program("engine", address, which))
        time.sleep(1.5)
        node = stack.enter_context(program("node", json.dumps(addresses)))
        address = node.stdout.readline().strip()
        asyncio.run(call_sound(address, 1.0))
        others = stack.enter_context(program("callers", address, str(seconds), str(callers)))
        seen = asyncio.run(call_sound(address, seconds))
        other = json.loads(others.stdout.readline())
        node.stdin.close()
        before, most, late_s = json.loads(node.stdout.readline())
    times = sorted(seen.latencies_s)
    p50, p99 = (times[int(share * (len(times) - 1))] for share in (0.5, 0.99))
    return (
        f"{kind:28} +{(most - before) / MB:5.0f} MB  p50 {p50:.3f} p99 {p99:.3f} s  "
        f"late {max(0.0, late_s):5.2f} s  {dict(seen.sound)}  {other}"
    )


app = typer.Typer()


@app.command("node")
def _node(addresses: str) -> None:
    asyncio.run(serve_node(json.loads(addresses)))


@app.command("engine")
def _engine(address: str, kind: str) -> None:
    serve_engine(address, kind)


@app.command("callers")
def _callers(address: str, seconds: float, callers: int) -> None:
    seen = asyncio.run(call_other(address, seconds, callers))
    typer.echo(json.dumps(seen.other))


@app.command("measure")
def _measure(
    seconds: float = 8.0, callers: int = OTHER_CALLERS, only: str = "", flooding: int = 1
) -> None:
    """Print a line for each kind of answers, or for those whose names hold a word."""
    for kind in SCRIPTS:
        if only in kind:
            typer.echo(measure(kind, seconds, callers, flooding))


if __name__ == "__main__":
    app()
