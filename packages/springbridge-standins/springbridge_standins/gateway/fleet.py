"""A small fleet in one process: a store, engines and nodes, each node on its own loopback IP."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from springbridge.routing.shared_retry_budget import BudgetTerms
from springbridge_node.gateway.gateway import Gateway, Outside
from springbridge_node.gateway.gateway_settings import Addresses, GatewaySettings

from springbridge_standins.gateway.engine import EngineStandIn, Script, running_engine
from springbridge_standins.gateway.store import StoreStandIn, running_store

BUDGET = BudgetTerms(ratio=0.2, slack=20, window_s=10.0)
PORTS = 6
MakeOutside = Callable[[str], Outside]


@dataclass
class Fleet:
    """The parts of a running fleet."""

    store: StoreStandIn
    engines: dict[str, EngineStandIn]
    nodes: list[Gateway] = field(default_factory=list)

    def caller_address(self, number: int = 0) -> str:
        """Return the address of a node for callers."""
        return self.nodes[number].settings.addresses.callers

    def arrivals(self) -> int:
        """Return how many requests have arrived at engines."""
        return sum(len(engine.arrived) for engine in self.engines.values())

    async def kill_engines(self, service: str) -> None:
        """Kill all engines of a service; the platform's list does not know yet."""
        for name, engine in self.engines.items():
            if service in name:
                engine.stop()

    async def revive_engines(self, service: str) -> None:
        """Start them again as they were."""
        for name, engine in self.engines.items():
            if service in name:
                await engine.start("127.0.0.1")

    async def list_engine(self, name: str, service: str, state: str = "ready") -> None:
        """Write an engine's entry into the platform's list."""
        await self.store.put(
            "servers",
            name,
            {
                "service": service,
                "address": self.engines[name].address,
                "zone": "perth-a",
                "slots": 4,
                "state": state,
                "sequence": 1,
            },
        )


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the operators' document under /NAME/."""
    plain = {
        "name": name,
        "host": "desk.example",
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 2,
        "maxAttempts": 2,
        "public": False,
    }
    return plain | fields


def configuration(version: int, **changes: object) -> dict:
    """Return an operators' document with a route of each kind."""
    plain = {
        "version": version,
        "routes": [
            route("safe", "safe", "desk"),
            route("once", "unsafe", "desk", maxAttempts=1),
            route("once-of-two", "unsafe", "desk", maxAttempts=2),
            route("stream", "streaming", "model", resumable=True),
            route("single", "streaming", "model", resumable=False, maxAttempts=1),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 100},
            {"name": "model", "healthPath": "/healthz", "maxConnections": 100},
        ],
        "tenants": [{"name": "councils", "apiKeys": ["key-1"], "priority": 1}],
    }
    return plain | changes


@contextlib.asynccontextmanager
async def running_fleet(
    make_outside: MakeOutside, scripts: dict[str, tuple[str, Script]], nodes: int = 1
) -> AsyncIterator[Fleet]:
    """Run a store, engines and nodes until the block ends.

    Args:
      scripts: For each engine its service and how it answers.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = StoreStandIn()
        await stack.enter_async_context(running_store(store))
        engines = {name: EngineStandIn(name, script) for name, (_, script) in scripts.items()}
        fleet = Fleet(store, engines)
        for name, engine in engines.items():
            await stack.enter_async_context(running_engine(engine))
            await fleet.list_engine(name, scripts[name][0])
        await store.put("op", "config", configuration(1))
        settings = _settings(nodes)
        for one in settings:
            gateway = Gateway(one, make_outside(store.address))
            fleet.nodes.append(gateway)
            await gateway.start()
            stack.push_async_callback(_stop, gateway)
        await until(lambda: all(node.is_ready() for node in fleet.nodes))
        await until(lambda: all(len(node.membership.live()) == nodes for node in fleet.nodes))
        await until(
            lambda: all(len(node.registry.entries()) == len(engines) for node in fleet.nodes)
        )
        yield fleet


async def _stop(gateway: Gateway) -> None:
    """Stop a node."""
    gateway.refuse_new()
    await gateway.end()


def _settings(nodes: int) -> list[GatewaySettings]:
    """Return settings of nodes that know each other as seeds."""
    ips = [f"127.0.0.{number + 2}" for number in range(nodes)]
    ports = free_ports(PORTS)
    seeds = tuple(f"{ip}:{ports[3]}" for ip in ips)
    return [
        GatewaySettings(
            name=f"node-{number}",
            ip=ip,
            failure_domain="perth-a",
            addresses=Addresses(*(f"{ip}:{port}" for port in ports[:5])),
            gossip_port=ports[5],
            seeds=tuple(seed for seed in seeds if not seed.startswith(f"{ip}:")),
            budget=BUDGET,
            grace_s=4.0,
            longest_ttl_s=5.0,
            drain_s=0.4,
        )
        for number, ip in enumerate(ips)
    ]


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback IPs, for connections and for datagrams."""
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            sock.bind(("0.0.0.0", 0))
            port = sock.getsockname()[1]
            datagrams = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            with contextlib.suppress(OSError):
                datagrams.bind(("0.0.0.0", port))
                found.append(port)
    return found


async def until(holds: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until something holds.

    Raises:
      TimeoutError: It did not within the time.
    """
    end_s = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end_s:
            raise TimeoutError
        await asyncio.sleep(0.01)
