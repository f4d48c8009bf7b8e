"""The fleet of the rig: nodes as processes, a store and engines in this one."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from springbridge_standins.free_addresses import free_ports, loopback_network
from springbridge_standins.gateway.duties import DutyStandIn
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.fleet import configuration, list_engine
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running
from springbridge_standins.http_wire import Connection, RawRequest, answer

NODES, ENGINES = 3, 4
# Time for a node to start and to find its peers at the least, in seconds.
NODE_START_S = 2.0
# Time that an engine works on a request, in seconds.
WORK_S = 0.02


@dataclass
class Rig:
    """What runs.

    Attributes:
      engines: All engines by id, those that joined later too.
      arrived_s: When the requests at each engine arrived, on the monotonic clock.
    """

    store: StoreStandIn
    stack: contextlib.AsyncExitStack
    nodes: list[NodeProcess] = field(default_factory=list)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    arrived_s: dict[str, list[float]] = field(default_factory=dict)

    async def add_engine(self, version: str = "v1") -> str:
        """Start an engine, list it and return its id."""
        name = f"i-desk-{len(self.engines) + 1}"
        arrived = self.arrived_s[name] = []

        async def work(request: RawRequest, connection: Connection) -> None:
            arrived.append(time.monotonic())
            await asyncio.sleep(WORK_S)
            await connection.send(answer(request.request_id, name.encode()))

        engine = self.engines[name] = EngineStandIn(name, work)
        await self.stack.enter_async_context(running(engine))
        await self.list_engine(name, "ready", version)
        return name

    async def list_engine(self, name: str, state: str, version: str = "v1") -> None:
        """Write the entry of an engine."""
        address = self.engines[name].address
        await list_engine(self.store, name, "desk", address, state, version=version)

    async def restart_nodes(self) -> None:
        """Kill all nodes at once and start them again."""
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(node.wait_exit() for node in self.nodes))
        await asyncio.gather(*(node.start() for node in self.nodes))


@contextlib.asynccontextmanager
async def running_rig(seed: int, folder: Path) -> AsyncIterator[Rig]:
    """Run a store, engines and nodes until the block ends; the nodes log into the folder."""
    async with contextlib.AsyncExitStack() as stack:
        store, duties = StoreStandIn(), DutyStandIn()
        await stack.enter_async_context(running(store))
        await stack.enter_async_context(running(duties))
        await store.put("op", "config", configuration(1))
        rig = Rig(store, stack)
        for _ in range(ENGINES):
            await rig.add_engine()
        network = stack.enter_context(loopback_network(seed))
        ips = [f"{network}.{number + 1}" for number in range(NODES)]
        ports = Ports(*free_ports(5))
        seeds = [f"{ip}:{ports.peers}" for ip in ips]
        for number, ip in enumerate(ips):
            node = NodeProcess(number, ip, ports, store.address, duties.address, folder, seeds)
            await node.start()
            stack.push_async_callback(node.end)
            rig.nodes.append(node)
        await asyncio.gather(*(node.wait_started(NODE_START_S) for node in rig.nodes))
        yield rig
