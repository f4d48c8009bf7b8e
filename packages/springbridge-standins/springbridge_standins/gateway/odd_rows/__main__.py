"""Leaves odd rows in the store of a small fleet while one engine leaves and another one joins.

python -m springbridge_standins.gateway.odd_rows --row long_port --restart
"""

import asyncio
import contextlib
import itertools
import json
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import typer

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.odd_rows.contents import ODD_ROWS, Surroundings
from springbridge_standins.gateway.odd_rows.rig import Rig, running_rig

CALLERS = 24
# Pause of a caller between two requests, in seconds.
PAUSE_S = 0.02
# Times in seconds: before the odd rows, from them to the leaving engine, and from there to the end.
CALM_S, ODD_S, REST_S = 2.0, 1.5, 9.0
# From when a restarted fleet is there again, in seconds.
RESTART_S = 3.0
# Time after which a leaving engine gets no more requests, in seconds: drainMs of the nodes.
DRAIN_S = 2.0
DEFAULT_ROW = "long_port"


@dataclass
class Outcome:
    """What was seen.

    Attributes:
      statuses: Answers after the rows were there, by status.
      late: Requests that arrived at the leaving engine later than DRAIN_S after its word.
      first_new_s: When the new engine got its first request, from its entry on; None if never.
      share_of_odd: Share of requests at the engine that an odd row names, after it was there.
      ended: Nodes whose process ended by itself.
    """

    statuses: Counter = field(default_factory=Counter)
    late: int = 0
    first_new_s: float | None = None
    share_of_odd: float = 0.0
    ended: int = 0


async def play(row: str, restart: bool, seed: int, folder: Path) -> Outcome:
    """Play one run and return what was seen."""
    outcome = Outcome()
    async with running_rig(seed, folder) as rig:
        tasks = [asyncio.ensure_future(_call_forever(rig, n, outcome)) for n in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        odd = ODD_ROWS[row](_surroundings(rig))
        for each in odd:
            await rig.store.put_content(each.table, each.key, each.content)
        odd_s = time.monotonic()
        outcome.statuses.clear()
        if restart:
            await rig.restart_nodes()
            await asyncio.sleep(RESTART_S)
        await asyncio.sleep(ODD_S)
        new = await rig.add_engine()
        await rig.list_engine("i-desk-1", "draining")
        leaving_s = time.monotonic()
        await asyncio.sleep(REST_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        outcome.late = sum(each > leaving_s + DRAIN_S for each in rig.arrived_s["i-desk-1"])
        if rig.arrived_s[new]:
            outcome.first_new_s = rig.arrived_s[new][0] - leaving_s
        outcome.share_of_odd = _share(rig, "i-desk-2", odd_s, leaving_s)
        outcome.ended = sum(node.has_ended() for node in rig.nodes)
    return outcome


def _surroundings(rig: Rig) -> Surroundings:
    """Return what odd rows may refer to."""
    engine = rig.engines["i-desk-2"]
    return Surroundings("i-desk-2", engine.address, rig.nodes[0].caller_address)


def _share(rig: Rig, name: str, begin_s: float, end_s: float) -> float:
    """Return an engine's share of the requests that arrived at engines in some time."""
    counts = {
        each: sum(begin_s < moment_s < end_s for moment_s in arrived)
        for each, arrived in rig.arrived_s.items()
    }
    return counts[name] / max(1, sum(counts.values()))


async def _call_forever(rig: Rig, number: int, outcome: Outcome) -> None:
    """Send one request after another, each to the next node, until cancelled."""
    for turn in itertools.count(number):
        outcome.statuses[await _ask(rig.nodes[turn % len(rig.nodes)].caller_address)] += 1
        await asyncio.sleep(PAUSE_S)


async def _ask(address: str) -> str:
    """Send a request and return the status of its answer, "none" if it got none."""
    conn = None
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        conn = await CallerConnection.open(address)
        got = await conn.ask("/safe/x")
        conn.close()
        return str(got.status)
    if conn is not None:
        conn.close()
    return "none"


def logged(folder: Path) -> tuple[int, list[str]]:
    """Return the number of log lines, and those that name a dependency, an odd row or a fault."""
    count, named = 0, []
    for log in sorted(folder.glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            count += 1
            if any(word in line for word in ('"dependency', "unreadable", ".fault")):
                named.append(f"{log.stem} {_shortened(line)}")
    return count, named


def _shortened(line: str) -> str:
    """Return the type and the reason of a log line."""
    event = json.loads(line)
    name = event["message_type"].removeprefix("springbridge.")
    return f"{name} {event.get('key', '')[:20]} {event.get('reason', event.get('kind', ''))[:90]}"


def main(row: str = DEFAULT_ROW, restart: bool = False, seed: int = 1) -> None:
    """Play one run; exit with 1 if a leaving engine got requests or a new one none in a second."""
    with tempfile.TemporaryDirectory(prefix="odd-rows-") as folder:
        seen = asyncio.run(play(row, restart, seed, Path(folder)))
        lines, named = logged(Path(folder))
    first = "never" if seen.first_new_s is None else f"{seen.first_new_s:.2f} s"
    way = "restarted" if restart else "running"
    typer.echo(
        f"{row} {way} seed {seed}: late {seen.late}, new engine after {first}, "
        f"share of i-desk-2 {seen.share_of_odd:.2f}, ended {seen.ended}, "
        f"answers {dict(sorted(seen.statuses.items()))}, {lines} log lines"
    )
    for line, count in Counter(named).most_common(8):
        typer.echo(f"  {count} {line}")
    raise SystemExit(bool(seen.late or seen.first_new_s is None or seen.first_new_s > 1.0))


if __name__ == "__main__":
    typer.run(main)
