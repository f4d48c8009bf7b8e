"""Measures the slopes that docs/CAPACITY.md is worked out from: ``make capacity``.

Each measurement varies one quantity over at least four sizes, repeats each size, fits a line by
least squares and prints slope, start and the largest deviation of a repeat from its size's median.
"""

import asyncio
import json
from dataclasses import asdict
from pathlib import Path

from springbridge.membership import DIGEST_LIMIT

from springbridge_standins.capacity.fit import MICROSECOND, Slope, fit
from springbridge_standins.capacity.library import library_slopes
from springbridge_standins.capacity.process_time import cpu_s, resident_mb
from springbridge_standins.class_router.caller import Call
from springbridge_standins.class_router.world import World, running_world

RESULTS = Path(__file__).parents[4] / "bench" / "capacity.json"
IDLE_S = 10.0
STREAM_TOKENS = 400


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
