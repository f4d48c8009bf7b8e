"""Engines are taken away while the two nodes that read the list of engines are killed."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    Node,
    Record,
    Request,
    World,
    ask,
    configuration,
    node_of_connection,
    request_headers,
    route,
    run_case,
)

NODES, ENGINES, TAKEN_AWAY = 5, 3, 2
SETTLE_S = 5.0
REQUESTS_PER_S = 40.0
# Seconds for which traffic runs before the engines leave, and after.
BEFORE_S, AFTER_S = 2.0, 5.0
# Seconds after which the platform starts a killed process again.
RESTART_AFTER_S = 0.5
# Seconds for which an engine serves on after its entry has gone, and for which it works.
SERVES_ON_S, WORK_S = 2.5, 0.045
DRAIN_S = BOUNDS["drainMs"] / 1000


class Readers:
    """Finds out which nodes read the list of engines, from the connections of their calls."""

    def __init__(self, world: World) -> None:
        """Look at each call of the store."""
        self._world = world
        self._ports: dict[int, float] = {}
        self.read_s = 0.0
        world.store.intercept = self._note

    async def _note(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Note a read of the list; the store deals with all calls as usual."""
        if request.path == "/v1/rows-get" and request.query["table"] == "servers":
            self.read_s = time.monotonic()
            self._ports[writer.get_extra_info("peername")[1]] = self.read_s
        return False

    def nodes(self) -> list[Node]:
        """Return the nodes that have read the list within the last two seconds."""
        since_s = time.monotonic() - 2.0
        ports = [port for port, at_s in self._ports.items() if at_s > since_s]
        found = {node_of_connection(self._world.nodes, port) for port in ports}
        return sorted(found - {None}, key=lambda node: node.name)

    async def wait_read(self) -> None:
        """Wait until the list has been read once more."""
        before_s = self.read_s
        while self.read_s == before_s:
            await asyncio.sleep(0.001)


class Clients:
    """Clients, each of which sends one request to a node that runs."""

    def __init__(self, world: World, record: Record) -> None:
        """Start with all nodes."""
        self.nodes = list(world.nodes)
        self.sent_to: dict[str, str] = {}
        self.got: Counter[str] = Counter()
        self._record = record
        self._random = random.Random(1)

    async def run(self, seconds: float) -> None:
        """Send requests for some time, and wait for their answers."""
        tasks, end_s = [], time.monotonic() + seconds
        while time.monotonic() < end_s:
            tasks.append(asyncio.ensure_future(self._send(f"r{len(self.sent_to)}")))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self, request_id: str) -> None:
        """Send one request."""
        node = self._random.choice(self.nodes)
        self.sent_to[request_id] = node.name
        try:
            headers = request_headers(request_id, 1000)
            answer = await ask(node.front, "POST", "/look/x", headers, b"claim", timeout_s=2.0)
            result = str(answer.status) if answer.is_whole else "cut"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            result = type(exc).__name__
        self.got[result] += 1
        self._record.write(f"client got {result} for {request_id} from {node.name}")


async def case(world: World, record: Record, has_trouble: bool) -> bool:
    """Return whether a request reached an engine later than drainMs after its entry had gone."""
    await world.add_engines("desk", ENGINES)
    for engine in world.engines:
        engine.work_s = WORK_S
    look = route("look", "unsafe", "desk", maxAttempts=1, timeoutMs=1000, targetLatencyMs=200)
    await world.store.put("op", "config", configuration(3, [look], ["desk"]))
    readers = Readers(world)
    await world.start_nodes(NODES)
    await asyncio.sleep(SETTLE_S)
    clients = Clients(world, record)
    struck = readers.nodes() if has_trouble else []
    if has_trouble and len(struck) != 2:
        raise RuntimeError(f"{len(struck)} nodes read the list")
    clients.nodes = [node for node in world.nodes if node not in struck]
    traffic = asyncio.ensure_future(clients.run(BEFORE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    await readers.wait_read()
    restarts = [asyncio.ensure_future(kill_and_restart(node, record)) for node in struck]
    await asyncio.sleep(0)
    gone_s: dict[str, float] = {}
    leaving = world.engines[:TAKEN_AWAY]
    for engine in leaving:
        await world.store.remove("servers", engine.name)
        gone_s[engine.name] = time.monotonic()
        record.write(f"the store has taken that {engine.name} has gone")
    await asyncio.sleep(SERVES_ON_S)
    for engine in leaving:
        await engine.stop()
        record.write(f"{engine.name} ends")
    await asyncio.gather(traffic, *restarts)
    late = []
    for arrival in world.arrivals:
        after_s = arrival.at_s - gone_s.get(arrival.engine, float("inf"))
        sender = clients.sent_to.get(arrival.request_id, "")
        text = f"{arrival.request_id} from {sender} reaches {arrival.engine}"
        if after_s > DRAIN_S:
            late.append(arrival)
            text += f", {after_s:.3f} s after its entry had gone: later than drainMs"
        record.write(text, arrival.at_s)
    record.write(f"{len(late)} late arrivals; clients got {dict(clients.got)}")
    return bool(late)


async def kill_and_restart(node: Node, record: Record) -> None:
    """Kill a node, and start it again as the platform does."""
    node.signal(signal.SIGKILL)
    record.write(f"{node.name} is killed")
    await node.wait_ended()
    await asyncio.sleep(RESTART_AFTER_S)
    node.start()
    record.write(f"{node.name} is started again")


if __name__ == "__main__":
    run_case(case, has_trouble=sys.argv[1] != "0", record_file=Path(sys.argv[2]))
