"""Draws histories, plays them, and checks what the endpoints got.

A history has instances, endpoints of which some name rates that come, change and go, callers at all
instances or at a few, and harms that overlap: restarts, freezes, cuts and lost datagrams.
"""

import asyncio
import random
from dataclasses import dataclass, field
from unittest import mock

from springbridge_node import logs

from springbridge_standins.rates.endpoints import DrawnEndpoint
from springbridge_standins.rates.fleet import DrawnFleet
from springbridge_standins.virtual_loop import run_virtual

# Seconds of one history.
HISTORY_S = 24.0
# Longest and shortest time between two harms, and for which one lasts.
HARM_S, HARM_LASTS_S = (0.3, 4.0), (0.2, 8.0)
# Lowest and highest rate that is drawn, in requests a second.
RATES_PER_S = (0.5, 200.0)
# Most requests of all callers together, in requests a second, and in multiples of the rates.
MOST_ASKED_PER_S, MOST_ASKED = 500.0, 6.0
# Fewest instances in drawn histories, and the most.
SIZES = (2, 40)


@dataclass
class History:
    """One drawn history, and what was over in it.

    Attributes:
      over: Requests over what is allowed in the worst span of each endpoint that is over.
      longest_refusal_s: Longest time that a refused caller waited, at instances without harm.
      bytes_per_s: Bytes a second that the instance which sent the most sent.
    """

    seed: int
    size: int = 0
    over: list[float] = field(default_factory=list)
    longest_refusal_s: float = 0.0
    bytes_per_s: float = 0.0


def play_history(seed: int, size: int = 0, seconds: float = HISTORY_S) -> History:
    """Play the history of a seed to its end.

    Args:
      size: Number of instances, drawn if left out.
    """
    history = History(seed, size)
    with mock.patch.object(logs, "event", lambda *args, **fields: None):
        run_virtual(_play(history, random.Random(seed), seconds))
    return history


async def _play(history: History, rng: random.Random, seconds: float) -> None:
    history.size = history.size or rng.randint(*SIZES)
    fleet = DrawnFleet(rng, history.size, rng.randint(1, 5))
    fleet.network.loss = rng.choice([0.0, 0.0, 0.03, 0.1])
    # Instances have run for a while, and grant.
    await asyncio.sleep(2.5)
    limited = rng.sample(fleet.endpoints, rng.randint(1, len(fleet.endpoints)))
    base_per_s = RATES_PER_S[0] * (RATES_PER_S[1] / RATES_PER_S[0]) ** rng.random()
    tasks = [asyncio.ensure_future(name(rng, each, base_per_s)) for each in limited]
    tasks.append(asyncio.ensure_future(call(rng, fleet, base_per_s * len(fleet.endpoints))))
    tasks.append(asyncio.ensure_future(harm(rng, fleet)))
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    for instance in fleet.instances:
        instance.kill()
    history.over = [over for each in limited if (over := each.record.most_over()) > 0]
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


async def name(rng: random.Random, endpoint: DrawnEndpoint, per_s: float) -> None:
    """Let an endpoint name a rate, another one now and then, and none at times."""
    while True:
        await asyncio.sleep(rng.random() * 4.0)
        endpoint.name(per_s * rng.choice([1.0, 1.0, 0.5, 2.0]))
        await asyncio.sleep(4.0 + rng.random() * 14.0)
        if rng.random() < 0.5:
            endpoint.name(None)


async def call(rng: random.Random, fleet: DrawnFleet, rates_per_s: float) -> None:
    """Let callers ask, at all instances or at a few."""
    asked_per_s = min(MOST_ASKED_PER_S, rates_per_s * rng.uniform(0.3, MOST_ASKED))
    few = rng.random() < 0.4
    numbers = range(len(fleet.instances))
    asked = rng.sample(numbers, min(3, len(numbers))) if few else list(numbers)
    while True:
        await asyncio.sleep(rng.expovariate(asked_per_s))
        fleet.instances[rng.choice(asked)].serve(rng.randrange(3))


async def harm(rng: random.Random, fleet: DrawnFleet) -> None:
    """Harm instances, again and again."""
    numbers = range(len(fleet.instances))
    while True:
        await asyncio.sleep(rng.uniform(*HARM_S))
        lasts_s = rng.uniform(*HARM_LASTS_S)
        some = set(rng.sample(numbers, rng.randint(1, max(1, len(numbers) // 2))))
        match rng.randrange(4):
            case 0:
                for number in some:
                    fleet.restart(number, rng.uniform(0.2, 2.0))
            case 1:
                fleet.restart(rng.choice(numbers), rng.uniform(0.2, 2.0))
            case 2:
                fleet.freeze(rng.choice(numbers), lasts_s)
            case 3:
                if len(some) < len(numbers):
                    fleet.cut(some, lasts_s)
