"""Measures the slopes that docs/CAPACITY.md is worked out from: ``make capacity``.

Each measurement varies one quantity over at least four sizes, repeats each size, fits a line by
least squares and prints slope, start and the largest deviation of a repeat from its size's median.
"""

import asyncio
import gc
import json
import random
import statistics
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from time import perf_counter, process_time

import typer
from springbridge.binding import Bindings
from springbridge.changes import Change, Edit, Snapshot, apply
from springbridge.decisions import Ask, Inventory, Outcome, Release, Sample
from springbridge.hashing import owner
from springbridge.invariants import Invariants
from springbridge.limits import LimitOwner, NodeLimit
from springbridge.membership import DIGEST_LIMIT, Member, Membership
from springbridge.records import Share, Tier
from springbridge.request_ids import parse, prefix
from springbridge.rows import build, updated
from springbridge.scheduler import EngineScheduler
from springbridge_node.messages import Digest
from springbridge_node.peer_codec import decode, encode

from springbridge_standins.caller import Call
from springbridge_standins.process_time import cpu_s, resident_mb
from springbridge_standins.world import World, running_world

RESULTS = Path(__file__).parents[3] / "bench" / "capacity.json"
REPEATS = 5
IDLE_S = 10.0
STREAM_TOKENS = 400
MICROSECOND = 1e-6


@dataclass(frozen=True)
class Slope:
    """A fitted line: value = start + slope * quantity.

    Attributes:
      spread: Largest deviation of a repeat from the median of its size, as a share of that median.
    """

    name: str
    quantity: str
    unit: str
    sizes: list[int]
    medians: list[float]
    start: float
    slope: float
    spread: float


def fit(name: str, quantity: str, unit: str, samples: dict[int, list[float]]) -> Slope:
    """Fit a line through the medians of repeated measurements."""
    sizes = list(samples)
    medians = [statistics.median(values) for values in samples.values()]
    line = statistics.linear_regression(sizes, medians)
    spread = max(
        abs(value - middle) / middle
        for values, middle in zip(samples.values(), medians, strict=True)
        for value in values
        if middle
    )
    return Slope(name, quantity, unit, sizes, medians, line.intercept, line.slope, spread)


def timed(step: Callable[[], object], count: int) -> float:
    """Return the processor time of one step in microseconds, over count steps."""
    start_s = process_time()
    for _ in range(count):
        step()
    return (process_time() - start_s) / count / MICROSECOND


def measure(
    name: str,
    quantity: str,
    sizes: list[int],
    prepare: Callable[[int], Callable[[], object]],
    count: int = 300,
) -> Slope:
    """Measure the processor time of a step over several sizes."""
    samples = {}
    for size in sizes:
        step = prepare(size)
        step()
        gc.collect()
        samples[size] = [timed(step, count) for _ in range(REPEATS)]
    return fit(name, quantity, "us", samples)


def memory(name: str, quantity: str, sizes: list[int], make: Callable[[int], object]) -> Slope:
    """Measure the memory that what is made keeps, in bytes."""
    samples = {}
    for size in sizes:
        samples[size] = [_kept_bytes(make, size) for _ in range(3)]
    return fit(name, quantity, "bytes", samples)


def _kept_bytes(make: Callable[[int], object], size: int) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make(size)
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(found)


def an_ask(name: str, tier: Tier = Tier.STANDARD) -> Ask:
    """Return an ask for measurements."""
    return Ask(
        name, "node-1-0a1b2c3d", "engine-1", "claims", f"customer-{hash(name) % 50}", tier, 1.0, 3,
        1e6, 1.0, 1.0, 0.065, 100, True, False,
    )  # fmt: skip


def a_scheduler(running: int, waiting: int) -> EngineScheduler:
    """Return a scheduler with slots in use and asks in its queue."""
    scheduler = EngineScheduler("me", "engine-1", 10**9, perf_counter, Invariants())
    for limit in scheduler.limits.tiers.values():
        limit.limit = float(running)
        limit.learnt_s = perf_counter() + 3600
    for number in range(running + waiting):
        scheduler.ask(an_ask(f"fill-{number}"))
    return scheduler


def _turnover(scheduler: EngineScheduler) -> Callable[[], object]:
    """Return a step in which one slot is released and one ask comes in."""
    numbers = iter(range(10**9))

    def step() -> None:
        ask_id = next(iter(scheduler.running))
        scheduler.release(Release(ask_id, Outcome.DONE, Sample(ask_id, 0.1, 0.02, 50)))
        scheduler.ask(an_ask(f"more-{next(numbers)}"))

    return step


def a_membership(size: int) -> Membership:
    """Return a view of a number of members, all alive."""
    me = a_member(0)
    view = Membership(me, lambda: 0.0, random.Random(1))
    view.merge(a_member(number) for number in range(1, size))
    return view


def a_member(number: int) -> Member:
    """Return a member."""
    name = f"node-{number:03d}"
    return Member(
        f"{name}-0a1b2c3d", name, f"10.0.{number // 250}.{number % 250}:8001",
        f"10.0.{number // 250}.{number % 250}:8000", f"place-{number % 4}", 1000,
        config_version=9999, confirmed_ago_s=0.5,
    )  # fmt: skip


def table_rows(shares: int) -> dict[str, dict[str, str]]:
    """Return rows of a table with a number of shares, eight to a customer."""
    cells = {
        "tier": "urgent", "target": "m", "first_token_ms": "1100", "between_tokens_ms": "65",
        "max_wait_ms": "10000", "places": "a b", "repeatable": "no",
    }  # fmt: skip
    rows: dict[str, dict[str, str]] = {f"class/c{number}": cells for number in range(8)}
    for number in range(shares // 8):
        rows[f"customer/x{number}"] = {"places": "a b", "key_hashes": f"{number:064x}"}
        for other in range(8):
            share = {"weight": "1", "rate_per_s": "10", "concurrency": "10"}
            rows[f"share/x{number}/c{other}"] = share
    return rows


def _change_step(shares: int) -> Callable[[], object]:
    """Return a step that applies one change to a table of a size."""
    rows = table_rows(shares)
    snapshot = Snapshot(1, rows)
    table, _ = build(1, rows)
    key = next(key for key in rows if key.startswith("share/"))
    edit = Edit(key, rows[key], {**rows[key], "weight": "2"})
    change = Change(2, "id", "who", "when", (edit,))

    def step() -> None:
        apply(snapshot, change)
        updated(table, 2, {key: edit.after})

    return step


def _codec_step(count: int) -> Callable[[], object]:
    messages = [an_ask(f"node-1-0a1b2c3d/{number}") for number in range(count)]
    return lambda: decode(encode(messages))


def _digest_step(size: int) -> Callable[[], object]:
    """Return a step in which one digest is made, sent, read and merged."""
    view = a_membership(size)
    return lambda: view.merge(decode(encode([Digest(tuple(view.digest()))]))[0].members)


def _many_bindings(count: int) -> Bindings:
    bindings = Bindings(lambda: 0.0, lambda: 0.0, Invariants())
    for number in range(count):
        bindings.admit(parse(prefix("node-1-0a1b2c3d", 0) + f"{number:012x}").unwrap(), "c/claims")
    return bindings


def _many_limits(count: int) -> LimitOwner:
    limits = LimitOwner(lambda: 0.0)
    for number in range(count):
        share = Share(f"customer-{number}", "claims", 1.0, 10.0, 10)
        limits.lease(NodeLimit(share).ask("node-1"), share, 380)
    return limits


def library_slopes() -> list[Slope]:
    """Measure what needs no processes."""
    members = [8, 24, 50, 100, 200, 380]
    names = {size: [a_member(number).incarnation for number in range(size)] for size in members}
    engines = [1, 4, 16, 64]
    shares = [800, 4000, 16000, 57600]
    return [
        measure("scheduler turnover", "asks waiting", [0, 10, 100, 1000, 4000],
                lambda size: _turnover(a_scheduler(16, size))),
        measure("scheduler turnover", "slots in use", [4, 16, 64, 128],
                lambda size: _turnover(a_scheduler(size, 10))),
        measure("encode and decode", "messages in an envelope", [1, 4, 16, 64], _codec_step),
        measure("digest made, sent, merged", "members", members, _digest_step, 100),
        measure("live members", "members", members, lambda size: a_membership(size).live, 100),
        measure("majority", "members", members, lambda size: a_membership(size).sees_majority, 100),
        measure("owner of a role", "members", members,
                lambda size: lambda: owner("engine/engine-1", names[size]), 100),
        measure("change applied", "shares", shares, _change_step, 20),
        measure("inventory at a scheduler", "slots in use", [4, 16, 64, 128],
                lambda size: _inventory_step(a_scheduler(size, 0))),
        measure("tick of schedulers", "engines", engines, _tick_step),
        memory("scheduler", "asks waiting", [100, 400, 1600, 6400], lambda n: a_scheduler(16, n)),
        memory("members", "members", members, a_membership),
        memory("bindings", "requests", [1000, 4000, 8000, 16000], _many_bindings),
        memory("owned limits", "limits", [100, 400, 1600, 6400], _many_limits),
        memory("table in force", "shares", shares,
               lambda size: (rows := table_rows(size), build(1, rows))),
    ]  # fmt: skip


def _inventory_step(scheduler: EngineScheduler) -> Callable[[], object]:
    inventory = Inventory("node-1-0a1b2c3d", tuple(scheduler.running))
    return lambda: scheduler.take_inventory(inventory)


def _tick_step(count: int) -> Callable[[], object]:
    schedulers = [a_scheduler(16, 0) for _ in range(count)]
    return lambda: [scheduler.tick() for scheduler in schedulers]


async def idle_slopes() -> list[Slope]:
    """Measure control of idle nodes over the number of nodes, as processes."""
    cpu: dict[int, list[float]] = {}
    sent: dict[int, list[float]] = {}
    reads: dict[int, list[float]] = {}
    resident: dict[int, list[float]] = {}
    for count in (2, 4, 8, 12):
        async with running_world("findwell.csv", count) as world:
            nodes = list(world.nodes.values())
            before = await _control(world)
            await asyncio.sleep(IDLE_S)
            after = await _control(world)
            cpu[count] = [
                100 * (last - first) / IDLE_S
                for first, last in zip(before["cpu"], after["cpu"], strict=True)
            ]
            sent[count] = [
                (last - first) / IDLE_S
                for first, last in zip(before["sent"], after["sent"], strict=True)
            ]
            reads[count] = [(after["reads"][0] - before["reads"][0]) / IDLE_S / count]
            resident[count] = [resident_mb(node.process.pid) for node in nodes]
    return [
        fit("idle processor time of a node", "nodes", "% of a core", cpu),
        fit("bytes a node sends to peers", "nodes", "B/s", sent),
        fit("table reads of a node", "nodes", "reads/s", reads),
        fit("resident memory of a node", "nodes", "MB", resident),
    ]


async def _control(world: World) -> dict[str, list[float]]:
    nodes = list(world.nodes.values())
    states = [await world.status(node) for node in nodes]
    return {
        "cpu": [cpu_s(node.process.pid) for node in nodes],
        "sent": [state["sent_bytes"] for state in states],
        "reads": [(await world.counters(world.platform))["reads"]],
    }


async def relay_slopes() -> list[Slope]:
    """Measure processor time per relayed event and per request, over streams at a time."""
    per_event: dict[int, list[float]] = {}
    async with running_world("findwell.csv", 2) as world:
        node = world.nodes["node-1"]
        for count in (8, 16, 32, 64):
            per_event[count] = []
            for repeat in range(3):
                before_s = cpu_s(node.process.pid)
                calls = [
                    Call(
                        "key-perth-airport", "case-matching", f"{count} {repeat} {n}", STREAM_TOKENS
                    )
                    for n in range(count)
                ]
                replies = await asyncio.gather(
                    *(world.caller.send(node.caller_address, call) for call in calls)
                )
                events = sum(reply.received for reply in replies) / 4
                spent_s = cpu_s(node.process.pid) - before_s
                per_event[count].append(spent_s / max(1.0, events) / MICROSECOND)
    return [fit("processor time of a relayed event", "streams at a time", "us", per_event)]


async def request_slopes() -> list[Slope]:
    """Measure processor time of a whole short request, over requests at a time."""
    spent: dict[int, list[float]] = {}
    async with running_world("findwell.csv", 3) as world:
        nodes = list(world.nodes.values())
        for count in (5, 10, 20, 40):
            spent[count] = []
            for repeat in range(3):
                before_s = sum(cpu_s(node.process.pid) for node in nodes)
                calls = [
                    Call("key-perth-airport", "item-descriptions", f"{count} {repeat} {n}", 4)
                    for n in range(count)
                ]
                await asyncio.gather(
                    *(
                        world.caller.send(nodes[n % 3].caller_address, call)
                        for n, call in enumerate(calls)
                    )
                )
                used_s = sum(cpu_s(node.process.pid) for node in nodes) - before_s
                spent[count].append(used_s / count / MICROSECOND)
    return [fit("processor time of a request of one event, all nodes", "at a time", "us", spent)]


def show(slope: Slope) -> None:
    """Print one slope."""
    medians = ", ".join(
        f"{size}: {median:.4g}" for size, median in zip(slope.sizes, slope.medians, strict=True)
    )
    print(
        f"{slope.name} by {slope.quantity} [{slope.unit}]: start {slope.start:.4g}, "
        f"slope {slope.slope:.4g}, spread {slope.spread:.0%} ({medians})"
    )


def main() -> None:
    """Measure all slopes, print them and write bench/capacity.json."""
    slopes = library_slopes()
    for part in (idle_slopes, relay_slopes, request_slopes):
        slopes += asyncio.run(part())
    for slope in slopes:
        show(slope)
    print(f"a digest holds at most {DIGEST_LIMIT} members")
    RESULTS.write_text(json.dumps([asdict(slope) for slope in slopes], indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
