"""Crowds of clients that misbehave, in the soak: they stand at a node beside all other harms."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from springbridge_standins.gateway.crowd.crowd import crowd_of
from springbridge_standins.gateway.crowd.drawn import draw_kind
from springbridge_standins.gateway.crowd.kinds import CrowdKind
from springbridge_standins.gateway.crowd.usage import most_resident_mb
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.fleet import list_engine
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.http_standin import running

# The smallest machine of the platform, and its memory less a tenth.
MEMORY_MB, MAX_MEMORY_MB = 88, 79
MAX_FDS = 4100
# Clients of a crowd at most, and how long one stands, in seconds.
MAX_CROWD = 60
MAX_STAND_S = 3.0
# Service and path of the crowds' requests.
SERVICE, PATH = "crowd", "/crowd/x"
# Longest pause between two crowds, in seconds.
MAX_PAUSE_S = 2.0


@contextlib.asynccontextmanager
async def running_crowd_engine(soak: Soak) -> AsyncIterator[None]:
    """Run the endpoint of the crowds' own service, whose requests nobody else counts."""
    engine = EngineStandIn("i-crowd-1")
    async with running(engine):
        await list_engine(soak.store, engine.endpoint_id, SERVICE, engine.address, "ready")
        yield


async def crowd_forever(soak: Soak, rng: random.Random) -> None:
    """Let one crowd after another stand at a node until cancelled, and check its memory."""
    while True:
        node = rng.choice(soak.nodes)
        kind = draw_kind(rng, PATH)
        soak.counts[f"crowd at {kind.listener}"] += 1
        await _stand(soak, node, kind, rng.randint(1, MAX_CROWD), rng.random() * MAX_STAND_S)
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)


async def _stand(
    soak: Soak, node: NodeProcess, kind: CrowdKind, count: int, seconds: float
) -> None:
    """Let a crowd stand at a node, and check the memory of its process."""
    pid = node.pid
    address = f"{node.ip}:{getattr(node.ports, kind.listener)}"
    soak.stamp("crowd comes", node=node.name, listener=kind.listener, count=count)
    async with crowd_of(kind, count, address) as crowd:
        await crowd.stand(seconds)
    soak.stamp("crowd goes", node=node.name)
    try:
        memory_mb = most_resident_mb(pid)
    except (OSError, IndexError):
        # Another harm has ended the process meanwhile.
        return
    soak.counts["most MB of a node"] = max(soak.counts["most MB of a node"], round(memory_mb))
    if memory_mb > MAX_MEMORY_MB:
        soak.violated(
            "a node stays within the memory of its machine", f"{node.name} {memory_mb:.0f} MB"
        )
