"""Runs random histories of endpoints that leave or ask for rest, and checks the users' rules.

Endpoints also announce limits, and faults overlap: restarts, freezes, partitions, lost datagrams.
The store is down or accepts no writes all the time: instances keep getting lists in which every
endpoint is ready, so that only the announcements count.
"""

import asyncio
import random
from dataclasses import dataclass
from unittest import mock

import typer
from springbridge_node import logs

from springbridge_standins.rates.endpoints import SimulatedEndpoint
from springbridge_standins.rates.fleet import SimulatedRateFleet
from springbridge_standins.rates.histories import inject_faults, send_requests, vary_rate
from springbridge_standins.virtual_loop import run_virtual

# Virtual length of one history.
HISTORY_S = 24.0
# Fewest and most instances.
SIZES = (2, 40)
# Rests that endpoints ask for.
RESTS_S = (0.2, 0.5, 1.0, 3.0, 8.0, 30.0)
# Fewest and most requests per second of all callers together.
ASKED_PER_S = (5.0, 300.0)


@dataclass
class StatementHistory:
    """One random history, and the violations in it.

    Attributes:
      said_to: Instances that got an announcement, summed over the endpoints.
      late: Requests sent too late after an endpoint announced that it leaves.
      most_in_a_rest: Most requests from one instance in a rest.
    """

    seed: int
    size: int = 0
    said_to: int = 0
    late: int = 0
    most_in_a_rest: int = 0


def play_statements(seed: int, size: int = 0, seconds: float = HISTORY_S) -> StatementHistory:
    """Run the history of a seed to its end in virtual time.

    Args:
      size: Number of instances, random if 0.
    """
    history = StatementHistory(seed, size)
    with mock.patch.object(logs, "event", lambda *args, **fields: None):
        run_virtual(_play(history, random.Random(f"{seed} statements"), seconds))
    return history


async def _play(history: StatementHistory, rng: random.Random, seconds: float) -> None:
    history.size = history.size or rng.randint(*SIZES)
    fleet = SimulatedRateFleet(rng, history.size, rng.randint(1, 6))
    fleet.network.loss = rng.choice([0.0, 0.0, 0.03, 0.1])
    await asyncio.sleep(2.5)
    limited = [each for each in fleet.endpoints if rng.random() < 0.2]
    asked_per_s = rng.uniform(*ASKED_PER_S)
    work = [
        *(_say(rng, each) for each in fleet.endpoints),
        *(vary_rate(rng, each, rng.choice([1.0, 5.0, 20.0])) for each in limited),
        send_requests(rng, fleet, asked_per_s / 2.0),
        inject_faults(rng, fleet),
        _list_ready(rng, fleet),
    ]
    tasks = [asyncio.ensure_future(each) for each in work]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    for instance in fleet.instances:
        instance.kill()
    records = [each.statement_record for each in fleet.endpoints]
    history.said_to = sum(record.said_to() for record in records)
    history.late = sum(record.late() for record in records)
    history.most_in_a_rest = max(record.most_in_a_rest() for record in records)


async def _say(rng: random.Random, endpoint: SimulatedEndpoint) -> None:
    """Let an endpoint ask for rest at random, and possibly leave once."""
    leaves_in_s = rng.uniform(0.0, 2.0 * HISTORY_S)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while True:
        await asyncio.sleep(rng.random() * 4.0)
        endpoint.leaves = endpoint.leaves or loop.time() > began_s + leaves_in_s
        if rng.random() < 0.5:
            endpoint.rest_s = rng.choice(RESTS_S)
            await asyncio.sleep(rng.random() * 4.0)
            endpoint.rest_s = None


async def _list_ready(rng: random.Random, fleet: SimulatedRateFleet) -> None:
    """Keep installing snapshots with all endpoints ready at random instances."""
    revision = 1
    while True:
        await asyncio.sleep(rng.random())
        revision += 1
        rng.choice(fleet.instances).list_ready(revision)


def main(seed: int = 0, seeds: int = 100, size: int = 0, seconds: float = HISTORY_S) -> None:
    """Run histories, and print those with violations and the totals."""
    played = [play_statements(each, size, seconds) for each in range(seed, seed + seeds)]
    for history in played:
        if history.late or history.most_in_a_rest > 1:
            typer.echo(str(history))
    typer.echo(
        f"{seeds} histories from {seed} on: {sum(each.late > 0 for each in played)} with late"
        f" requests, {sum(each.most_in_a_rest > 1 for each in played)} with several in a rest,"
        f" {sum(each.said_to for each in played)} times an instance was told"
    )


if __name__ == "__main__":
    typer.run(main)
