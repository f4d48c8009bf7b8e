"""Lets crowds stand at one node process, and prints what it used: python -m ... rows, or drawn."""

import asyncio
import contextlib
import random
import tempfile
import time
from collections import Counter
from pathlib import Path

import typer

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.crowd.crowd import crowd_of
from springbridge_standins.gateway.crowd.drawn import draw_kind
from springbridge_standins.gateway.crowd.kinds import (
    CrowdKind,
    chunked,
    endless_head,
    many_requests,
    nothing,
    with_length,
)
from springbridge_standins.gateway.crowd.target import (
    NodeLimits,
    Target,
    running_target,
    settles,
)
from springbridge_standins.gateway.crowd.usage import descriptors, resident_mb, sampled
from springbridge_standins.http_wire import answer

MEMORY_MB, MAX_FDS = 88, 4100
MAX_MEMORY_MB, MAX_KEPT_MB, MAX_KEPT_FDS = 79, 16, 8
BODY_BYTES = 4 << 20
STAND_S, REST_S = 8.0, 20.0
# Ordinary callers beside a crowd, and their pause between two requests, in seconds.
ORDINARY, PAUSE_S = 8, 0.1
LARGE_ANSWER_BYTES = 2 << 20

# Clients of each kind, before they are multiplied.
ROWS = {
    "64 KB short": (60, CrowdKind(chunked(BODY_BYTES, short=1 << 16))),
    "one byte short": (60, CrowdKind(with_length(BODY_BYTES, short=1))),
    "unknown key": (60, CrowdKind(chunked(BODY_BYTES, short=1 << 16, key="wrong"))),
    "whole": (200, CrowdKind(with_length(BODY_BYTES), reads=True)),
    "12 requests ahead": (150, CrowdKind(with_length(BODY_BYTES, times=12))),
    "90 MB at directory": (8, CrowdKind(with_length(90_000_000, short=1), "directory")),
    "90 MB at peers": (8, CrowdKind(with_length(90_000_000, short=1), "peers")),
    "chunks of 2 bytes": (20, CrowdKind(chunked(1 << 20, piece=2))),
    "idle": (400, CrowdKind(nothing)),
    "endless heads": (350, CrowdKind(endless_head(15_000))),
    "400 ahead, unread": (100, CrowdKind(many_requests(400, "/safe/large"))),
}

app = typer.Typer()


async def _large_or_plain(request, connection) -> None:
    """Answer a request of a crowd at length."""
    size = LARGE_ANSWER_BYTES if request.path.endswith("large") else 5
    await connection.send(answer(request.request_id, b"x" * size))


async def _ask_forever(address: str, statuses: Counter, latencies_s: list[float]) -> None:
    """Be an ordinary caller, half of the time on a new connection, until cancelled."""
    conn, kept = None, random.random() < 0.5
    while True:
        began_s = time.monotonic()
        try:
            conn = conn if conn is not None and kept else await CallerConnection.open(address)
            got = await conn.ask("/safe/x", method="POST", body=b"b" * 500)
            statuses[got.status] += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            statuses["none"] += 1
            conn = None
        latencies_s.append(time.monotonic() - began_s)
        if conn is not None and not (kept and conn.may_be_kept):
            conn.close()
            conn = None
        await asyncio.sleep(PAUSE_S)


async def _stand(target: Target, name: str, kind: CrowdKind, count: int) -> str:
    """Let a crowd stand beside ordinary callers; return a line of the report."""
    statuses, latencies_s = Counter(), []
    address = target.addresses["callers"]
    ordinary = [
        asyncio.ensure_future(_ask_forever(address, statuses, latencies_s)) for _ in range(ORDINARY)
    ]
    before = len(target.engine.arrived)
    crowd = crowd_of(kind, count, target.addresses[kind.listener])
    async with sampled(target.pid, target.ip) as peaks, crowd as standing:
        await asyncio.sleep(STAND_S / 2)
        await standing.stand(STAND_S / 2)
    for each in ordinary:
        each.cancel()
    await settles(lambda: descriptors(target.pid) < target.rest_descriptors + MAX_KEPT_FDS, REST_S)
    await settles(lambda: resident_mb(target.pid) < target.rest_mb + MAX_KEPT_MB, REST_S)
    with contextlib.suppress(IndexError):
        latencies_s = sorted(latencies_s)
        p99 = latencies_s[int(0.99 * len(latencies_s))]
    kept_mb = resident_mb(target.pid) - target.rest_mb
    verdict = "ok" if peaks.memory_mb < MAX_MEMORY_MB and kept_mb < MAX_KEPT_MB else "OVER"
    return (
        f"{name:20} {count:5} clients: {target.rest_mb:3.0f} -> {peaks.memory_mb:4.0f} MB, kept "
        f"{kept_mb:+3.0f}, fds {peaks.descriptors} -> {descriptors(target.pid)}, ordinary "
        f"{dict(statuses)} p99 {p99:.2f} s, crowd {dict(standing.ended)} "
        f"{dict(standing.statuses)}, reached {len(target.engine.arrived) - before}: {verdict}"
    )


@app.command()
def rows(times: int = 10, only: str = "", plays: int = 2) -> None:
    """Print a line for each kind of crowd, of so many times its clients, and for each play."""

    async def run() -> None:
        for name, (count, kind) in ROWS.items():
            if only not in name:
                continue
            folder = Path(tempfile.mkdtemp(prefix="crowd-"))
            limits = NodeLimits(MEMORY_MB, MAX_FDS)
            async with running_target(folder, limits, script=_large_or_plain) as target:
                for _ in range(plays):
                    typer.echo(await _stand(target, name, kind, count * times))

    asyncio.run(run())


@app.command()
def drawn(seed: int = 1, crowds: int = 1000, seconds: float = 0.3) -> None:
    """Let drawn crowds stand one after another at one process; print what was over."""

    async def run() -> None:
        rng = random.Random(seed)
        folder = Path(tempfile.mkdtemp(prefix="crowd-"))
        limits = NodeLimits(MEMORY_MB, MAX_FDS)
        over, unserved = 0, 0
        async with running_target(folder, limits) as target:
            async with sampled(target.pid, target.ip) as peaks:
                for number in range(crowds):
                    kind, count = draw_kind(rng), rng.choice((1, 5, 30))
                    address = target.addresses[kind.listener]
                    async with crowd_of(kind, count, address) as crowd:
                        await crowd.stand(seconds)
                    if target.has_ended():
                        raise SystemExit(f"the process ended at crowd {number} of seed {seed}")
                    if not await target.serves():
                        unserved += 1
                        typer.echo(f"not served behind crowd {number} of seed {seed}")
            most = target.rest_descriptors + MAX_KEPT_FDS
            await settles(lambda: descriptors(target.pid) < most, REST_S)
            over = peaks.memory_mb - MAX_MEMORY_MB
            kept_mb = resident_mb(target.pid) - target.rest_mb
            typer.echo(
                f"seed {seed}: {crowds} crowds, {peaks.memory_mb:.0f} MB at most ({over:+.0f} of "
                f"the bound), kept {kept_mb:+.0f} MB, descriptors {target.rest_descriptors} -> "
                f"{descriptors(target.pid)}, {unserved} times not served"
            )

    asyncio.run(run())


if __name__ == "__main__":
    app()
