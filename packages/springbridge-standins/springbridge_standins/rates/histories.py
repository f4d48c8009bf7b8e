"""Runs random histories of rate limits under faults, and checks the arrivals at the endpoints.

A history has instances, endpoints of which some announce limits that come, change and go, callers
at all instances or at a few, and overlapping faults: restarts, freezes, partitions, lost datagrams.
"""

import asyncio
import random
from dataclasses import dataclass, field
from unittest import mock

from springbridge_node import logs

from springbridge_standins.rates.endpoints import SimulatedEndpoint
from springbridge_standins.rates.fleet import SimulatedRateFleet
from springbridge_standins.virtual_loop import run_virtual

# Virtual length of one history.
HISTORY_S = 24.0
# Shortest and longest time between two faults, and duration of a fault.
FAULT_INTERVAL_S, FAULT_DURATION_S = (0.3, 4.0), (0.2, 8.0)
# Lowest and highest limit.
RATES_PER_S = (0.5, 200.0)
# Most requests of all callers together: per second, and as a multiple of the limits.
MAX_REQUESTS_PER_S, MAX_LOAD_FACTOR = 500.0, 6.0
# Fewest and most instances.
SIZES = (2, 40)


@dataclass
class History:
    """One random history, and the limits exceeded in it.

    Attributes:
      over: Requests above the limit in the worst span of each endpoint that exceeded it.
      longest_refusal_s: Longest wait of a refused caller, at instances without faults.
      bytes_per_s: Bytes per second sent by the instance that sent most.
    """

    seed: int
    size: int = 0
    over: list[float] = field(default_factory=list)
    longest_refusal_s: float = 0.0
    bytes_per_s: float = 0.0


def play_history(seed: int, size: int = 0, seconds: float = HISTORY_S) -> History:
    """Run the history of a seed to its end in virtual time.

    Args:
      size: Number of instances, random if 0.
    """
    history = History(seed, size)
    with mock.patch.object(logs, "event", lambda *args, **fields: None):
        run_virtual(_play(history, random.Random(seed), seconds))
    return history


async def _play(history: History, rng: random.Random, seconds: float) -> None:
    history.size = history.size or rng.randint(*SIZES)
    fleet = SimulatedRateFleet(rng, history.size, rng.randint(1, 5))
    fleet.network.loss = rng.choice([0.0, 0.0, 0.03, 0.1])
    # Wait until instances may grant permits.
    await asyncio.sleep(2.5)
    limited = rng.sample(fleet.endpoints, rng.randint(1, len(fleet.endpoints)))
    base_per_s = RATES_PER_S[0] * (RATES_PER_S[1] / RATES_PER_S[0]) ** rng.random()
    tasks = [asyncio.ensure_future(vary_rate(rng, each, base_per_s)) for each in limited]
    tasks.append(
        asyncio.ensure_future(send_requests(rng, fleet, base_per_s * len(fleet.endpoints)))
    )
    tasks.append(asyncio.ensure_future(inject_faults(rng, fleet)))
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    for instance in fleet.instances:
        instance.kill()
    history.over = [over for each in limited if (over := each.record.max_excess()) > 0]
    history.longest_refusal_s = max(
        (
            longest
            for each in fleet.instances
            if each.address not in fleet.excused_until_s
            for longest in each.refused_s
        ),
        default=0.0,
    )
    history.bytes_per_s = max(fleet.network.sent_bytes.values(), default=0) / seconds


async def vary_rate(rng: random.Random, endpoint: SimulatedEndpoint, per_s: float) -> None:
    """Let an endpoint announce a limit, change it at random, and at times announce none."""
    while True:
        await asyncio.sleep(rng.random() * 4.0)
        endpoint.name(per_s * rng.choice([1.0, 1.0, 0.5, 2.0]))
        await asyncio.sleep(4.0 + rng.random() * 14.0)
        if rng.random() < 0.5:
            endpoint.name(None)


async def send_requests(rng: random.Random, fleet: SimulatedRateFleet, rates_per_s: float) -> None:
    """Send requests to all instances or to at most three."""
    requests_per_s = min(MAX_REQUESTS_PER_S, rates_per_s * rng.uniform(0.3, MAX_LOAD_FACTOR))
    few = rng.random() < 0.4
    numbers = range(len(fleet.instances))
    called = rng.sample(numbers, min(3, len(numbers))) if few else list(numbers)
    while True:
        await asyncio.sleep(rng.expovariate(requests_per_s))
        fleet.instances[rng.choice(called)].serve(rng.randrange(3))


async def inject_faults(rng: random.Random, fleet: SimulatedRateFleet) -> None:
    """Inject faults into random instances until cancelled; faults may overlap."""
    numbers = range(len(fleet.instances))
    while True:
        await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_S))
        duration_s = rng.uniform(*FAULT_DURATION_S)
        chosen = set(rng.sample(numbers, rng.randint(1, max(1, len(numbers) // 2))))
        match rng.randrange(4):
            case 0:
                for number in chosen:
                    fleet.restart(number, rng.uniform(0.2, 2.0))
            case 1:
                fleet.restart(rng.choice(numbers), rng.uniform(0.2, 2.0))
            case 2:
                fleet.freeze(rng.choice(numbers), duration_s)
            case 3:
                if len(chosen) < len(numbers):
                    fleet.cut(chosen, duration_s)
