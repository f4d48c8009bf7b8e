"""Compares SPOCA and weighted rendezvous hashing, and measures what prefix affinity brings.

Run with ``python bench/affinity.py``. It has not been run yet, so no page gives figures of it.
"""

import asyncio
import random
import statistics
from collections import Counter
from time import perf_counter

import xxhash
from springbridge.hashing import ranking
from springbridge_standins.caller import Call
from springbridge_standins.world import running_world

KEYS = 20_000
PREFIXES = 40
ROUNDS = 5
PROMPT_WORDS = 1600
TARGET_FILL = 2


class Spoca:
    """Addressing of the lecture: engines own ranges of a space twice the sum of capacities."""

    def __init__(self, capacities: dict[str, int]):
        self._space = TARGET_FILL * sum(capacities.values())
        self._owner: list[str | None] = [None] * self._space
        for name, capacity in capacities.items():
            self._place(name, capacity)

    def _place(self, name: str, capacity: int) -> None:
        start = _hash(name)
        while True:
            cells = [(start + step) % self._space for step in range(capacity)]
            if all(self._owner[cell] is None for cell in cells):
                break
            start = _hash(str(start))
        for cell in cells:
            self._owner[cell] = name

    def remove(self, name: str) -> None:
        """Free the range of an engine."""
        self._owner = [None if owner == name else owner for owner in self._owner]

    def find(self, key: str) -> str:
        """Return the engine of a key."""
        place = _hash(key)
        while self._owner[place % self._space] is None:
            place = _hash(str(place))
        return self._owner[place % self._space]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def compare(engines: int) -> None:
    """Print balance, keys moved by a removal, and time of a look-up, for both ways."""
    rng = random.Random(1)
    weights = {f"engine-{number}": float(rng.choice([1, 2, 4])) for number in range(engines)}
    capacities = {name: int(weight * 8) for name, weight in weights.items()}
    spoca = Spoca(capacities)
    finders = {
        "spoca": spoca.find,
        "rendezvous": lambda key: ranking(key, weights)[0],
    }
    gone = "engine-0"
    for name, find in finders.items():
        keys = [f"prefix-{number}" for number in range(KEYS // max(1, engines // 10))]
        start_s = perf_counter()
        before = [find(key) for key in keys]
        spent_us = (perf_counter() - start_s) / len(keys) * 1e6
        load = Counter(before)
        total = sum(weights.values())
        worst = max(load[one] / (len(keys) * weights[one] / total) for one in weights)
        if name == "spoca":
            spoca.remove(gone)
            after = [find(key) for key in keys]
        else:
            rest = {one: weight for one, weight in weights.items() if one != gone}
            after = [ranking(key, rest)[0] for key in keys]
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        needed = load[gone]
        print(
            f"{engines:4} engines {name:11} {spent_us:7.1f} us a look-up, "
            f"most loaded {worst:.2f} of its share, moved {moved} where {needed} had to"
        )


async def first_token(affinity: bool) -> tuple[float, float]:
    """Return median and 95th percentile of the time to a first token, in milliseconds."""
    rng = random.Random(2)
    found = []
    async with running_world("findwell.csv", 3) as world:
        nodes = list(world.nodes.values())
        for round_number in range(ROUNDS):
            for prefix in rng.sample(range(PREFIXES), PREFIXES):
                prompt = f"{prefix:04d} " * PROMPT_WORDS + str(round_number)
                call = Call(
                    "key-perth-airport",
                    "item-descriptions",
                    prompt,
                    4,
                    affinity=f"prefix-{prefix}" if affinity else "",
                )
                reply = await world.caller.send(rng.choice(nodes).caller_address, call)
                if round_number:
                    found.append(1000 * reply.first_s)
    cuts = statistics.quantiles(found, n=20)
    return statistics.median(found), cuts[-1]


if __name__ == "__main__":
    for count in (5, 30, 720):
        compare(count)
    for wanted in (False, True):
        median_ms, high_ms = asyncio.run(first_token(wanted))
        print(f"affinity {wanted}: first token median {median_ms:.0f} ms, p95 {high_ms:.0f} ms")
