"""Nodes are stopped and started in turn while engines fail part of their requests."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    Engine,
    Node,
    Record,
    Request,
    World,
    ask,
    configuration,
    request_headers,
    route,
    run_case,
)

NODES, ENGINES = 3, 5
SETTLE_S = 5.0
REQUESTS_PER_S = 50.0
# Seconds of traffic before the engines begin to fail, and of failing, three times 4 s.
BEFORE_S, FAILING_S = 2.0, 12.0
# Share of the requests that each engine fails, and seconds for which it works.
FAILED_SHARE, WORK_S = 0.45, 0.045
# Seconds after the begin of the failures at which the first node is stopped.
FIRST_STOP_S = 0.5
# Seconds after which the platform starts a process again that has ended.
RESTART_AFTER_S = 0.1
# Seconds from the time when a node is ready again to the stop of the next one.
GAP_S = 1.0
POLL_S = 0.05
# Seconds after which a client that reaches no node tries again.
CONNECT_AGAIN_S = 0.05
WINDOW_S = BOUNDS["retryWindowS"]


@dataclass
class Clients:
    """Clients, each of which sends one request, to a node that accepts its connection."""

    nodes: list[Node]
    record: Record
    sent_s: list[float] = field(default_factory=list)
    got: Counter[str] = field(default_factory=Counter)
    chance: random.Random = field(default_factory=lambda: random.Random(1))

    async def run(self, seconds: float) -> None:
        """Send requests for some time, and wait for their answers."""
        tasks, begin_s = [], time.monotonic()
        while time.monotonic() < begin_s + seconds:
            tasks.append(asyncio.ensure_future(self._send(f"r{len(tasks)}")))
            await asyncio.sleep(max(0, begin_s + len(tasks) / REQUESTS_PER_S - time.monotonic()))
        await asyncio.gather(*tasks)

    async def _send(self, request_id: str) -> None:
        """Send one request."""
        node = await self._connectable()
        self.sent_s.append(time.monotonic())
        self.record.write(f"client sends {request_id} to {node.name}")
        try:
            headers = request_headers(request_id, 1000)
            answer = await ask(node.front, "GET", "/book/x", headers, timeout_s=2.0)
            result = str(answer.status) if answer.is_whole else "cut"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            result = type(exc).__name__
        self.got[result] += 1
        self.record.write(f"client got {result} for {request_id}")

    async def _connectable(self) -> Node:
        """Return a node, chosen by chance, that accepts connections."""
        while True:
            for node in self.chance.sample(self.nodes, len(self.nodes)):
                host, _, port = node.front.rpartition(":")
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    continue
                writer.close()
                return node
            await asyncio.sleep(CONNECT_AGAIN_S)


class Failures:
    """Lets engines fail a share of their requests, while their health checks are good."""

    def __init__(self, engines: list[Engine]) -> None:
        """Start without failures."""
        self.is_on = False
        self._random = random.Random(2)
        for engine in engines:
            engine.work_s = WORK_S
            engine.answer = self._answers(engine)

    def _answers(self, engine: Engine):
        """Return what answers the requests of an engine."""

        async def answer(request: Request, writer: asyncio.StreamWriter) -> None:
            is_failed = self.is_on and self._random.random() < FAILED_SHARE
            await (engine.fail if is_failed else engine.plain)(request, writer)

        return answer


async def case(world: World, record: Record, has_trouble: bool) -> bool:
    """Return whether a service got more repeats in a window than the budget allows."""
    await world.add_engines("desk", ENGINES)
    failures = Failures(world.engines)
    book = route("book", "safe", "desk", timeoutMs=1000, targetLatencyMs=200)
    await world.store.put("op", "config", configuration(3, [book], ["desk"]))
    await world.start_nodes(NODES)
    await asyncio.sleep(SETTLE_S)
    clients = Clients(world.nodes, record)
    traffic = asyncio.ensure_future(clients.run(BEFORE_S + FAILING_S))
    await asyncio.sleep(BEFORE_S)
    failures.is_on = True
    record.write("engines begin to fail requests")
    turns = asyncio.ensure_future(stop_in_turn(world.nodes, record)) if has_trouble else None
    await traffic
    if turns is not None:
        turns.cancel()
        await asyncio.gather(turns, return_exceptions=True)
    return is_exceeded(world, clients, record)


async def stop_in_turn(nodes: list[Node], record: Record) -> None:
    """Stop one node after the other with SIGTERM, and start each again as the platform does."""
    await asyncio.sleep(FIRST_STOP_S)
    for node in nodes:
        node.signal(signal.SIGTERM)
        record.write(f"{node.name} gets SIGTERM")
        await node.wait_ended()
        record.write(f"{node.name} has ended")
        await asyncio.sleep(RESTART_AFTER_S)
        node.start()
        while not await node.is_ready():
            await asyncio.sleep(POLL_S)
        record.write(f"{node.name} is ready again")
        await asyncio.sleep(GAP_S)


def is_exceeded(world: World, clients: Clients, record: Record) -> bool:
    """Return whether the repeats of some window exceed the budget, as the rule counts them."""
    seen: set[str] = set()
    repeats_s = []
    for arrival in world.arrivals:
        what = "again" if arrival.request_id in seen else "first"
        record.write(f"{arrival.request_id} arrives at {arrival.engine}, {what}", arrival.at_s)
        if arrival.request_id in seen:
            repeats_s.append(arrival.at_s)
        seen.add(arrival.request_id)
    worst = max(
        (_window(begin_s, repeats_s, clients.sent_s) for begin_s in repeats_s), default=None
    )
    if worst is None:
        return False
    excess, repeats, allowed, requests = worst
    record.write(f"worst window: {repeats} repeats, {allowed:.1f} allowed for {requests} requests")
    record.write(f"clients got {dict(clients.got)}")
    return excess > 0


def _window(
    begin_s: float, repeats_s: list[float], sent_s: list[float]
) -> tuple[float, int, float, int]:
    """Return by how much the repeats of a window exceed the budget, both, and its requests."""
    repeats = _count(repeats_s, begin_s)
    windows_s = (begin_s, begin_s - WINDOW_S / 2, begin_s - WINDOW_S)
    requests = max(_count(sent_s, each) for each in windows_s)
    allowed = BOUNDS["retryBudgetRatio"] * requests + BOUNDS["retrySlack"]
    return repeats - allowed, repeats, allowed, requests


def _count(moments_s: list[float], begin_s: float) -> int:
    """Return how many moments lie in a window."""
    return sum(begin_s <= each < begin_s + WINDOW_S for each in moments_s)


if __name__ == "__main__":
    run_case(case, has_trouble=sys.argv[1] != "0", record_file=Path(sys.argv[2]))
