"""The node that a crowd meets: a process of its own, with a store and endpoints in this one."""

import asyncio
import contextlib
import resource
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from pathlib import Path

from springbridge_standins.free_addresses import free_ports, loopback_network
from springbridge_standins.gateway.caller import ask
from springbridge_standins.gateway.crowd.usage import descriptors, resident_mb
from springbridge_standins.gateway.duties import DutyStandIn
from springbridge_standins.gateway.engine import EngineStandIn, Script, plain_answer
from springbridge_standins.gateway.fleet import configuration, list_engine, route
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.store import StoreStandIn
from springbridge_standins.http_standin import running

# Port of the metrics of each node.
METRICS_PORT = 9464
# Time for which a request may be held, in milliseconds.
TIMEOUT_MS = 60_000
# Requests that the endpoint works on at a time.
SLOTS = 200
# Longest time for a node to serve its first request, in seconds.
MAX_START_S = 30.0
POLL_S = 0.1


@dataclass(frozen=True)
class NodeLimits:
    """Limits of the machine, as the settings file has them.

    Attributes:
      memory_mb: Memory that the process may use.
      max_fds: Descriptors that it may open.
    """

    memory_mb: int
    max_fds: int


@dataclass(frozen=True)
class Target:
    """A running node.

    Attributes:
      addresses: IP:port of each listener: callers, ready, directory, peers and metrics.
      engine: The endpoint behind it.
      rest_mb: Resident memory before any crowd, in MB.
      rest_descriptors: Open descriptors then.
    """

    pid: int
    ip: str
    addresses: dict[str, str]
    engine: EngineStandIn
    has_ended: Callable[[], bool]
    rest_mb: float = 0.0
    rest_descriptors: int = 0

    async def serves(self) -> bool:
        """Return whether one ordinary request on a new connection is answered."""
        try:
            got = await ask(self.addresses["callers"], "/safe/x", method="POST", body=b"ordinary")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return got.status == 200 and got.is_complete


@contextlib.asynccontextmanager
async def running_target(
    folder: Path, limits: NodeLimits, seed: int = 1, script: Script = plain_answer
) -> AsyncIterator[Target]:
    """Run a node with limits until the block ends; it logs into the folder.

    Args:
      script: Answers the requests at the endpoint.
    """
    async with contextlib.AsyncExitStack() as stack:
        store, duties, engine = StoreStandIn(), DutyStandIn(), EngineStandIn("i-desk-1", script)
        for standin in (store, duties, engine):
            await stack.enter_async_context(running(standin))
        routes = [route("safe", "safe", "desk", timeoutMs=TIMEOUT_MS)]
        await store.put("op", "config", configuration(1, routes=routes))
        await list_engine(store, engine.endpoint_id, "desk", engine.address, "ready", slots=SLOTS)
        network = stack.enter_context(loopback_network(seed))
        ip, ports = f"{network}.1", Ports(*free_ports(5))
        seeds = [f"{ip}:{ports.peers}"]
        node = NodeProcess(0, ip, ports, store.address, duties.address, folder, seeds, True)
        node.add_limits(limits.memory_mb, limits.max_fds)
        await node.start()
        stack.push_async_callback(node.end)
        resource.prlimit(node.pid, resource.RLIMIT_NOFILE, (limits.max_fds, limits.max_fds))
        addresses = {name: f"{ip}:{port}" for name, port in vars(ports).items()}
        addresses["metrics"] = f"{ip}:{METRICS_PORT}"
        target = Target(node.pid, ip, addresses, engine, node.has_ended)
        yield await _at_rest(target)


async def _at_rest(target: Target) -> Target:
    """Return a target that serves, with what it uses then.

    Raises:
      TimeoutError: It serves no request within MAX_START_S.
    """
    async with asyncio.timeout(MAX_START_S):
        while not await target.serves():
            await asyncio.sleep(POLL_S)
    return replace(
        target, rest_mb=resident_mb(target.pid), rest_descriptors=descriptors(target.pid)
    )


async def settles(condition: Callable[[], bool], longest_s: float) -> bool:
    """Wait until a condition holds, at most some seconds, and return whether it does."""
    end_s = time.monotonic() + longest_s
    while not condition() and time.monotonic() < end_s:
        await asyncio.sleep(POLL_S)
    return condition()
