"""Plays streams without a length while their engines end in one way or in several at once.

python -m springbridge_standins.gateway.departures --harm planned_end --harm crash --seed 3
"""

import asyncio
import contextlib
import json
import shutil
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import typer

from springbridge_standins.gateway.departures.callers import Outcomes, call_forever
from springbridge_standins.gateway.departures.engine import CHUNKED, UNFRAMED
from springbridge_standins.gateway.departures.harms import HARMS, Harm
from springbridge_standins.gateway.departures.rig import Rig, running_rig

# Callers, each with one stream at a time.
CALLERS = 48
# Pause between two harms of a kind, in seconds.
BETWEEN_S = 1.0
DEFAULT_HARMS = ["calm"]
# Requests that a report names.
MAX_LINES = 16


async def play(harms: list[str], seed: int, seconds: float, framing: str, folder: Path) -> Outcomes:
    """Let callers ask for streams for some seconds, and return what they got."""
    outcomes = Outcomes()
    async with running_rig(seed, framing, folder) as rig:
        work = [call_forever(rig, number, outcomes) for number in range(CALLERS)]
        work += [_harm_forever(rig, HARMS[name]) for name in harms]
        tasks = [asyncio.ensure_future(each) for each in work]
        done, _ = await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()
    return outcomes


async def _harm_forever(rig: Rig, harm: Harm) -> None:
    """Do one harm after another until cancelled."""
    while True:
        await asyncio.sleep(BETWEEN_S)
        await harm(rig)


@contextlib.contextmanager
def _folder(keeps: bool) -> Iterator[str]:
    """Yield a folder for logs, which stays if it is to be kept or the block fails."""
    folder = tempfile.mkdtemp(prefix="departures-")
    yield folder
    if keeps:
        typer.echo(f"logs kept in {folder}")
    else:
        shutil.rmtree(folder)


def answer_ends(folder: Path) -> dict[str, str]:
    """Return how the last answer to each request ended, as the nodes logged it."""
    found = {}
    for log in folder.glob("*.log"):
        for line in log.read_text(errors="replace").splitlines():
            if '"springbridge.request.ended"' in line:
                event = json.loads(line)
                found[event["request_id"]] = event["answer_end"]
    return found


def main(
    harm: list[str] = DEFAULT_HARMS,
    seed: int = 1,
    seconds: float = 26.0,
    chunked: bool = False,
    keep_logs: bool = False,
) -> None:
    """Play one run; exit with 1 if a stream reached its caller as what it is not."""
    framing = CHUNKED if chunked else UNFRAMED
    with _folder(keep_logs) as folder:
        outcomes = asyncio.run(play(harm, seed, seconds, framing, Path(folder)))
        ends = answer_ends(Path(folder))
    counts = dict(sorted(outcomes.counts.items()))
    gone_on = outcomes.gone_on / max(1, outcomes.come_backs)
    share = outcomes.counts["whole"] / max(1, sum(outcomes.counts.values()))
    typer.echo(
        f"{'+'.join(harm)} seed {seed} {framing}: {counts}, whole {share:.3f}, "
        f"{gone_on:.2f} of {outcomes.come_backs} come-backs went on"
    )
    by_end = Counter(ends.get(request_id, "no line") for request_id in outcomes.false_whole)
    for end, count in by_end.items():
        typer.echo(f"  {count} false whole: {end}")
    unusual = [*outcomes.false_whole.items(), *outcomes.disorder.items()]
    for request_id, detail in [*unusual, *outcomes.given_up.items()][:MAX_LINES]:
        typer.echo(f"  {request_id} {detail} {ends.get(request_id)}")
    raise SystemExit(bool(outcomes.false_whole or outcomes.disorder))


if __name__ == "__main__":
    typer.run(main)
