"""Compares algorithms that share a rate in fleets without faults: how much is used or exceeded."""

import asyncio
import random
from unittest import mock

import typer
from springbridge_node import logs

from springbridge_standins.rates.ways import WAYS, fleet_of
from springbridge_standins.virtual_loop import run_virtual

# Instances, rate in requests per second, instances that receive requests (0 for all), and requests
# per second of all callers together.
CASES = (
    (8, 1.0, 0, 20.0),
    (8, 1.0, 3, 20.0),
    (87, 1.0, 0, 100.0),
    (87, 1.0, 3, 20.0),
    (87, 0.5, 3, 20.0),
    (87, 20.0, 3, 100.0),
    (87, 200.0, 0, 400.0),
    (195, 1.0, 3, 100.0),
    (195, 50.0, 0, 300.0),
    (380, 1.0, 3, 50.0),
    (380, 200.0, 0, 700.0),
)
# Time until instances grant permits, from the first limit to the count, and counted time.
SETTLED_S, KNOWN_S, COUNTED_S = 4.0, 4.0, 30.0


async def _play(way: str, size: int, per_s: float, few: int, asked_per_s: float) -> str:
    """Return the printed result of one case with one algorithm."""
    rng = random.Random(5)
    fleet = fleet_of(way, rng, size, endpoints=1)
    await asyncio.sleep(SETTLED_S)
    endpoint = fleet.endpoints[0]
    endpoint.name(per_s)
    fleet.network.sent_bytes.clear()
    callers = asyncio.ensure_future(_call(rng, fleet, few, asked_per_s))
    await asyncio.sleep(KNOWN_S)
    before = len(endpoint.record.arrivals)
    await asyncio.sleep(COUNTED_S)
    callers.cancel()
    used = (len(endpoint.record.arrivals) - before) / (per_s * COUNTED_S)
    sent = fleet.network.sent_bytes.values()
    busiest = max(sent, default=0) / (KNOWN_S + COUNTED_S)
    mean = sum(sent) / size / (KNOWN_S + COUNTED_S)
    over = endpoint.record.max_excess()
    return f"used {used:.2f}, most over {over:.0f}, B/s mean {mean:.0f} busiest {busiest:.0f}"


async def _call(rng: random.Random, fleet, few: int, asked_per_s: float) -> None:
    """Send requests to all instances, or to a few if few is not 0."""
    numbers = list(range(len(fleet.instances)))
    asked = rng.sample(numbers, few) if few else numbers
    while True:
        await asyncio.sleep(rng.expovariate(asked_per_s))
        fleet.instances[rng.choice(asked)].serve(rng.randrange(3))


def main() -> None:
    """Print the result of each case with each algorithm."""
    with mock.patch.object(logs, "event"):
        for size, per_s, few, asked_per_s in CASES:
            where = f"{few} of {size}" if few else f"all {size}"
            typer.echo(f"{per_s:g} a second, callers at {where}, {asked_per_s:g} requests a second")
            for way in WAYS:
                found = run_virtual(_play(way, size, per_s, few, asked_per_s))
                typer.echo(f"    {way}: {found}")


if __name__ == "__main__":
    typer.run(main)
