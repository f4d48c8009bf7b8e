"""State of a running soak: its processes, the injected faults and edits, and the violations."""

import random
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from springbridge_standins.class_router.world import NodeProcess, World
from springbridge_standins.free_addresses import free_address
from springbridge_standins.proxy import LoopbackProxy, running_proxy

# Nodes of a soak; if one is lost, the other three are still a majority.
NODES = 4


@dataclass
class Soak:
    """State of a running soak.

    Attributes:
      relays: Relay to the platform of each node that was added, by node name.
      started: Number of nodes started so far.
      edits: Number of edits sent.
      accepted: Versions of the accepted edits.
      unknown: Change ids of edits with unknown outcome.
      versions: Highest version seen of each incarnation.
      counts: Counts of faults, results and edits.
      findings: A description of each violation.
      busy: Names of nodes that are being replaced; no other fault picks them.
    """

    world: World
    rng: random.Random
    relays: dict[str, LoopbackProxy]
    stack: AsyncExitStack
    started: int = NODES
    edits: int = 0
    accepted: list[int] = field(default_factory=list)
    unknown: set[str] = field(default_factory=set)
    versions: dict[str, int] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)

    def pick_node(self) -> NodeProcess | None:
        """Return a random node that no other fault affects; None if fewer than three are left."""
        free = [
            node
            for node in self.world.nodes.values()
            if node.running and not node.frozen and node.name not in self.busy
        ]
        return self.rng.choice(free) if len(free) >= NODES - 1 else None

    async def add_node(self) -> NodeProcess:
        """Start a node with its own relay to the platform."""
        self.started += 1
        name = f"node-{self.started}"
        address = free_address()
        relay = running_proxy(address, self.world.platform)
        self.relays[name] = await self.stack.enter_async_context(relay)
        failure_domain = self.rng.choice(self.world.failure_domains)
        return await self.world.start_node(name, failure_domain, table=address)
