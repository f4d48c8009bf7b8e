"""A small fleet in one process: a store, engines and nodes, each node on its own loopback IP."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import astuple, dataclass, field, replace
from types import MappingProxyType

from springbridge.routing.shared_retry_budget import RetryBudgetLimits
from springbridge_node.gateway.gateway import Gateway
from springbridge_node.gateway.gateway_settings import Addresses, DutySettings, GatewaySettings
from springbridge_node.gateway.outside import PlatformPorts

from springbridge_standins.free_addresses import free_ports
from springbridge_standins.gateway.cuts import running_as
from springbridge_standins.gateway.engine import EngineStandIn, Script
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running

# Retry budget of the nodes in tests, a third of the soak's.
RETRY_BUDGET = RetryBudgetLimits(ratio=0.2, slack=20, window_s=10.0)
# Ports that each node listens on.
PORTS_PER_NODE = 6
MakeOutside = Callable[[str], PlatformPorts]


@dataclass
class Fleet:
    """A running fleet: its store, its engines by name and its nodes."""

    store: StoreStandIn
    engines: dict[str, EngineStandIn]
    nodes: list[Gateway] = field(default_factory=list)

    def caller_address(self, number: int = 0) -> str:
        """Return the address at which a node accepts callers."""
        return self.nodes[number].settings.addresses.callers

    def arrivals(self) -> int:
        """Return the number of requests received by all engines."""
        return sum(len(engine.arrived) for engine in self.engines.values())

    async def kill_engines(self, service: str) -> None:
        """Stop all engines of a service; their entries stay in the platform's list."""
        for name, engine in self.engines.items():
            if service in name:
                engine.stop()

    async def revive_engines(self, service: str) -> None:
        """Start the engines of a service again at their addresses."""
        for name, engine in self.engines.items():
            if service in name:
                await engine.start("127.0.0.1")

    async def list_engine(
        self, name: str, service: str, state: str = "ready", **more: object
    ) -> None:
        """Write an engine's entry into the platform's list; more overrides or adds fields."""
        await list_engine(self.store, name, service, self.engines[name].address, state, **more)


async def list_engine(
    store: StoreStandIn,
    name: str,
    service: str,
    address: str,
    state: str,
    slots: int = 4,
    **more: object,
) -> None:
    """Write an engine's entry into the platform's list; more overrides or adds fields."""
    entry = {
        "service": service,
        "address": address,
        "zone": "perth-a",
        "version": "v1",
        "slots": slots,
        "state": state,
        "sequence": 1,
        "coldRemainingMs": 0,
    }
    await store.put("servers", name, entry | more)


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the operators' configuration document, with path prefix /NAME/."""
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
    """Return an operators' configuration document with a route of each kind."""
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
    make_outside: MakeOutside,
    scripts: dict[str, tuple[str, Script]],
    nodes: int = 1,
    duties: DutySettings = DutySettings(),
    zones: Mapping[str, str] = MappingProxyType({}),
    budget: RetryBudgetLimits = RETRY_BUDGET,
) -> AsyncIterator[Fleet]:
    """Run a store, engines and nodes until the block ends.

    Args:
      scripts: For each engine its service and its script.
      duties: Settings of the duties, which one node performs for all.
      zones: Failure domains of engines that are not in perth-a.
      budget: Retry budget of the nodes.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = StoreStandIn()
        await stack.enter_async_context(running(store))
        engines = {name: EngineStandIn(name, script) for name, (_, script) in scripts.items()}
        fleet = Fleet(store, engines)
        for name, engine in engines.items():
            await stack.enter_async_context(running(engine))
            zone = {"zone": zones[name]} if name in zones else {}
            await fleet.list_engine(name, scripts[name][0], **zone)
        await store.put("op", "config", configuration(1))
        settings = [replace(one, duties=duties, budget=budget) for one in _settings(nodes)]
        for one in settings:
            gateway = Gateway(one, make_outside(store.address))
            fleet.nodes.append(gateway)
            await _start(gateway)
            stack.push_async_callback(_stop, gateway)
        await until(lambda: all(node.is_ready() for node in fleet.nodes))
        await until(lambda: all(len(node.membership.live()) == nodes for node in fleet.nodes))
        await until(
            lambda: all(len(node.registry.entries()) == len(engines) for node in fleet.nodes)
        )
        yield fleet


async def replace_nodes(fleet: Fleet, make_outside: MakeOutside) -> None:
    """Stop all nodes without notice to each other, and start as many new ones at other ports."""
    old, fleet.nodes = fleet.nodes, []
    for gateway in old:
        gateway.datagrams.close()
        await _stop(gateway)
    for one in _settings(len(old)):
        gateway = Gateway(one, make_outside(fleet.store.address))
        fleet.nodes.append(gateway)
        await _start(gateway)
    await until(lambda: all(node.is_ready() for node in fleet.nodes))


async def _start(gateway: Gateway) -> None:
    """Start a node, whose tasks run as its instance."""
    with running_as(gateway.settings.ip):
        await gateway.start()


async def _stop(gateway: Gateway) -> None:
    """Refuse new requests at a node, and stop it."""
    gateway.refuse_new()
    await gateway.end()


async def add_node(fleet: Fleet, make_outside: MakeOutside) -> Gateway:
    """Start one more node, on an IP of its own, and return it without waiting until it is ready."""
    known = fleet.nodes[0].settings
    ip = f"127.0.0.{len(fleet.nodes) + 2}"
    addresses = (each.replace(known.ip, ip) for each in astuple(known.addresses))
    settings = replace(
        known,
        name=f"node-{len(fleet.nodes)}",
        ip=ip,
        addresses=Addresses(*addresses),
        seeds=tuple(node.settings.addresses.peers for node in fleet.nodes),
    )
    gateway = Gateway(settings, make_outside(fleet.store.address))
    fleet.nodes.append(gateway)
    await _start(gateway)
    return gateway


def _settings(nodes: int) -> list[GatewaySettings]:
    """Return settings for nodes, each with the others as its gossip seeds."""
    ips = [f"127.0.0.{number + 2}" for number in range(nodes)]
    ports = free_ports(PORTS_PER_NODE)
    seeds = tuple(f"{ip}:{ports[3]}" for ip in ips)
    return [
        GatewaySettings(
            name=f"node-{number}",
            ip=ip,
            failure_domain="perth-a",
            addresses=Addresses(*(f"{ip}:{port}" for port in ports[:5])),
            gossip_port=ports[5],
            seeds=tuple(seed for seed in seeds if not seed.startswith(f"{ip}:")),
            budget=RETRY_BUDGET,
            grace_s=4.0,
            longest_ttl_s=5.0,
            drain_s=0.4,
        )
        for number, ip in enumerate(ips)
    ]


async def until(holds: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until a condition holds, checked every 10 ms.

    Raises:
      TimeoutError: It did not hold within the given seconds.
    """
    end_s = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end_s:
            raise TimeoutError
        await asyncio.sleep(0.01)
