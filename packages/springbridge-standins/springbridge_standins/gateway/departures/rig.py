"""The fleet of the rig: nodes and engines as processes, and a store in this one."""

import asyncio
import contextlib
import itertools
import random
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from springbridge_standins.free_addresses import free_address, free_ports, loopback_network
from springbridge_standins.gateway.departures.engine import UNFRAMED
from springbridge_standins.gateway.duties import DutyStandIn
from springbridge_standins.gateway.fleet import configuration, list_engine, route
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running

NODES, ENGINES = 3, 5
# Time between two events of a stream, in seconds.
PACE_S = 0.04
# Time limit of the streams' route, in milliseconds, and engines that a stream may go to.
TIMEOUT_MS, MAX_ATTEMPTS = 12_000, 2
# Longest time for a process of an engine to accept connections, in seconds.
MAX_START_S = 30.0
# Time for a node to start and to find its peers at the least, in seconds.
NODE_START_S = 2.0
# Requests that an engine works on at a time.
SLOTS = 64


@dataclass(eq=False)
class EngineProcess:
    """A run of an engine."""

    name: str
    address: str
    process: asyncio.subprocess.Process

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """End the process with a signal, and wait until it has ended."""
        self.send_signal(number)
        await self.process.wait()


@dataclass
class Rig:
    """What runs.

    Attributes:
      engines: The listed engines that no harm affects.
    """

    store: StoreStandIn
    rng: random.Random
    framing: str = UNFRAMED
    nodes: list[NodeProcess] = field(default_factory=list)
    engines: list[EngineProcess] = field(default_factory=list)
    _started: list[EngineProcess] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def start_engine(self, address: str = "") -> EngineProcess:
        """Start a run of an engine under a new id, and wait until it accepts connections."""
        name = f"i-model-{next(self._numbers)}"
        address = address or free_address()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "springbridge_standins.gateway.departures.engine",
            address,
            name,
            self.framing,
            str(PACE_S),
        )
        engine = EngineProcess(name, address, process)
        self._started.append(engine)
        await _accepting(address)
        return engine

    async def add_engine(self, address: str = "") -> EngineProcess:
        """Start an engine and list it."""
        engine = await self.start_engine(address)
        await self.list_engine(engine, "ready")
        self.engines.append(engine)
        return engine

    async def list_engine(self, engine: EngineProcess, state: str) -> None:
        """Write the entry of an engine."""
        await list_engine(self.store, engine.name, "model", engine.address, state, slots=SLOTS)

    async def unlist(self, engine: EngineProcess) -> None:
        """Remove the entry of an engine."""
        await self.store.remove("servers", engine.name)

    def take_engine(self) -> EngineProcess:
        """Return a listed engine, which no other harm affects from now on."""
        return self.engines.pop(self.rng.randrange(len(self.engines)))

    async def end(self) -> None:
        """End all engines."""
        for engine in self._started:
            await engine.end(signal.SIGKILL)


async def _accepting(address: str) -> None:
    """Wait until a process listens at an address.

    Raises:
      TimeoutError: None does within MAX_START_S.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(MAX_START_S):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            await asyncio.sleep(0.02)


def rig_configuration() -> dict:
    """Return a configuration with one route, whose streams may be resumed."""
    more = {"resumable": True, "maxAttempts": MAX_ATTEMPTS, "timeoutMs": TIMEOUT_MS}
    return configuration(1, routes=[route("stream", "streaming", "model", **more)])


@contextlib.asynccontextmanager
async def running_rig(seed: int, framing: str, folder: Path) -> AsyncIterator[Rig]:
    """Run a store, engines and nodes until the block ends; the nodes log into the folder."""
    async with contextlib.AsyncExitStack() as stack:
        store, duties = StoreStandIn(), DutyStandIn()
        await stack.enter_async_context(running(store))
        await stack.enter_async_context(running(duties))
        await store.put("op", "config", rig_configuration())
        rig = Rig(store, random.Random(seed), framing)
        stack.push_async_callback(rig.end)
        await asyncio.gather(*(rig.add_engine() for _ in range(ENGINES)))
        network = stack.enter_context(loopback_network(seed))
        ips = [f"{network}.{number + 1}" for number in range(NODES)]
        ports = Ports(*free_ports(5))
        seeds = [f"{ip}:{ports.peers}" for ip in ips]
        for number, ip in enumerate(ips):
            addresses = (store.address, duties.address)
            node = NodeProcess(number, ip, ports, *addresses, folder, seeds, first_start=True)
            await node.start()
            stack.push_async_callback(node.end)
            rig.nodes.append(node)
        await asyncio.gather(*(node.wait_started(NODE_START_S) for node in rig.nodes))
        for node in rig.nodes:
            node.end_first_start()
        yield rig
